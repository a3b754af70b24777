"""What the protocol adapter asks of its user, one object a connection."""

from abc import ABC, abstractmethod
from typing import Any

from bramblebeam.edges.mysql.results import ConnectionInfo, OkResult, RowsResult


class CallerSession(ABC):
    """One client connection's session. All methods are called by the connection's own task.

    Any method but `closed` may raise `CallerError`, which the client gets. `execute` is cancelled
    when the client vanishes or its query is killed.
    """

    @abstractmethod
    async def opened(self, connection: ConnectionInfo) -> None:
        """Take a client that has proved who it is; a CallerError turns it away."""

    @abstractmethod
    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        """Run one statement; `attributes` are its query attributes."""

    @abstractmethod
    async def use(self, database: str) -> None:
        """Change the default database."""

    @abstractmethod
    async def reset(self) -> None:
        """Roll back, and forget the session's state."""

    @abstractmethod
    async def closed(self) -> None:
        """The client is gone or turned away. Called once for each `opened`."""
