"""Interfaces between the gateway and the adapter of a platform's wire protocol."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.gateway.statements import Statement
from bramblebeam.core.identity import Position
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason

OWN_STATEMENT = "-"
"""Identifier of statements that the gateway sends on its own behalf."""


class Command(NamedTuple):
    """One statement for a database.

    `floor`: the database refuses a read or BEGIN if its log is behind this position. `tenant`: the
    tenant that the statement belongs to; None for the gateway's own, which any connection may
    carry.
    """

    statement: Statement
    identifier: str = OWN_STATEMENT
    floor: Position | None = None
    tenant: TenantId | None = None


class MemberStatus(NamedTuple):
    """A database's own status.

    `received`: the end of its log. `lag` in seconds. `held_term`: if it is paused, the term below
    which it receives from no leader; otherwise 0.
    """

    is_primary: bool
    term: int
    received: Position
    lag: float
    held_term: int = 0


class ConnectError(Exception):
    """No connection could be opened. Nothing was run; another attempt may succeed.

    `is_gone`: nothing listens at the address any more, or another database does.
    """

    def __init__(self, reason: Reason, detail: str, is_gone: bool = False) -> None:
        super().__init__(detail)
        self.reason = reason
        self.is_gone = is_gone


class ConnectionLostError(Exception):
    """The connection was lost before the complete reply arrived. What was sent may have run."""


class DatabaseConnection(Protocol):
    """One connection to a database. After an error it is closed and can't be used again."""

    @property
    def closed(self) -> bool:
        """Whether the connection is closed, so that it can't be used any more."""

    @property
    def position(self) -> Position:
        """The last reported position of the database's log, or ZERO_POSITION if there is none."""

    async def run(self, commands: list[Command], timeout: float) -> list[Reply]:
        """Send all commands together; return their replies in order (`timeout` in seconds).

        Raises ConnectionLostError; on a timeout the connection is closed first.
        """

    async def status(self, timeout: float) -> MemberStatus | None:
        """Query the status; None if the database is too busy. Raises ConnectionLostError."""

    async def pause_receiving(self, term: int, timeout: float) -> MemberStatus | None:
        """Pause a replica at `term`; return its status. Raises ConnectionLostError."""

    async def resume_receiving(self, timeout: float) -> None:
        """Resume a paused replica. Raises ConnectionLostError."""

    async def step_down(self, term: int, timeout: float) -> MemberStatus | None:
        """Demote a primary of a lower term to a replica. Raises ConnectionLostError."""

    def close(self) -> None:
        """Close immediately. The database rolls back an open transaction."""


class DatabaseConnector(Protocol):
    """Opens connections to databases."""

    async def connect(
        self, entry: DatabaseEntry, tenant: TenantId, timeout: float
    ) -> DatabaseConnection:
        """Connect to exactly this instance, for one tenant's statements (`timeout` in seconds).

        Raises ConnectError.
        """
