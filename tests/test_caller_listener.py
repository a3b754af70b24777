"""A caller's connection on the line wire."""

import asyncio
from typing import Any

from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.platform.caller_listener import CallerConnection


class QuickSession:
    """Answers every statement at once."""

    idle = True

    async def execute(self, identifier: str, statement: Any) -> Reply:
        return Reply(signature=f"signed-{identifier}", state=TransactionState.IDLE)

    def abandon(self) -> None:
        """Nothing is open."""


class Host:
    """Takes every caller."""

    stopping = False

    def open_session(self, database: str, identifier: str) -> QuickSession:
        return QuickSession()

    def close_session(self, session: QuickSession) -> None:
        """Nothing to do."""


class CallerThatAsksOnAnswer:
    """A transport whose caller sends its next statement as soon as the last answer is written."""

    def __init__(self, connection: CallerConnection, statements: list[bytes]) -> None:
        self.written = b""
        self._connection = connection
        self._statements = statements

    def write(self, data: bytes) -> None:
        self.written += data
        if self._statements:
            # This runs before the callbacks of the task that is writing, which ends now.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._connection.data_received, self._statements.pop(0))

    def is_closing(self) -> bool:
        return False

    def get_extra_info(self, name: str) -> None:
        return None


async def test_a_statement_that_comes_as_the_last_one_ends_is_answered() -> None:
    """Found as test runs that stood still: the statement lay in the queue for good."""
    connection = CallerConnection(Host(), set())  # type: ignore[arg-type]
    statements = [f"QUERY id{number} READ parcel\r\n".encode() for number in range(5)]
    caller = CallerThatAsksOnAnswer(connection, statements)
    connection.connection_made(caller)  # type: ignore[arg-type]
    connection.data_received(b"START session tester\r\n")
    for _ in range(50):
        await asyncio.sleep(0)
    for number in range(5):
        assert f"signed-id{number}".encode() in caller.written
