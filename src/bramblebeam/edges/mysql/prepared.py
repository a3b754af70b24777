"""The prepared statements of one connection, and the commands that use them."""

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
_EXECUTE_HEADER = struct.Struct("<xIxxxxx")
"""Command, statement id, flags, and the iteration count, which is always 1."""


class PreparedStatements:
    """Prepared statements by id. Methods raise CallerError and MalformedPacketError."""

    __slots__ = ("_last_id", "_statements")

    def __init__(self) -> None:
        self._statements: dict[int, PreparedStatement] = {}
        self._last_id = 0

    def prepare(self, sql: str) -> PreparedStatement:
        """Store a statement under a new id."""
        if len(self._statements) >= MAXIMUM_PREPARED_STATEMENTS:
            raise CallerError(TOO_MANY_STATEMENTS, "42000", "Too many prepared statements")
        statement = PreparedStatement(self._last_id + 1, split_at_placeholders(sql))
        if statement.parameter_count > MAXIMUM_PARAMETERS:
            raise CallerError(TOO_MANY_PLACEHOLDERS, "HY000", "Too many placeholders")
        self._last_id = statement.id
        self._statements[statement.id] = statement
        return statement

    def bind(self, packet: bytes, codec: str, named: bool) -> tuple[str, dict[str, Any]]:
        """Parse COM_STMT_EXECUTE. Return the SQL text with its values, and the query attributes."""
        if len(packet) < _EXECUTE_HEADER.size:
            raise MalformedPacketError("packet is too short")
        statement = self._find(_EXECUTE_HEADER.unpack_from(packet)[0])
        reader = PacketReader(packet, _EXECUTE_HEADER.size)
        count = statement.parameter_count
        total = reader.length_encoded_integer() if named and reader.remaining else count
        if total < count:
            raise MalformedPacketError("parameters are missing")
        values = read_parameters(reader, total, codec, named, statement)
        statement.long_data.clear()
        sql = statement.render([value for _, value in values[:count]])
        return sql, dict(values[count:])

    def add_long_data(self, packet: bytes) -> bool:
        """Handle COM_STMT_SEND_LONG_DATA. Return False if the parameter exceeds the size limit.

        The command has no response. Data for an unknown statement is ignored, and the statement's
        execution fails later.
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
        """Handle COM_STMT_RESET: discard a statement's long data."""
        self._find(PacketReader(packet, 1).integer(4)).long_data.clear()

    def close(self, packet: bytes) -> None:
        """Handle COM_STMT_CLOSE: remove a statement if it exists."""
        self._statements.pop(int.from_bytes(packet[1:5], "little"), None)

    def _find(self, statement_id: int) -> PreparedStatement:
        statement = self._statements.get(statement_id)
        if statement is None:
            raise CallerError(UNKNOWN_STATEMENT, "HY000", "Unknown prepared statement")
        return statement


def prepare_ok(statement: PreparedStatement) -> bytes:
    """Return the first packet of the response to COM_STMT_PREPARE."""
    return _PREPARE_OK.pack(0, statement.id, 0, statement.parameter_count, 0, 0)
