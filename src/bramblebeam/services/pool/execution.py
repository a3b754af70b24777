"""Runs one statement on a connection and converts the outcome into a result or a refusal."""

import re
from collections.abc import Awaitable
from dataclasses import dataclass

from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.core.pool.failure import refusal_of_error, refusal_of_interrupted
from bramblebeam.core.pool.statements import in_doubt_when_interrupted
from bramblebeam.core.statement import ExecuteRequest, StatementKind
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.edges.backend import (
    BackendConnection,
    BackendResult,
    ConnectionLostError,
    StatementError,
)
from bramblebeam.services.pool.deadlines import Deadlines

FIRST_ROWS = 500
"""Rows of a result that are sent with the first reply; the rest are fetched."""


_POSITION = re.compile(r"position=(\d+):(\d+)")

Answer = BackendResult | Refusal
"""A plain union: an `expression.Result` costs about 7 us, and each statement makes an answer."""


@dataclass(frozen=True, slots=True)
class StatementRun:
    """One statement on one connection, run until `deadline` (loop time).

    If the deadline passes or the task is cancelled, the connection is broken afterwards.
    """

    connection: BackendConnection
    request: ExecuteRequest
    deadline: float
    deadlines: Deadlines

    async def run(self) -> Answer:
        """Run the request's statement."""
        request = self.request
        work = self.connection.execute(request.sql, FIRST_ROWS)
        in_transaction = bool(request.transaction) and request.kind is not StatementKind.BEGIN
        in_doubt = in_doubt_when_interrupted(request)
        return await self.await_result(work, in_doubt=in_doubt, in_transaction=in_transaction)

    async def await_result(
        self, work: Awaitable[BackendResult], *, in_doubt: bool, in_transaction: bool
    ) -> Answer:
        """Await a statement's result; return a refusal if there is none.

        `in_doubt`: the statement may have taken effect although its result was lost.
        """
        try:
            return await self.deadlines.run(work, self.deadline)
        except TimeoutError:
            reason, detail, sent = Reason.DEADLINE, "the deadline passed", True
        except StatementError as error:
            return refusal_of_error(error.code, error.sqlstate, error.message)
        except ConnectionLostError as error:
            reason, detail, sent = Reason.CONNECTION_LOST, str(error), error.sent
        return refusal_of_interrupted(
            reason, detail, in_doubt=in_doubt and sent, in_transaction=in_transaction
        )


def position_of(info: str) -> Position:
    """Return the position in an OK packet's info text, or the zero position."""
    found = _POSITION.search(info)
    return Position(int(found[1]), int(found[2])) if found else ZERO_POSITION
