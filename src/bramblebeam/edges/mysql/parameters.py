"""Prepared statements: finds placeholders, parses bound values and renders them as SQL literals."""

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import date, datetime, timedelta
from typing import Any

from mysql_mimic.types import ColumnType

from bramblebeam.edges.mysql.handshake import decode_text
from bramblebeam.edges.mysql.reader import MalformedPacketError, PacketReader
from bramblebeam.edges.mysql.rows import format_time

MAXIMUM_PARAMETERS = 65_535
UNSIGNED_FLAG = 0x80
NEW_PARAMETERS_BOUND = 1

_TEXT_TYPES = frozenset(
    {
        ColumnType.VARCHAR,
        ColumnType.VAR_STRING,
        ColumnType.STRING,
        ColumnType.JSON,
        ColumnType.ENUM,
        ColumnType.SET,
    }
)
_BYTES_TYPES = frozenset(
    {ColumnType.BLOB, ColumnType.TINY_BLOB, ColumnType.MEDIUM_BLOB, ColumnType.LONG_BLOB}
)
_DECIMAL_TYPES = frozenset({ColumnType.DECIMAL, ColumnType.NEWDECIMAL})
_INTEGER_SIZES: dict[int, int] = {
    ColumnType.TINY: 1,
    ColumnType.BOOL: 1,
    ColumnType.SHORT: 2,
    ColumnType.YEAR: 2,
    ColumnType.LONG: 4,
    ColumnType.INT24: 4,
    ColumnType.LONGLONG: 8,
}
_TIMESTAMP_TYPES = frozenset({ColumnType.DATETIME, ColumnType.TIMESTAMP, ColumnType.DATE})


_DECIMAL = re.compile(r"[+-]?\d+(?:\.\d*)?(?:[eE][+-]?\d+)?", re.ASCII)


class DecimalLiteral(str):
    """The text of a decimal parameter, which is rendered without quotes."""

    __slots__ = ()


@dataclass(slots=True)
class PreparedStatement:
    """One prepared statement.

    `fragments`: its text around the placeholders. `types`: type code and unsigned flag of each
    parameter, as last bound. `long_data`: data sent ahead of the execution, by parameter index.
    """

    id: int
    fragments: tuple[str, ...]
    types: list[tuple[int, bool]] = field(default_factory=list)
    long_data: dict[int, bytearray] = field(default_factory=dict)

    @property
    def parameter_count(self) -> int:
        """The number of placeholders."""
        return len(self.fragments) - 1

    def render(self, values: Sequence[Any]) -> str:
        """Return the statement with the values inserted as literals."""
        pieces = [self.fragments[0]]
        for value, fragment in zip(values, self.fragments[1:], strict=True):
            pieces.append(sql_literal(value))
            pieces.append(fragment)
        return "".join(pieces)


def split_at_placeholders(sql: str) -> tuple[str, ...]:
    """Split a statement at each `?` outside quotes and comments."""
    fragments = []
    start = 0
    position = 0
    while position < len(sql):
        character = sql[position]
        if character == "?":
            fragments.append(sql[start:position])
            start = position + 1
            position += 1
        elif character in "'\"`":
            position = _index_after_quoted(sql, position, character)
        elif character == "#" or sql.startswith("-- ", position):
            position = _index_after(sql, position, "\n")
        elif sql.startswith("/*", position):
            position = _index_after(sql, position + 2, "*/")
        else:
            position += 1
    fragments.append(sql[start:])
    return tuple(fragments)


def _index_after_quoted(sql: str, start: int, quote: str) -> int:
    position = start + 1
    while position < len(sql):
        if sql[position] == "\\" and quote != "`":
            position += 2
        elif sql[position] == quote:
            return position + 1
        else:
            position += 1
    return len(sql)


def _index_after(sql: str, start: int, terminator: str) -> int:
    found = sql.find(terminator, start)
    return len(sql) if found < 0 else found + len(terminator)


def sql_literal(value: Any) -> str:
    """Render a parameter's value as a MySQL literal."""
    if value is None:
        return "NULL"
    if isinstance(value, DecimalLiteral | int | float):
        return str(value)
    if isinstance(value, bytes):
        return f"X'{value.hex()}'"
    if isinstance(value, timedelta):
        return f"'{format_time(value)}'"
    if isinstance(value, datetime | date):
        return f"'{value}'"
    text = str(value).replace("\\", "\\\\").replace("'", "''").replace("\x00", "\\0")
    return f"'{text}'"


