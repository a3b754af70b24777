"""A connection to a back end."""

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
"""Error codes that the driver generates; all others come from the server."""

SERVER_GONE = 2006
"""Driver error: the connection was closed before the whole statement was written."""

BINARY_CHARACTER_SET = 63
RECEIVE_BUFFER_BYTES = 16 * 1024
"""Initial size of the driver's receive buffer, which grows on demand (driver default: 256 KB)."""

SOCKET_BUFFER_BYTES = 256 * 1024
"""Kernel receive buffer: bounds how far a server can send ahead of the reader."""

KEEPALIVE_IDLE_SECONDS = 10
KEEPALIVE_INTERVAL_SECONDS = 5
KEEPALIVE_PROBES = 3
"""Keepalive timing; the driver itself enables keepalive."""

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

    After a failure, or the cancellation of a statement or fetch, the connection is `broken`: it is
    closed and can't be used again. No method may be called while another one runs.
    """

    def __init__(self, driver: Any) -> None:
        self._driver = driver
        self._stream: Any = None
        self._running = False
        self._reading_paused = False

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
            raise ConnectError(f"connecting to {address} timed out after {timeout} s") from error
        except MySQLError as error:
            code = _error_code(error)
            server_code = 0 if code in CLIENT_ERRORS else code
            raise ConnectError(f"could not connect to {address}: {error}", server_code) from error
        except (OSError, ValueError, IndexError) as error:
            raise ConnectError(f"could not connect to {address}: {error}") from error
        _configure(driver)
        return cls(driver)

    @property
    def id(self) -> int:
        """The server's id of this connection, as returned by CONNECTION_ID()."""
        number: int = self._driver.thread_id()
        return number

    @property
    def broken(self) -> bool:
        """Whether the connection is closed or unusable."""
        driver = self._driver
        return not driver.connected or driver._stream_broken

    @property
    def busy(self) -> bool:
        """Whether a statement or a streamed result is in progress; False if broken."""
        return not self.broken and (self._running or self._stream is not None)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction was open as of the last result. Error packets don't report it."""
        flag: bool = self._driver.get_transaction_status()
        return flag

    async def execute(self, sql: str, maximum_rows: int | None = None) -> BackendResult:
        """Run one statement.

        With `maximum_rows`, a larger result has `more` set, and `fetch` returns its remaining rows.
        The connection stays busy until then, and reading from the server is paused between fetches.
        Raises StatementError, ConnectionLostError.
        """
        streamed = maximum_rows is not None
        await self._run_exclusive(self._driver.query(sql, unbuffered=streamed))
        result = self._driver._result
        if result.description is None:
            return self._ok_result(result)
        columns = tuple(_column_spec(field) for field in result.fields)
        if maximum_rows is None:
            return BackendResult(columns, result.rows, in_transaction=self.in_transaction)
        self._stream = result
        batch = await self.fetch(maximum_rows)
        return BackendResult(
            columns, batch.rows, in_transaction=self.in_transaction, more=batch.more
        )

    async def fetch(self, count: int) -> RowBatch:
        """Return the next rows of a streamed result, at least one and about `count` at most.

        Raises StatementError (which ends the result), ConnectionLostError, and RuntimeError if no
        result is open.
        """
        if self._stream is None:
            raise RuntimeError("no streamed result is open")
        if self._reading_paused and self._driver._transport is not None:
            self._reading_paused = False
            self._driver._transport.resume_reading()
        try:
            rows, more = await self._run_exclusive(self._read_rows(self._stream, count))
        except StatementError:
            self._stream = None
            raise
        if more:
            self._reading_paused = True
            self._driver._transport.pause_reading()
        else:
            self._stream = None
        return RowBatch(rows, more)

    async def use(self, database: str) -> None:
        """Change the default database. Raises StatementError, ConnectionLostError."""
        await self._run_exclusive(self._driver.select_db(database))

    async def reset(self) -> None:
        """Roll back and reset the session state. Raises StatementError, ConnectionLostError."""
        await self._run_exclusive(self._reset())

    async def kill(self, connection_id: int, query_only: bool) -> None:
        """Kill another connection, or only its statement.

        Raises StatementError, ConnectionLostError.
        """
        await self.execute(f"KILL {'QUERY ' if query_only else ''}{connection_id}")

    async def close(self) -> None:
        """Close, with COM_QUIT if the connection is idle."""
        if self.busy or self.broken:
            self.abort()
            return
        try:
            async with asyncio.timeout(1.0):
                await self._driver.ensure_closed()
        except (TimeoutError, MySQLError, OSError):
            self.abort()

    def abort(self) -> None:
        """Close at once, aborting anything in progress."""
        self._stream = None
        transport = self._driver._transport
        if transport is not None:
            transport.abort()
        self._driver.close()

    async def _run_exclusive(self, operation: Awaitable[T]) -> T:
        if self._running:
            raise RuntimeError("a statement is already running on this connection")
        self._running = True
        try:
            return await operation
        except MySQLError as error:
            raise self._translate(error) from error
        except (OSError, EOFError, AssertionError, IndexError, ValueError) as error:
            self.abort()
            raise ConnectionLostError(f"the response could not be read: {error}", True) from error
        except BaseException:
            self.abort()
            raise
        finally:
            self._running = False

    def _translate(self, error: MySQLError) -> StatementError | ConnectionLostError:
        code = _error_code(error)
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
    async def _read_rows(result: Any, count: int) -> tuple[Rows, bool]:
        rows: list[tuple[Any, ...]] = []
        while len(rows) < count:
            row = await result._read_rowdata_packet_unbuffered()
            if row is None:
                return tuple(rows), False
            rows.append(row)
            rows.extend(result._take_pending_rows(count - len(rows)))
        return tuple(rows), True

    def _ok_result(self, result: Any) -> BackendResult:
        return BackendResult(
            affected_rows=result.affected_rows,
            last_insert_id=result.insert_id,
            info=(result.message or b"").decode("utf-8", "replace"),
            in_transaction=self.in_transaction,
        )


def _error_code(error: MySQLError) -> int:
    code = error.args[0] if error.args else 0
    return code if isinstance(code, int) else 0


def _column_spec(field: Any) -> ColumnSpec:
    if field.type_code not in _TEXT_OR_BYTES_TYPES:
        return ColumnSpec(field.name, field.type_code)
    is_bytes = field.charsetnr == BINARY_CHARACTER_SET
    return ColumnSpec(field.name, FIELD_TYPE.BLOB if is_bytes else FIELD_TYPE.VAR_STRING)


def _configure(driver: Any) -> None:
    """Bound the connection's buffers and set up keepalive to detect a server that is gone."""
    sock = driver._transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    protocol = driver._proto
    if protocol.length == protocol.pos:
        protocol.buffer = bytearray(RECEIVE_BUFFER_BYTES)
        protocol.length = 0
        protocol.pos = 0
