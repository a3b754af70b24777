"""The interface that serves one client connection, called by the protocol adapter."""

from abc import ABC, abstractmethod
from typing import Any

from bramblebeam.edges.mysql.results import CallerError, ConnectionInfo, OkResult, RowsResult

SERVER_SHUTDOWN = 1053


class CallerSession(ABC):
    """The session of one client connection. The connection's task calls all methods.

    Any method except `closed` may raise `CallerError`, which is sent to the client. `execute` is
    cancelled when the client disconnects or its query is killed.
    """

    @abstractmethod
    async def opened(self, connection: ConnectionInfo) -> None:
        """Accept an authenticated client. A CallerError refuses the connection."""

    @abstractmethod
    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        """Run one statement. `attributes` are its query attributes."""

    @abstractmethod
    async def use(self, database: str) -> None:
        """Change the default database."""

    @abstractmethod
    async def reset(self) -> None:
        """Roll back and reset the session state."""

    def answered(self) -> None:  # noqa: B027
        """Record that the response to a command is complete and was given to the transport."""

    def stopped(self) -> CallerError:
        """Return the error with which the stop of the server ends the connection.

        It is the response to the command that the stop interrupts, if there is one.
        """
        return CallerError(SERVER_SHUTDOWN, "08S01", "Server shutdown in progress")

    @abstractmethod
    async def closed(self) -> None:
        """Close the session of a client that is gone or refused. Called once for each `opened`."""
