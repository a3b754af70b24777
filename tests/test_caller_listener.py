"""Tests of a caller's connection on the line protocol."""

import asyncio
from typing import Any

from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.platform.caller_listener import CallerConnection


class QuickSession:
    """Answers each statement immediately."""

    idle = True

    async def execute(self, identifier: str, statement: Any) -> Reply:
        return Reply(signature=f"signed-{identifier}", state=TransactionState.IDLE)

    def abandon(self) -> None:
        """Do nothing: no transaction is open."""


class Host:
    """Opens a session for any caller."""

    stopping = False

    def open_session(self, database: str, identifier: str) -> QuickSession:
        return QuickSession()

    def close_session(self, session: QuickSession) -> None:
        """Do nothing."""


class PipeliningCaller:
    """Transport of a caller that sends its next statement as soon as an answer is written."""

    def __init__(self, connection: CallerConnection, statements: list[bytes]) -> None:
        self.written = b""
        self._connection = connection
        self._statements = statements

    def write(self, data: bytes) -> None:
        self.written += data
        if self._statements:
            # Runs before the done callbacks of the task that is writing, which is about to end.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._connection.data_received, self._statements.pop(0))

    def is_closing(self) -> bool:
        return False

    def get_extra_info(self, name: str) -> None:
        return None


async def test_statement_that_arrives_as_the_previous_one_ends_is_answered() -> None:
    """The statement used to stay in the queue forever, so that test runs hung."""
    connection = CallerConnection(Host(), set())  # type: ignore[arg-type]
    statements = [f"QUERY id{number} READ parcel\r\n".encode() for number in range(5)]
    caller = PipeliningCaller(connection, statements)
    connection.connection_made(caller)  # type: ignore[arg-type]
    connection.data_received(b"START session tester\r\n")
    for _ in range(50):
        await asyncio.sleep(0)
    for number in range(5):
        assert f"signed-id{number}".encode() in caller.written
