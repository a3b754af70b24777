"""Writes the server's responses to a packet stream."""

import asyncio
import logging
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from functools import lru_cache
from typing import Any

from mysql_mimic.types import uint_len

from bramblebeam.core.statement import ColumnSpec
from bramblebeam.edges.mysql.handshake import CLIENT_DEPRECATE_EOF
from bramblebeam.edges.mysql.results import CallerError, OkResult, RowsResult
from bramblebeam.edges.mysql.rows import (
    RowEncodingError,
    binary_row_encoder,
    column_definition,
    text_row,
)
from bramblebeam.edges.mysql.stream import PacketStream, frame

logger = logging.getLogger(__name__)

ROWS_BETWEEN_YIELDS = 2_000
STATUS_IN_TRANSACTION = 0x0001
STATUS_AUTOCOMMIT = 0x0002
OK_HEADER = b"\x00"
END_HEADER = b"\xfe"
ERROR_HEADER = b"\xff"
INCORRECT_VALUE = 1366
RESULT_HEADER_CACHE_SIZE = 1_024
FIRST_SEQUENCE = 1
"""The client's command has sequence number 0, so a response begins with 1."""

_status = struct.Struct("<HH")


@lru_cache(RESULT_HEADER_CACHE_SIZE)
def result_set_header(columns: tuple[ColumnSpec, ...]) -> bytes:
    """Return the framed packets that begin a result set: column count and column definitions."""
    packets = [uint_len(len(columns)), *(column_definition(column) for column in columns)]
    return b"".join(frame(packet, FIRST_SEQUENCE + index) for index, packet in enumerate(packets))


class ResponseWriter:
    """Writes responses.

    It stores the session's status flags, which every response except an error carries.
    `capabilities` are those negotiated with the client.
    """

    __slots__ = ("_status", "_stream", "capabilities")

    def __init__(self, stream: PacketStream) -> None:
        self._stream = stream
        self._status = STATUS_AUTOCOMMIT
        self.capabilities = 0

    def reset_status(self) -> None:
        """Reset the status flags to those of a new session."""
        self._status = STATUS_AUTOCOMMIT

    def ok(self, result: OkResult) -> None:
        """Write the OK packet of a statement without rows."""
        self._set_status(result.in_transaction, result.autocommit)
        self._stream.write(
            OK_HEADER
            + uint_len(result.affected_rows)
            + uint_len(result.last_insert_id)
            + _status.pack(self._status, 0)
            + result.info.encode()
        )

    def acknowledge(self) -> None:
        """Write the OK packet of a command without a result, with unchanged status flags."""
        self._stream.write(OK_HEADER + b"\x00\x00" + _status.pack(self._status, 0))

    def error(self, error: CallerError) -> None:
        """Write an error packet, which refuses a command or ends an incomplete result set."""
        state = error.sqlstate.encode()[:5].ljust(5, b"0")
        code = error.code.to_bytes(2, "little")
        self._stream.write(ERROR_HEADER + code + b"#" + state + error.message.encode())

    def end(self) -> None:
        """End rows or column definitions with an EOF packet, or OK if EOF is deprecated."""
        if self.capabilities & CLIENT_DEPRECATE_EOF:
            self._stream.write(END_HEADER + b"\x00\x00" + _status.pack(self._status, 0))
        else:
            self._stream.write(END_HEADER + _status.pack(0, self._status))

    def end_column_definitions(self) -> None:
        """End the column definitions if the client expects an EOF packet there."""
        if not self.capabilities & CLIENT_DEPRECATE_EOF:
            self.end()

    async def result(self, result: OkResult | RowsResult, binary: bool) -> None:
        """Write a complete result. Rows are written only as fast as the client reads them.

        Raises StreamClosedError, and CallerError from the source of the rows or for a value that
        does not fit its column.
        """
        if isinstance(result, OkResult):
            self.ok(result)
            return
        self._set_status(result.in_transaction, result.autocommit)
        self._stream.write_frames(result_set_header(result.columns), len(result.columns) + 1)
        self.end_column_definitions()
        encode = binary_row_encoder(result.columns) if binary else text_row
        try:
            await self._write_rows(result.rows, encode)
        except RowEncodingError as error:
            raise CallerError(INCORRECT_VALUE, "HY000", str(error)) from error
        finally:
            close = getattr(result.rows, "aclose", None)
            if close is not None:
                await _close_rows(close())
        self.end()

    async def _write_rows(
        self,
        rows: Sequence[Sequence[Any]] | AsyncIterator[Sequence[Any]],
        encode: Callable[[Sequence[Any]], bytes],
    ) -> None:
        stream = self._stream
        if isinstance(rows, AsyncIterator):
            async for row in rows:
                stream.write(encode(row))
                if stream.output_full:
                    await stream.drain()
            return
        for count, row in enumerate(rows, 1):
            stream.write(encode(row))
            if stream.output_full:
                await stream.drain()
            if count % ROWS_BETWEEN_YIELDS == 0:
                await asyncio.sleep(0)

    def _set_status(self, in_transaction: bool, autocommit: bool) -> None:
        self._status = (STATUS_IN_TRANSACTION if in_transaction else 0) | (
            STATUS_AUTOCOMMIT if autocommit else 0
        )


async def _close_rows(closing: Awaitable[Any]) -> None:
    """Close an iterator of rows. Its errors are only logged, as they don't concern the client."""
    try:
        await closing
    except (CallerError, RuntimeError):
        logger.debug("closing the source of a result set failed", exc_info=True)
