"""Accepts callers' connections and serves the line protocol on them."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Protocol, cast

from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.gateway.stopping import PlannedStop
from bramblebeam.core.identity import Address
from bramblebeam.core.tenants import KeyDigest, digest_of
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    CALLER_CUT,
    CALLER_PROTOCOL_ERROR,
    STATEMENT_FAILED_INTERNALLY,
)
from bramblebeam.platform.answers import error_code, error_text
from bramblebeam.platform.lines import LineBuffer, LineFormatError, encode_line
from bramblebeam.platform.statements import StatementFormatError, format_position, parse_statement
from bramblebeam.services.far_end import CALLER_STREAM, set_keepalive
from bramblebeam.services.gateway.session import GatewaySession

logger = logging.getLogger(__name__)

_STATE_LETTERS = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
_MAX_PIPELINED_STATEMENTS = 64
"""Statements that a caller may send before the previous ones are answered."""
_BACKLOG = 1024
_FIRST_STATEMENT_SECONDS = 0.3
"""Grace period of a new connection: its first statement is about to arrive, so a stopping node does
not close it yet."""


class SessionHost(Protocol):
    """Opens and closes callers' sessions."""

    def open_session(self, database: str, key: KeyDigest) -> GatewaySession | Refusal:
        """Return a session on a database for the tenant that holds the key, or the refusal."""

    def close_session(self, session: GatewaySession) -> None:
        """Forget a session whose caller has disconnected."""

    @property
    def stop_state(self) -> PlannedStop:
        """The state of the node's planned stop."""


