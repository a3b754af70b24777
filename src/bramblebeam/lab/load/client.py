"""A caller's session over asyncmy that can move between nodes, with or without a causal token."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from asyncmy.connection import Connection
from asyncmy.errors import MySQLError

from bramblebeam.lab.load.outcome import SUCCESS, CallerOutcome, outcome_of

STATEMENT_TIMEOUT_SECONDS = 20.0
CONNECT_TIMEOUT_SECONDS = 5.0

NodeAddresses = Mapping[str, tuple[str, int]]
"""Client address of each running node, by node name."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The complete result of one statement, or its error."""

    outcome: CallerOutcome
    rows: Sequence[Sequence[Any]] = ()
    affected_rows: int = 0
    message: str = ""

    @property
    def ok(self) -> bool:
        """Whether the statement succeeded."""
        return self.outcome.outcome == "ok"


class CallerClient:
    """A caller's session. An empty `name` is a session without a name, which does not roam."""

    def __init__(self, name: str, service: str, group: str, carries_token: bool) -> None:
        self.name = name
        self.service = service
        self.group = group
        self.carries_token = carries_token
        self.node = ""
        self._connection: Any = None
        self._token = ""

    @property
    def connected(self) -> bool:
        """Whether the session has an open connection."""
        if self._connection is None:
            return False
        transport = self._connection._transport
        return transport is not None and not transport.is_closing()

    async def connect(self, node: str, address: tuple[str, int]) -> CallerOutcome:
        """Connect to a node. No statement has been sent if this fails."""
        self.abort()
        connection: Any = Connection(  # type: ignore[no-untyped-call]
            host=address[0],
            port=address[1],
            user=self.service,
            database=self.group,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            autocommit=None,
        )
        connection._connect_attrs.update(self._attributes())
        self._token = ""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await connection.connect()
        except (MySQLError, OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            connection.close()
            return _outcome_of_exception(error)
        self.node = node
        self._connection = connection
        return SUCCESS

    async def move(self, node: str, address: tuple[str, int]) -> CallerOutcome:
        """Reconnect to another node, passing the causal token on if `carries_token`."""
        if self.connected and self.carries_token:
            answer = await self.execute("SELECT @@bramblebeam_token")
            self._token = str(answer.rows[0][0]) if answer.ok and answer.rows else ""
        await self.close()
        return await self.connect(node, address)

    async def execute(self, sql: str) -> Answer:
        """Run one statement. If the connection is lost, `connected` is False afterwards."""
        if not self.connected:
            self.abort()
            return Answer(CallerOutcome("lost", text="no connection"))
        try:
            async with asyncio.timeout(STATEMENT_TIMEOUT_SECONDS):
                affected = await self._connection.query(sql)
        except (MySQLError, OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = _outcome_of_exception(error)
            if outcome.outcome == "lost":
                self.abort()
            return Answer(outcome)
        result = self._connection._result
        if result.description is None:
            message = result.message.decode() if result.message else ""
            return Answer(SUCCESS, affected_rows=affected, message=message)
        return Answer(SUCCESS, rows=result.rows)

    def abort(self) -> None:
        """Abort the connection without COM_QUIT, like a client that crashes."""
        if self._connection is not None:
            transport = self._connection._transport
            if transport is not None:
                transport.abort()
            self._connection.close()
            self._connection = None

    async def close(self) -> None:
        """Close the connection cleanly."""
        if self._connection is None:
            return
        connection, self._connection = self._connection, None
        try:
            async with asyncio.timeout(1.0):
                await connection.ensure_closed()
        except (MySQLError, OSError, TimeoutError):
            connection.close()

    def _attributes(self) -> dict[str, str]:
        attributes = {}
        if self.name:
            attributes["bramblebeam_session"] = self.name
        if self._token:
            attributes["bramblebeam_token"] = self._token
        return attributes


def _outcome_of_exception(error: BaseException) -> CallerOutcome:
    if isinstance(error, MySQLError) and error.args and isinstance(error.args[0], int):
        return outcome_of(error.args[0], str(error.args[-1]))
    return CallerOutcome("lost", text=f"{type(error).__name__}: {error}")
