"""Encodes column definitions, and rows in the text and the binary protocol."""

import struct
from collections.abc import Callable, Sequence
from datetime import date, datetime, timedelta
from functools import lru_cache
from typing import Any

from mysql_mimic import packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import NullBitmap, ResultColumn
from mysql_mimic.types import ColumnType, str_len

from bramblebeam.core.statement import ColumnSpec
from bramblebeam.edges.mysql.results import BYTES_TYPE_CODES

NULL_TEXT = b"\xfb"
BINARY_ROW_OFFSET = 2
COLUMN_DEFINITION_CACHE_SIZE = 4096
DATE_LENGTH = len("2026-03-01")
ZERO_DATE = "0000-00-00"
EMPTY_TEMPORAL = b"\x00"

_FIXED_SIZE_STRUCTS: dict[int, struct.Struct] = {
    ColumnType.TINY: struct.Struct("<b"),
    ColumnType.SHORT: struct.Struct("<h"),
    ColumnType.YEAR: struct.Struct("<h"),
    ColumnType.LONG: struct.Struct("<i"),
    ColumnType.INT24: struct.Struct("<i"),
    ColumnType.LONGLONG: struct.Struct("<q"),
    ColumnType.FLOAT: struct.Struct("<f"),
    ColumnType.DOUBLE: struct.Struct("<d"),
}
_TEMPORAL_TYPES = frozenset(
    {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP, ColumnType.TIME}
)
_BINARY_CHARSET_TYPES = BYTES_TYPE_CODES | _TEMPORAL_TYPES | frozenset(_FIXED_SIZE_STRUCTS)


@lru_cache(COLUMN_DEFINITION_CACHE_SIZE)
def column_definition(column: ColumnSpec) -> bytes:
    """Return the column definition packet."""
    binary = column.type_code in _BINARY_CHARSET_TYPES
    packet: bytes = packets.make_column_definition_41(
        server_charset=CharacterSet.utf8mb4,
        name=column.name,
        column_type=ColumnType(column.type_code),
        character_set=CharacterSet.binary if binary else CharacterSet.utf8mb4,
    )
    return packet


def text_row(row: Sequence[Any]) -> bytes:
    """Encode one row in the text protocol."""
    parts = []
    for value in row:
        if value is None:
            parts.append(NULL_TEXT)
            continue
        text = _encode_text(value)
        length = len(text)
        if length < 0xFB:
            parts.append(length.to_bytes(1, "little"))
            parts.append(text)
        else:
            parts.append(str_len(text))
    return b"".join(parts)


def _encode_text(value: Any) -> bytes:
    if type(value) is str:
        return value.encode()
    if type(value) is int:
        return b"%d" % value
    if isinstance(value, bytes | bytearray):
        return bytes(value)
    if isinstance(value, bool):
        return b"1" if value else b"0"
    if isinstance(value, timedelta):
        return format_time(value).encode()
    return str(value).encode()


def format_time(value: timedelta) -> str:
    """Format a TIME value as MySQL does. Microseconds are included only if they are not zero."""
    sign = "-" if value < timedelta() else ""
    value = abs(value)
    minutes, seconds = divmod(value.days * 86_400 + value.seconds, 60)
    hours, minutes = divmod(minutes, 60)
    fraction = f".{value.microseconds:06}" if value.microseconds else ""
    return f"{sign}{hours:02}:{minutes:02}:{seconds:02}{fraction}"


BinaryEncoder = Callable[[Any], bytes]


class RowEncodingError(Exception):
    """A value does not fit the type of its column."""


def binary_row_encoder(columns: Sequence[ColumnSpec]) -> Callable[[Sequence[Any]], bytes]:
    """Return a function that encodes a row of these columns in the binary protocol.

    The function raises RowEncodingError.
    """
    encoders = [_binary_encoder(column) for column in columns]

    def encode(row: Sequence[Any]) -> bytes:
        try:
            return _encode_binary_row(row, encoders)
        except (struct.error, AttributeError, TypeError, ValueError) as error:
            raise RowEncodingError(f"A value does not fit its column: {error}") from error

    return encode


def _binary_encoder(column: ColumnSpec) -> BinaryEncoder:
    layout = _FIXED_SIZE_STRUCTS.get(column.type_code)
    if layout is not None:
        return layout.pack
    if column.type_code not in _TEMPORAL_TYPES:
        return _encode_binary_text
    encode = ResultColumn(column.name, ColumnType(column.type_code)).binary_encode
    parse = parse_time if column.type_code == ColumnType.TIME else parse_date

    def encode_temporal(value: Any) -> bytes:
        if isinstance(value, str):
            if value.startswith(ZERO_DATE):
                return EMPTY_TEMPORAL
            value = parse(value)
        encoded: bytes = encode(value)
        return encoded

    return encode_temporal


def parse_date(text: str) -> date:
    """Parse a DATE, DATETIME or TIMESTAMP in MySQL's format. Raises ValueError."""
    if len(text) == DATE_LENGTH:
        return date.fromisoformat(text)
    return datetime.fromisoformat(text)


def parse_time(text: str) -> timedelta:
    """Parse a TIME in MySQL's format. Raises ValueError."""
    sign = -1 if text.startswith("-") else 1
    hours, minutes, seconds = text.lstrip("-").split(":")
    value = timedelta(hours=int(hours), minutes=int(minutes), seconds=float(seconds))
    return sign * value


def _encode_binary_text(value: Any) -> bytes:
    encoded: bytes = str_len(_encode_text(value))
    return encoded


def _encode_binary_row(row: Sequence[Any], encoders: Sequence[BinaryEncoder]) -> bytes:
    nulls = NullBitmap.new(len(encoders), offset=BINARY_ROW_OFFSET)
    values = []
    for index, encode in enumerate(encoders):
        value = row[index]
        if value is None:
            nulls.flip(index)
        else:
            values.append(encode(value))
    return b"".join([b"\x00", bytes(nulls), *values])
