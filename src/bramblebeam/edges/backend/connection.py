"""One connection to a back end."""

import asyncio
import socket
from collections.abc import Awaitable
from typing import Any, TypeVar

import asyncmy
from asyncmy.constants import FIELD_TYPE
from asyncmy.errors import InterfaceError, MySQLError

from bramblebeam.core.identity import Address
from bramblebeam.core.statement import ColumnSpec
from bramblebeam.edges.backend.errors import ConnectError, ConnectionLostError, StatementError
from bramblebeam.edges.backend.results import BackendResult, RowBatch, Rows

COM_RESET_CONNECTION = 0x1F
CLIENT_ERRORS = range(2000, 3000)
"""Error codes that the driver makes itself; all others come from the server."""

SERVER_GONE = 2006
"""The driver found the connection closed before the statement was handed over whole."""

BINARY_CHARACTER_SET = 63
RECEIVE_BUFFER_BYTES = 16 * 1024
"""First size of the driver's receive buffer; it grows by itself. Its own default is 256 KB."""

SOCKET_BUFFER_BYTES = 256 * 1024
"""Bounds what a server may send ahead of the reader."""

KEEPALIVE_IDLE_SECONDS = 10
KEEPALIVE_INTERVAL_SECONDS = 5
KEEPALIVE_PROBES = 3
"""The driver switches keepalive on; these are its times."""

_INTEGER_TYPES = (
    FIELD_TYPE.TINY,
    FIELD_TYPE.SHORT,
    FIELD_TYPE.LONG,
    FIELD_TYPE.LONGLONG,
    FIELD_TYPE.INT24,
    FIELD_TYPE.YEAR,
)
_TEXT_OR_BYTES_TYPES = frozenset(
    {
        FIELD_TYPE.TINY_BLOB,
        FIELD_TYPE.MEDIUM_BLOB,
        FIELD_TYPE.LONG_BLOB,
        FIELD_TYPE.BLOB,
        FIELD_TYPE.VAR_STRING,
        FIELD_TYPE.STRING,
        FIELD_TYPE.VARCHAR,
        FIELD_TYPE.BIT,
        FIELD_TYPE.GEOMETRY,
    }
)
_CONVERSIONS: dict[Any, Any] = {
    **dict.fromkeys(_INTEGER_TYPES, int),
    FIELD_TYPE.FLOAT: float,
    FIELD_TYPE.DOUBLE: float,
}

T = TypeVar("T")