def read_parameters(
    reader: PacketReader, count: int, codec: str, named: bool, statement: PreparedStatement | None
) -> list[tuple[str, Any]]:
    """Parse the name and value of each parameter. Raises MalformedPacketError."""
    if count == 0:
        return []
    if count > MAXIMUM_PARAMETERS:
        raise MalformedPacketError("too many parameters")
    nulls = reader.take((count + 7) // 8)
    names = [""] * count
    if reader.integer(1) == NEW_PARAMETERS_BOUND:
        types = _read_named_types(reader, names, codec) if named else _read_types(reader, count)
        if statement is not None:
            statement.types = types
    else:
        types = statement.types if statement is not None else []
    if len(types) < count:
        raise MalformedPacketError("parameter types are missing")
    long_data = statement.long_data if statement is not None else {}
    values = []
    for index, (type_code, unsigned) in enumerate(types[:count]):
        if nulls[index // 8] >> (index % 8) & 1:
            value = None
        elif index in long_data:
            value = _text_or_bytes(bytes(long_data[index]), codec)
        else:
            value = _read_value(reader, type_code, unsigned, codec)
        values.append((names[index], value))
    return values


def _read_types(reader: PacketReader, count: int) -> list[tuple[int, bool]]:
    pairs = reader.take(2 * count)
    flags = (bool(flag & UNSIGNED_FLAG) for flag in pairs[1::2])
    return list(zip(pairs[::2], flags, strict=True))


def _read_named_types(reader: PacketReader, names: list[str], codec: str) -> list[tuple[int, bool]]:
    """Return the parameters' types, and store their names in `names`."""
    types = []
    for index in range(len(names)):
        types.append((reader.integer(1), bool(reader.integer(1) & UNSIGNED_FLAG)))
        names[index] = decode_text(reader.length_encoded_string(), codec)
    return types


def _text_or_bytes(data: bytes, codec: str) -> str | bytes:
    try:
        return data.decode(codec)
    except UnicodeDecodeError:
        return data


def _read_decimal(reader: PacketReader, codec: str) -> DecimalLiteral:
    text = decode_text(reader.length_encoded_string(), codec)
    if _DECIMAL.fullmatch(text) is None:
        raise MalformedPacketError("decimal parameter is not a number")
    return DecimalLiteral(text)


def _read_float(reader: PacketReader, layout: str) -> float:
    value = reader.floating_point(layout)
    if not math.isfinite(value):
        raise MalformedPacketError("floating-point parameter is not finite")
    return value


def _read_timestamp(reader: PacketReader) -> str:
    length = reader.integer(1)
    if length not in (0, 4, 7, 11):
        raise MalformedPacketError("invalid length of a timestamp")
    if length == 0:
        return "0000-00-00"
    text = f"{reader.integer(2):04}-{reader.integer(1):02}-{reader.integer(1):02}"
    if length >= 7:
        text += f" {reader.integer(1):02}:{reader.integer(1):02}:{reader.integer(1):02}"
    if length == 11:
        text += f".{reader.integer(4):06}"
    return text


def _read_time(reader: PacketReader) -> timedelta:
    length = reader.integer(1)
    if length not in (0, 8, 12):
        raise MalformedPacketError("invalid length of a time")
    if length == 0:
        return timedelta()
    negative = reader.integer(1)
    days = reader.integer(4)
    hours, minutes, seconds = reader.integer(1), reader.integer(1), reader.integer(1)
    microseconds = reader.integer(4) if length == 12 else 0
    if days > 999:
        raise MalformedPacketError("time is out of range")
    value = timedelta(days, seconds, microseconds, 0, minutes, hours)
    return -value if negative else value


def _read_value(reader: PacketReader, type_code: int, unsigned: bool, codec: str) -> Any:
    size = _INTEGER_SIZES.get(type_code)
    if size is not None:
        return reader.integer(size, signed=not unsigned)
    read = _VALUE_READERS.get(type_code)
    if read is None:
        raise MalformedPacketError(f"parameter type {type_code} is not supported")
    return read(reader, codec)


_ValueReader = Callable[[PacketReader, str], Any]
_VALUE_READERS: dict[int, _ValueReader] = {
    **dict.fromkeys(
        _TEXT_TYPES, lambda reader, codec: _text_or_bytes(reader.length_encoded_string(), codec)
    ),
    **dict.fromkeys(_BYTES_TYPES, lambda reader, codec: reader.length_encoded_string()),
    **dict.fromkeys(_DECIMAL_TYPES, _read_decimal),
    **dict.fromkeys(_TIMESTAMP_TYPES, lambda reader, codec: _read_timestamp(reader)),
    ColumnType.TIME: lambda reader, codec: _read_time(reader),
    ColumnType.FLOAT: lambda reader, codec: _read_float(reader, "<f"),
    ColumnType.DOUBLE: lambda reader, codec: _read_float(reader, "<d"),
    ColumnType.NULL: lambda reader, codec: None,
}
