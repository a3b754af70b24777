"""Control connections to one member of a group."""

import asyncio
from dataclasses import dataclass
from enum import IntEnum

from expression import Error, Ok, Result

from bramblebeam.core.identity import Address
from bramblebeam.edges.backend import (
    BackendConnection,
    BackendError,
    BackendResult,
    ConnectError,
    StatementError,
)

IDLE_CONNECTIONS = 1
"""Number of connections to a member that are kept open between commands."""


class FailureKind(IntEnum):
    """Why a command has no result."""

    NOT_LISTENING = 1
    """No process listens at the address. The command was certainly not run."""
    REFUSED = 2
    """The member replied with an error. The command was certainly not run."""
    LOST = 3
    """No reply. The command may have been run."""


@dataclass(frozen=True, slots=True)
class CommandFailure:
    """A command without a result. `code` is the member's error code, or 0."""

    kind: FailureKind
    detail: str
    code: int = 0


class MemberClient:
    """Runs commands on one member. Each has its own timeout, and none waits for another.

    A command uses the idle connection or opens a new one. A connection whose command failed or was
    cancelled is closed.
    """

    def __init__(self, address: Address, user: str, password: str, program_name: str) -> None:
        self._address = address
        self._user = user
        self._password = password
        self._program_name = program_name
        self._idle: list[BackendConnection] = []
        self._closed = False

    async def run(self, sql: str, timeout: float) -> Result[BackendResult, CommandFailure]:
        """Run one command within `timeout` seconds, including the time to connect."""
        try:
            async with asyncio.timeout(timeout):
                return Ok(await self._run(sql, timeout))
        except TimeoutError:
            return Error(CommandFailure(FailureKind.LOST, f"no answer within {timeout} s"))
        except StatementError as error:
            return Error(CommandFailure(FailureKind.REFUSED, error.message, error.code))
        except ConnectError as error:
            kind = FailureKind.NOT_LISTENING if _is_connection_refused(error) else FailureKind.LOST
            return Error(CommandFailure(kind, str(error), error.code))
        except BackendError as error:
            return Error(CommandFailure(FailureKind.LOST, str(error)))

    async def close(self) -> None:
        """Close the idle connections. Connections in use are closed after their commands."""
        self._closed = True
        connections, self._idle = self._idle, []
        await asyncio.gather(*(connection.close() for connection in connections))

    async def _run(self, sql: str, timeout: float) -> BackendResult:
        connection = await self._acquire(timeout)
        try:
            return await connection.execute(sql)
        finally:
            self._release(connection)

    async def _acquire(self, timeout: float) -> BackendConnection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.broken:
                return connection
        return await BackendConnection.connect(
            self._address, self._user, self._password, self._program_name, timeout
        )

    def _release(self, connection: BackendConnection) -> None:
        if connection.broken or self._closed or len(self._idle) >= IDLE_CONNECTIONS:
            connection.abort()
        else:
            self._idle.append(connection)


def _is_connection_refused(error: BaseException) -> bool:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        cause = cause.__cause__ or cause.__context__
    return False
