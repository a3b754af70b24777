"""The prepared statements of one connection."""

import struct
from typing import Any

from bramblebeam.edges.mysql.parameters import (
    MAXIMUM_PARAMETERS,
    PreparedStatement,
    read_parameters,
    split_at_placeholders,
)
from bramblebeam.edges.mysql.reader import MalformedPacketError, PacketReader
from bramblebeam.edges.mysql.results import CallerError

MAXIMUM_PREPARED_STATEMENTS = 16_382
MAXIMUM_LONG_DATA_BYTES = 16 * 1024 * 1024

UNKNOWN_STATEMENT = 1243
TOO_MANY_PLACEHOLDERS = 1390
TOO_MANY_STATEMENTS = 1461

_PREPARE_OK = struct.Struct("<BIHHBH")
_EXECUTE_HEAD = struct.Struct("<xIxxxxx")
"""Command, statement id, flags and a count that is always 1."""


class PreparedStatements:
    """Statements by their number. Methods raise CallerError and MalformedPacketError."""

    __slots__ = ("_last", "_statements")

    def __init__(self) -> None:
        self._statements: dict[int, PreparedStatement] = {}
        self._last = 0

    def prepare(self, sql: str) -> PreparedStatement:
        """Add a statement."""
        if len(self._statements) >= MAXIMUM_PREPARED_STATEMENTS:
            raise CallerError(TOO_MANY_STATEMENTS, "42000", "Too many prepared statements")
        statement = PreparedStatement(self._last + 1, split_at_placeholders(sql))
        if statement.parameter_count > MAXIMUM_PARAMETERS:
            raise CallerError(TOO_MANY_PLACEHOLDERS, "HY000", "Too many placeholders")
        self._last = statement.id
        self._statements[statement.id] = statement
        return statement

    def bind(self, packet: bytes, codec: str, named: bool) -> tuple[str, dict[str, Any]]:
        """Read COM_STMT_EXECUTE; return the statement with its values, and its attributes."""
        if len(packet) < _EXECUTE_HEAD.size:
            raise MalformedPacketError("packet is too short")
        statement = self._known(_EXECUTE_HEAD.unpack_from(packet)[0])
        reader = PacketReader(packet, _EXECUTE_HEAD.size)
        count = statement.parameter_count
        total = reader.length_encoded_integer() if named and reader.remaining else count
        if total < count:
            raise MalformedPacketError("parameters are missing")
        values = read_parameters(reader, total, codec, named, statement)
        statement.long_data.clear()
        sql = statement.text([value for _, value in values[:count]])
        return sql, dict(values[count:])

    def add_long_data(self, packet: bytes) -> bool:
        """Take COM_STMT_SEND_LONG_DATA; return False for more than a parameter may have.

        The command has no answer: for a statement that does not exist, its execution will fail.
        """
        reader = PacketReader(packet, 1)
        statement = self._statements.get(reader.integer(4))
        index = reader.integer(2)
        if statement is None or index >= statement.parameter_count:
            return True
        data = statement.long_data.setdefault(index, bytearray())
        data += reader.rest()
        return len(data) <= MAXIMUM_LONG_DATA_BYTES

    def reset(self, packet: bytes) -> None:
        """Drop the long data of a statement."""
        self._known(PacketReader(packet, 1).integer(4)).long_data.clear()

    def close(self, packet: bytes) -> None:
        """Forget a statement, if there is one of this number."""
        self._statements.pop(int.from_bytes(packet[1:5], "little"), None)

    def _known(self, statement_id: int) -> PreparedStatement:
        statement = self._statements.get(statement_id)
        if statement is None:
            raise CallerError(UNKNOWN_STATEMENT, "HY000", "Unknown prepared statement")
        return statement


def prepare_ok(statement: PreparedStatement) -> bytes:
    """Return the packet that answers COM_STMT_PREPARE."""
    return _PREPARE_OK.pack(0, statement.id, 0, statement.parameter_count, 0, 0)
