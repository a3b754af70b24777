"""Connections to databases over the line protocol."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import cast

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.core.identity import ZERO_POSITION, Position, server_name
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import DATABASE_STATUS_UNREADABLE
from bramblebeam.platform.answers import refusal_from_error
from bramblebeam.platform.fields import decimal
from bramblebeam.platform.lines import LineBuffer, LineFormatError, encode_line
from bramblebeam.platform.statements import (
    StatementFormatError,
    format_position,
    format_statement,
    parse_position,
)
from bramblebeam.services.far_end import DATABASE_STREAM, set_keepalive
from bramblebeam.services.gateway.ports import (
    Command,
    ConnectError,
    ConnectionLostError,
    MemberStatus,
)

logger = logging.getLogger(__name__)

_TRANSACTION_STATES = {
    "I": TransactionState.IDLE,
    "T": TransactionState.OPEN,
    "E": TransactionState.FAILED,
}
_NO_SIGNATURE = "-"
_MAX_STATUS_CHARS = 1_000
"""Characters of a status row that are read; a row has about thirty."""
_MAX_LOGGED_CHARS = 80
"""Characters of an invalid answer that are logged: a line may be as long as a megabyte."""


class LineDatabaseConnection(asyncio.Protocol):
    """One connection to a database; it carries one call at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._buffer = LineBuffer()
        self._expected_replies = 0
        self._replies: list[Reply] = []
        self._waiter: asyncio.Future[list[Reply]] | None = None
        self._rows: list[str] = []
        self._signature = ""
        self._refusal: Refusal | None = None
        self._status_rows: deque[str] = deque()
        self._closed = False
        self._position = ZERO_POSITION

    @property
    def closed(self) -> bool:
        """Whether the connection is closed; it cannot be reopened."""
        return self._closed

    @property
    def position(self) -> Position:
        """The database's last reported log position; ZERO_POSITION: none was reported."""
        return self._position

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and let the system detect a lost peer."""
        self._transport = cast(asyncio.Transport, transport)
        set_keepalive(transport, DATABASE_STREAM)

    def data_received(self, data: bytes) -> None:
        """Parse received lines; the last expected reply completes the waiting call."""
        try:
            for line in self._buffer.feed(data):
                self._handle_line(line)
        except (LineFormatError, StatementFormatError) as error:
            self._fail(f"protocol error by the database: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the waiting call."""
        self._fail("the database closed the connection")

    def _handle_line(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if word == "ROW":
            self._rows.append(rest)
        elif word == "DONE":
            self._signature = rest
        elif word == "ERR":
            code, _, text = rest.partition(" ")
            self._refusal = refusal_from_error(code, text)
        elif word == "READY":
            self._handle_ready(rest)
        else:
            raise LineFormatError(f"unexpected line {word[:_MAX_LOGGED_CHARS]}")

    def _handle_ready(self, rest: str) -> None:
        state, _, position = rest.partition(" ")
        if state not in _TRANSACTION_STATES:
            raise LineFormatError(f"unknown transaction state {state[:_MAX_LOGGED_CHARS]}")
        self._position = parse_position(position)
        reply = Reply(
            tuple(self._rows),
            self._signature,
            self._refusal,
            _TRANSACTION_STATES[state],
            self._position,
        )
        self._rows = []
        self._signature = ""
        self._refusal = None
        self._replies.append(reply)
        if len(self._replies) == self._expected_replies and self._waiter is not None:
            if not self._waiter.done():
                self._waiter.set_result(self._replies)
            self._waiter = None

    def _fail(self, detail: str) -> None:
        self._closed = True
        if self._transport is not None:
            self._transport.abort()
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ConnectionLostError(detail))

    # Calls by the users of the connection.

    async def start(self, entry: DatabaseEntry, tenant: TenantId, timeout: float) -> None:
        """Open the session at exactly this instance. Raises ConnectError."""
        try:
            start_line = encode_line("START", entry.group, tenant, server_name(entry.instance))
            replies = await self._exchange([start_line], timeout)
        except ConnectionLostError as error:
            refusal = self._refusal
            reason = refusal.reason if refusal is not None else Reason.UNREACHABLE
            is_gone = refusal is not None and reason is Reason.UNREACHABLE
            raise ConnectError(reason, str(error), is_gone) from error
        if replies[0].refusal is not None:
            self.close()
            raise ConnectError(replies[0].refusal.reason, replies[0].refusal.detail)

    async def run(self, commands: list[Command], timeout: float) -> list[Reply]:
        """Send all commands together; return the reply to each. Raises ConnectionLostError."""
        return await self._exchange([_encode(command) for command in commands], timeout)

    async def status(self, timeout: float) -> MemberStatus | None:
        """Query the database's status. Raises ConnectionLostError."""
        return await self._run_order("STATUS", timeout)

    async def pause_receiving(self, term: int, timeout: float) -> MemberStatus | None:
        """Stop a replica from receiving the log. Raises ConnectionLostError."""
        return await self._run_order(f"PAUSE {term}", timeout)

    async def resume_receiving(self, timeout: float) -> None:
        """Let a paused replica receive the log again. Raises ConnectionLostError."""
        await self._run_order("RESUME", timeout)

    async def step_down(self, term: int, timeout: float) -> MemberStatus | None:
        """Turn a primary of a lower term into a replica. Raises ConnectionLostError."""
        return await self._run_order(f"DEMOTE {term}", timeout)

    def close(self) -> None:
        """Abort the connection and fail the waiting call."""
        self._fail("the connection was closed")

    async def _run_order(self, text: str, timeout: float) -> MemberStatus | None:
        (reply,) = await self._exchange([encode_line("QUERY", "-", text)], timeout)
        if reply.refusal is not None or not reply.rows:
            return None
        try:
            return _parse_status(reply.rows[0])
        except LineFormatError as error:
            log_event(logger, DATABASE_STATUS_UNREADABLE, order=text, error=str(error))
            self._fail(str(error))
            raise ConnectionLostError(str(error)) from error

    async def _exchange(self, lines: list[bytes], timeout: float) -> list[Reply]:
        if self._closed or self._transport is None:
            raise ConnectionLostError("the connection is closed")
        if self._waiter is not None:
            raise RuntimeError("another call is in progress on this connection")
        waiter: asyncio.Future[list[Reply]] = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        self._replies = []
        self._expected_replies = len(lines)
        self._transport.write(b"".join(lines))
        try:
            async with asyncio.timeout(timeout):
                return await waiter
        except TimeoutError as error:
            self._fail("no answer came in time")
            raise ConnectionLostError("no answer came in time") from error
        except asyncio.CancelledError:
            self._fail("the call was cancelled")
            raise


