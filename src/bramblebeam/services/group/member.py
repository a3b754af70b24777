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
"""Connections kept open to a member between commands."""


class FailureKind(IntEnum):
    """Why a command has no result."""

    NOT_LISTENING = 1
    """No process listens at the address: surely not run."""
    REFUSED = 2
    """The member answered with an error: surely not run."""
    LOST = 3
    """No answer: it may have run."""


@dataclass(frozen=True, slots=True)
class CommandFailure:
    """A command without a result. `code` is the member's error code, if it gave one."""

    kind: FailureKind
    detail: str
    code: int = 0


class MemberClient:
    """Runs commands on one member, each within its own time, none waiting for another.

    A command takes the idle connection or opens one; a connection whose command failed, or was
    given up, is closed.
    """

    def __init__(self, address: Address, user: str, password: str, program_name: str) -> None:
        self._address = address
        self._user = user
        self._password = password
        self._program_name = program_name
        self._idle: list[BackendConnection] = []
        self._closed = False

    async def run(self, sql: str, timeout: float) -> Result[BackendResult, CommandFailure]:
        """Run one command within `timeout` seconds, its connecting included."""
        try:
            async with asyncio.timeout(timeout):
                return Ok(await self._run(sql, timeout))
        except TimeoutError:
            return Error(CommandFailure(FailureKind.LOST, f"no answer within {timeout} s"))
        except StatementError as error:
            return Error(CommandFailure(FailureKind.REFUSED, error.message, error.code))
        except ConnectError as error:
            kind = FailureKind.NOT_LISTENING if _not_listening(error) else FailureKind.LOST
            return Error(CommandFailure(kind, str(error), error.code))
        except BackendError as error:
            return Error(CommandFailure(FailureKind.LOST, str(error)))

    async def close(self) -> None:
        """Close the idle connections; those in use close after their commands."""
        self._closed = True
        connections, self._idle = self._idle, []
        await asyncio.gather(*(connection.close() for connection in connections))

    async def _run(self, sql: str, timeout: float) -> BackendResult:
        connection = await self._take(timeout)
        try:
            return await connection.execute(sql)
        finally:
            self._put_back(connection)

    async def _take(self, timeout: float) -> BackendConnection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.broken:
                return connection
        return await BackendConnection.connect(
            self._address, self._user, self._password, self._program_name, timeout
        )

    def _put_back(self, connection: BackendConnection) -> None:
        if connection.broken or self._closed or len(self._idle) >= IDLE_CONNECTIONS:
            connection.abort()
        else:
            self._idle.append(connection)


def _not_listening(error: BaseException) -> bool:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        cause = cause.__cause__ or cause.__context__
    return False