class BackendConnection:
    """A connection that runs one statement at a time.

    A connection that failed, or whose statement or fetch was cancelled, is `broken`: it is closed
    and never usable again. No method may be called while another one runs.
    """

    def __init__(self, driver: Any) -> None:
        self._driver = driver
        self._stream: Any = None
        self._running = False
        self._held_back = False

    @classmethod
    async def connect(
        cls,
        address: Address,
        user: str,
        password: str,
        program_name: str = "",
        timeout: float = 10.0,
        database: str = "",
    ) -> "BackendConnection":
        """Connect and authenticate within `timeout` seconds. Raises ConnectError."""
        try:
            async with asyncio.timeout(timeout):
                driver = await asyncmy.connect(
                    host=address.host,
                    port=address.port,
                    user=user,
                    password=password,
                    database=database or None,
                    program_name=program_name or None,
                    connect_timeout=timeout,
                    autocommit=None,
                    conv=_CONVERSIONS,
                )
        except TimeoutError as error:
            raise ConnectError(f"no connection to {address} within {timeout} s") from error
        except MySQLError as error:
            code = _code(error)
            server_code = 0 if code in CLIENT_ERRORS else code
            raise ConnectError(f"no connection to {address}: {error}", server_code) from error
        except (OSError, ValueError, IndexError) as error:
            raise ConnectError(f"no connection to {address}: {error}") from error
        _tune(driver)
        return cls(driver)

    @property
    def id(self) -> int:
        """The server's number of this connection, as in CONNECTION_ID()."""
        number: int = self._driver.thread_id()
        return number

    @property
    def broken(self) -> bool:
        """Whether the connection can't be used any more."""
        driver = self._driver
        return not driver.connected or driver._stream_broken

    @property
    def busy(self) -> bool:
        """Whether an answer is under way (`broken` is not busy)."""
        return not self.broken and (self._running or self._stream is not None)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction was open by the last answer; an error packet does not tell."""
        flag: bool = self._driver.get_transaction_status()
        return flag

    async def execute(self, sql: str, maximum_rows: int | None = None) -> BackendResult:
        """Run one statement.

        With `maximum_rows`, a larger result comes with `more` set and its rest by `fetch`; until
        then the connection is busy, and the server is not read from between fetches.
        Raises StatementError, ConnectionLostError.
        """
        streamed = maximum_rows is not None
        await self._run(self._driver.query(sql, unbuffered=streamed))
        result = self._driver._result
        if result.description is None:
            return self._ok(result)
        columns = tuple(_column(field) for field in result.fields)
        if maximum_rows is None:
            return BackendResult(columns, result.rows, in_transaction=self.in_transaction)
        self._stream = result
        batch = await self.fetch(maximum_rows)
        return BackendResult(
            columns, batch.rows, in_transaction=self.in_transaction, more=batch.more
        )

    async def fetch(self, count: int) -> RowBatch:
        """Return the next rows of a streamed result, at least one and about `count` at most.

        Raises StatementError (the result ends with it), ConnectionLostError, RuntimeError where
        no result is open.
        """
        if self._stream is None:
            raise RuntimeError("no streamed result is open")
        if self._held_back and self._driver._transport is not None:
            self._held_back = False
            self._driver._transport.resume_reading()
        try:
            rows, more = await self._run(self._take_rows(self._stream, count))
        except StatementError:
            self._stream = None
            raise
        if more:
            self._held_back = True
            self._driver._transport.pause_reading()
        else:
            self._stream = None
        return RowBatch(rows, more)

    async def use(self, database: str) -> None:
        """Change the default database. Raises StatementError, ConnectionLostError."""
        await self._run(self._driver.select_db(database))

    async def reset(self) -> None:
        """Roll back and clear the session's state. Raises StatementError, ConnectionLostError."""
        await self._run(self._reset())

    async def kill(self, connection_id: int, query_only: bool) -> None:
        """End another connection, or its statement. Raises StatementError, ConnectionLostError."""
        await self.execute(f"KILL {'QUERY ' if query_only else ''}{connection_id}")

    async def close(self) -> None:
        """Say goodbye where nothing is under way, and close."""
        if self.busy or self.broken:
            self.abort()
            return
        try:
            async with asyncio.timeout(1.0):
                await self._driver.ensure_closed()
        except (TimeoutError, MySQLError, OSError):
            self.abort()

    def abort(self) -> None:
        """Close at once, whatever is under way."""
        self._stream = None
        transport = self._driver._transport
        if transport is not None:
            transport.abort()
        self._driver.close()

    async def _run(self, work: Awaitable[T]) -> T:
        if self._running:
            raise RuntimeError("a statement is under way on this connection")
        self._running = True
        try:
            return await work
        except MySQLError as error:
            raise self._translate(error) from error
        except (OSError, EOFError, AssertionError, IndexError, ValueError) as error:
            self.abort()
            raise ConnectionLostError(f"the answer could not be read: {error}", True) from error
        except BaseException:
            self.abort()
            raise
        finally:
            self._running = False

    def _translate(self, error: MySQLError) -> StatementError | ConnectionLostError:
        code = _code(error)
        message = str(error.args[1]) if len(error.args) > 1 else str(error)
        if code >= 1000 and code not in CLIENT_ERRORS and not self.broken:
            sqlstate = getattr(error, "sqlstate", None) or "HY000"
            return StatementError(code, sqlstate, message)
        not_connected = isinstance(error, InterfaceError)
        self.abort()
        return ConnectionLostError(message, sent=code != SERVER_GONE and not not_connected)

    async def _reset(self) -> None:
        await self._driver._execute_command(COM_RESET_CONNECTION, b"")
        await self._driver._read_ok_packet()

    @staticmethod
    async def _take_rows(result: Any, count: int) -> tuple[Rows, bool]:
        rows: list[tuple[Any, ...]] = []
        while len(rows) < count:
            row = await result._read_rowdata_packet_unbuffered()
            if row is None:
                return tuple(rows), False
            rows.append(row)
            rows.extend(result._take_pending_rows(count - len(rows)))
        return tuple(rows), True

    def _ok(self, result: Any) -> BackendResult:
        return BackendResult(
            affected_rows=result.affected_rows,
            last_insert_id=result.insert_id,
            info=(result.message or b"").decode("utf-8", "replace"),
            in_transaction=self.in_transaction,
        )


def _code(error: MySQLError) -> int:
    code = error.args[0] if error.args else 0
    return code if isinstance(code, int) else 0


def _column(field: Any) -> ColumnSpec:
    if field.type_code not in _TEXT_OR_BYTES_TYPES:
        return ColumnSpec(field.name, field.type_code)
    is_bytes = field.charsetnr == BINARY_CHARACTER_SET
    return ColumnSpec(field.name, FIELD_TYPE.BLOB if is_bytes else FIELD_TYPE.VAR_STRING)


def _tune(driver: Any) -> None:
    """Bound the memory of the connection; have the system notice a server that is gone."""
    connected = driver._transport.get_extra_info("socket")
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    protocol = driver._proto
    if protocol.length == protocol.pos:
        protocol.buffer = bytearray(RECEIVE_BUFFER_BYTES)
        protocol.length = 0
        protocol.pos = 0