class LineDatabaseConnector:
    """Opens connections to databases over the line protocol."""

    async def connect(
        self, entry: DatabaseEntry, tenant: TenantId, timeout: float
    ) -> LineDatabaseConnection:
        """Connect to exactly this instance on behalf of one tenant. Raises ConnectError."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    LineDatabaseConnection, entry.address.host, entry.address.port
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # The last two: an address learned from another node cannot be encoded or has no port.
            is_gone = isinstance(error, ConnectionRefusedError)
            detail = f"{entry.instance}: {error!r}"
            raise ConnectError(Reason.UNREACHABLE, detail, is_gone) from error
        await connection.start(entry, tenant, timeout)
        return connection


def _encode(command: Command) -> bytes:
    text = format_statement(command.statement)
    if command.floor is not None and command.floor != ZERO_POSITION:
        text = f"AFTER {format_position(command.floor)} {text}"
    return encode_line("QUERY", command.identifier, text)


def _parse_status(row: str) -> MemberStatus:
    fields = row[:_MAX_STATUS_CHARS].split()
    try:
        role, term, received, held, lag = fields[:5]
        return MemberStatus(
            role == "primary",
            decimal(term, "term"),
            parse_position(received),
            _lag_seconds(lag),
            decimal(held, "term held"),
        )
    except ValueError as error:
        raise LineFormatError(f"invalid status reply {row[:_MAX_LOGGED_CHARS]}") from error


def _lag_seconds(text: str) -> float:
    """Return a replication lag; one that is measured with two clocks may be negative."""
    milliseconds = decimal(text.removeprefix("-"), "lag")
    return (-milliseconds if text.startswith("-") else milliseconds) / 1000