class CallerConnection(asyncio.Protocol):
    """One caller's connection; runs its statements one at a time, in order."""

    def __init__(self, host: SessionHost, connections: set[CallerConnection]) -> None:
        self._host = host
        self._connections = connections
        self._buffer = LineBuffer()
        self._transport: asyncio.Transport | None = None
        self._session: GatewaySession | None = None
        self._queue: deque[str] = deque()
        self._task: asyncio.Task[None] | None = None
        self._first_statement_deadline = float("-inf")
        self._rests_since = float("-inf")

    @property
    def _is_resting(self) -> bool:
        """Whether no statement is in progress, no transaction open and no first one expected."""
        idle = self._session is None or self._session.idle
        return idle and self._task is None and not self._queue and not self._awaits_first_statement

    @property
    def _awaits_first_statement(self) -> bool:
        return asyncio.get_running_loop().time() < self._first_statement_deadline

    def close_if_resting(self, now: float) -> None:
        """Close the connection if it is at rest and the stop of the node lets it be closed."""
        if self._is_resting and self._host.stop_state.may_close_resting(self._rests_since, now):
            self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection."""
        self._transport = cast(asyncio.Transport, transport)
        set_keepalive(transport, CALLER_STREAM)
        self._first_statement_deadline = (
            asyncio.get_running_loop().time() + _FIRST_STATEMENT_SECONDS
        )
        self._connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Queue the received statements, and close the connection on a protocol error."""
        try:
            self._queue.extend(self._buffer.feed(data))
        except LineFormatError as error:
            self._protocol_error(str(error))
            return
        if len(self._queue) > _MAX_PIPELINED_STATEMENTS:
            self._protocol_error("too many pipelined statements")
            return
        self._start_task()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the statement in progress and close the session."""
        self._connections.discard(self)
        self._queue.clear()
        if self._task is not None:
            self._task.cancel()
        if self._session is not None:
            self._session.abandon()
            self._host.close_session(self._session)
            self._session = None

    def close(self) -> None:
        """Close the connection after sending the data already written."""
        if self._transport is not None:
            self._transport.close()

    def cut(self, why: str) -> None:
        """Close the connection; log the statement in progress, which gets no answer."""
        session = self._session
        if session is not None and session.running is not None:
            running = session.running
            log_event(
                logger,
                CALLER_CUT,
                request=running.identifier,
                database=session.database,
                action=running.action.name.lower(),
                stage=running.stage.value,
                in_transaction=not session.idle or running.action is Action.COMMIT,
                waited_ms=round((asyncio.get_running_loop().time() - running.arrived) * 1000),
                why=why,
            )
        self.close()

    def _start_task(self) -> None:
        if self._task is None and self._queue:
            self._task = asyncio.get_running_loop().create_task(self._serve_queue())
            self._task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            self._protocol_error(repr(task.exception()))
            return
        self._rests_since = asyncio.get_running_loop().time()
        # A statement may have arrived after the task last checked the queue.
        self._start_task()

    async def _serve_queue(self) -> None:
        while self._queue:
            await self._handle_line(self._queue.popleft())

    async def _handle_line(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if word == "QUERY" and self._session is not None:
            await self._run_statement(self._session, rest)
        elif word == "START" and self._session is None:
            self._open_session(rest)
        elif word == "QUIT":
            self._queue.clear()
            self.close()
        else:
            self._protocol_error(f"unexpected command {word[:20]}")

    def _open_session(self, rest: str) -> None:
        database, _, key = rest.partition(" ")
        opened = self._host.open_session(database, digest_of(key))
        if isinstance(opened, Refusal):
            self._write(encode_line("ERR", error_code(opened), error_text(opened)))
            self.close()
            return
        self._session = opened
        self._write(encode_line("READY", "I", "-"))

    async def _run_statement(self, session: GatewaySession, rest: str) -> None:
        self._first_statement_deadline = float("-inf")
        identifier, _, text = rest.partition(" ")
        try:
            statement = parse_statement(text)
        except StatementFormatError as error:
            refusal = Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, str(error))
            state = TransactionState.IDLE if session.idle else TransactionState.FAILED
            if not session.idle:
                session.abandon()
            self._send_reply(Reply(refusal=refusal, state=state))
            return
        try:
            reply = await session.execute(identifier, statement)
        except Exception as exc:
            # A caller without an answer can't tell whether its statement ran.
            log_event(logger, STATEMENT_FAILED_INTERNALLY, error=f"{identifier}: {exc!r}")
            session.abandon()
            reply = Reply(
                refusal=Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, "internal error")
            )
        self._send_reply(reply)
        reason = None if reply.refusal is None else reply.refusal.reason
        if reason is Reason.UNKNOWN_KEY:
            self._queue.clear()
            self.close()
        elif reason is Reason.STOPPING and not self._queue:
            # The caller is to find another node.
            self.close()

    def _send_reply(self, reply: Reply) -> None:
        lines = [encode_line("ROW", row) for row in reply.rows]
        if reply.refusal is None:
            lines.append(encode_line("DONE", reply.signature))
        else:
            lines = [encode_line("ERR", error_code(reply.refusal), error_text(reply.refusal))]
        state = _STATE_LETTERS[reply.state]
        lines.append(encode_line("READY", state, format_position(reply.position)))
        self._write(b"".join(lines))

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _protocol_error(self, detail: str) -> None:
        peer = self._transport.get_extra_info("peername") if self._transport is not None else None
        remote = peer[0] if peer else "?"
        log_event(logger, CALLER_PROTOCOL_ERROR, remote=remote, error=detail)
        self._queue.clear()
        self.cut(detail)


class CallerListener:
    """Accepts callers' connections at an address."""

    def __init__(self, host: SessionHost, address: Address) -> None:
        self.connections: set[CallerConnection] = set()
        self._host = host
        self.address = address
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Start to listen; return the bound address. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self._host, self.connections),
            self.address.host,
            self.address.port,
            backlog=_BACKLOG,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = Address(host, port)
        return self.address

    @property
    def has_connections(self) -> bool:
        """Whether a caller is connected, including one that has not opened its session yet."""
        return bool(self.connections)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections are kept."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_resting(self) -> None:
        """Close the connections at rest that the stop of the node lets be closed now."""
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.close_if_resting(now)

    def close(self) -> None:
        """Close the listening socket and every connection."""
        self.stop_accepting()
        for connection in list(self.connections):
            connection.cut("the node stops")
