"""Encodes result sets: column definitions, and rows in the text and the binary protocol."""

import struct
from collections.abc import Callable, Sequence
from datetime import timedelta
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
COLUMN_CACHE = 4096

_STRUCTS: dict[int, struct.Struct] = {
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
_BINARY_CHARSET_TYPES = BYTES_TYPE_CODES | _TEMPORAL_TYPES | frozenset(_STRUCTS)


@lru_cache(COLUMN_CACHE)
def column_definition(column: ColumnSpec) -> bytes:
    """Return the packet that describes one column."""
    binary = column.type_code in _BINARY_CHARSET_TYPES
    packet: bytes = packets.make_column_definition_41(
        server_charset=CharacterSet.utf8mb4,
        name=column.name,
        column_type=ColumnType(column.type_code),
        character_set=CharacterSet.binary if binary else CharacterSet.utf8mb4,
    )
    return packet


def text_row(row: Sequence[Any]) -> bytes:
    """Return one row in the text protocol."""
    parts = []
    for value in row:
        if value is None:
            parts.append(NULL_TEXT)
            continue
        text = _text(value)
        length = len(text)
        if length < 0xFB:
            parts.append(length.to_bytes(1, "little"))
            parts.append(text)
        else:
            parts.append(str_len(text))
    return b"".join(parts)


def _text(value: Any) -> bytes:
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
    """Return a TIME value as MySQL writes it, with the microseconds only where there are some."""
    sign = "-" if value < timedelta() else ""
    value = abs(value)
    minutes, seconds = divmod(value.days * 86_400 + value.seconds, 60)
    hours, minutes = divmod(minutes, 60)
    fraction = f".{value.microseconds:06}" if value.microseconds else ""
    return f"{sign}{hours:02}:{minutes:02}:{seconds:02}{fraction}"


BinaryEncoder = Callable[[Any], bytes]


def binary_encoders(columns: Sequence[ColumnSpec]) -> list[BinaryEncoder]:
    """Return the encoder of each column's values in the binary protocol."""
    return [_binary_encoder(column) for column in columns]


def _binary_encoder(column: ColumnSpec) -> BinaryEncoder:
    fixed = _STRUCTS.get(column.type_code)
    if fixed is not None:
        return fixed.pack
    if column.type_code in _TEMPORAL_TYPES:
        library_column = ResultColumn(column.name, ColumnType(column.type_code))
        encode: BinaryEncoder = library_column.binary_encode
        return encode
    return _binary_text


def _binary_text(value: Any) -> bytes:
    encoded: bytes = str_len(_text(value))
    return encoded


def binary_row(row: Sequence[Any], encoders: Sequence[BinaryEncoder]) -> bytes:
    """Return one row in the binary protocol.

    Raises struct.error, AttributeError or TypeError for a value that its column's type can't hold.
    """
    nulls = NullBitmap.new(len(encoders), offset=BINARY_ROW_OFFSET)
    values = []
    for index, encode in enumerate(encoders):
        value = row[index]
        if value is None:
            nulls.flip(index)
        else:
            values.append(encode(value))
    return b"".join([b"\x00", bytes(nulls), *values])
