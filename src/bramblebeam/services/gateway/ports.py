"""The interfaces between the gateway and the adapter of a platform's wire."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.gateway.statements import Statement
from bramblebeam.core.identity import Position
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason

OWN_STATEMENT = "-"
"""The id of statements that no caller asked for."""


class Command(NamedTuple):
    """One statement for a database. `floor`: refuse a read or BEGIN whose log is behind it.

    `tenant`: whose work it is; None: the gateway's own, which may go on any connection.
    """

    statement: Statement
    identifier: str = OWN_STATEMENT
    floor: Position | None = None
    tenant: TenantId | None = None


class MemberStatus(NamedTuple):
    """What a database says of itself.

    `received`: the end of its log. `lag` in seconds. `held_term`: it was paused, and receives only
    from a leader of that term or a newer one; 0: it was not.
    """

    is_primary: bool
    term: int
    received: Position
    lag: float
    held_term: int = 0


class ConnectError(Exception):
    """No connection could be opened. Nothing was run; another try may succeed.

    `is_gone`: nothing listens at the address any more, or another database does.
    """

    def __init__(self, reason: Reason, detail: str, is_gone: bool = False) -> None:
        super().__init__(detail)
        self.reason = reason
        self.is_gone = is_gone


class ConnectionLostError(Exception):
    """The connection ended before the whole answer came. What was sent may have run."""


class DatabaseConnection(Protocol):
    """One connection to a database. After an error it is closed and of no further use."""

    @property
    def closed(self) -> bool:
        """Whether the connection can't be used any more."""

    @property
    def position(self) -> Position:
        """The position of the database's log, as it was told last; ZERO_POSITION: it was not."""

    async def run(self, commands: list[Command], timeout: float) -> list[Reply]:
        """Send the commands at once; return the reply to each, in order (`timeout` in seconds).

        Raises ConnectionLostError; on a timeout the connection is closed first.
        """

    async def status(self, timeout: float) -> MemberStatus | None:
        """Ask for the status; None where it is too busy. Raises ConnectionLostError."""

    async def pause_receiving(self, term: int, timeout: float) -> MemberStatus | None:
        """Stop a replica from receiving at `term`; its status. Raises ConnectionLostError."""

    async def resume_receiving(self, timeout: float) -> None:
        """Let a paused replica receive again. Raises ConnectionLostError."""

    async def step_down(self, term: int, timeout: float) -> MemberStatus | None:
        """Turn a primary of a lower term into a replica. Raises ConnectionLostError."""

    def close(self) -> None:
        """Close at once. An open transaction is rolled back by the database."""


class DatabaseConnector(Protocol):
    """Opens connections to databases."""

    async def connect(
        self, entry: DatabaseEntry, tenant: TenantId, timeout: float
    ) -> DatabaseConnection:
        """Connect to exactly this instance, for one tenant's work. Raises ConnectError.

        `timeout` in seconds.
        """
