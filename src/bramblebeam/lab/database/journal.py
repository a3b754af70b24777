"""Records a member's statements, commits and connections for the judge."""

import time
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from bramblebeam.core.identity import Position
from bramblebeam.lab.database.operations import Batch

MAXIMUM_RECORDS = 500_000
"""Maximum records kept of each type; the oldest are dropped."""


@dataclass(frozen=True, slots=True)
class Applied:
    """A committed batch was applied (`failed`: it changed no rows)."""

    time: float
    position: Position
    batch: Batch
    failed: bool


class Acknowledgement(NamedTuple):
    """This member, as primary, acknowledged a write."""

    time: float
    position: Position


class StatementBegun(NamedTuple):
    """A client's statement started. `in_transaction`: a transaction was already open."""

    time: float
    connection: int
    user: str
    in_transaction: bool
    sql: str


class ConnectionCount(NamedTuple):
    """A user's connection was opened or closed; `connections` are open now."""

    time: float
    user: str
    program_name: str
    connections: int


class Journal:
    """Collects records of statements, applied and acknowledged writes, and connection counts.

    Times are in seconds of the machine's monotonic clock.
    """

    def __init__(self) -> None:
        self.applied: deque[Applied] = deque(maxlen=MAXIMUM_RECORDS)
        self.acknowledged: deque[Acknowledgement] = deque(maxlen=MAXIMUM_RECORDS)
        self.statements: deque[StatementBegun] = deque(maxlen=MAXIMUM_RECORDS)
        self.connections: deque[ConnectionCount] = deque(maxlen=MAXIMUM_RECORDS)
        self.highest: Counter[tuple[str, str]] = Counter()
        self.highest_of_user: Counter[str] = Counter()
        self._open: Counter[tuple[str, str]] = Counter()
        self._open_of_user: Counter[str] = Counter()

    def record_applied(self, position: Position, batch: Batch, failed: bool) -> None:
        """Record that a committed batch was applied."""
        self.applied.append(Applied(time.monotonic(), position, batch, failed))

    def record_acknowledged(self, position: Position) -> None:
        """Record that this member, as primary, acknowledged a write."""
        self.acknowledged.append(Acknowledgement(time.monotonic(), position))

    def record_statement(self, connection: int, user: str, in_transaction: bool, sql: str) -> None:
        """Record that a client's statement starts."""
        started = StatementBegun(time.monotonic(), connection, user, in_transaction, sql)
        self.statements.append(started)

    def connections_of(self, user: str) -> int:
        """Return the number of open connections of a user."""
        return self._open_of_user[user]

    def record_opened(self, user: str, program: str) -> None:
        """Record that a connection was opened."""
        self._open[user, program] += 1
        self._open_of_user[user] += 1
        self.highest[user, program] = max(self.highest[user, program], self._open[user, program])
        self.highest_of_user[user] = max(self.highest_of_user[user], self._open_of_user[user])
        self._record_count(user, program)

    def record_closed(self, user: str, program: str) -> None:
        """Record that a connection was closed."""
        self._open_of_user[user] -= 1
        self._open[user, program] -= 1
        if not self._open[user, program]:
            del self._open[user, program]
        self._record_count(user, program)

    def _record_count(self, user: str, program: str) -> None:
        count = self._open_of_user[user]
        self.connections.append(ConnectionCount(time.monotonic(), user, program, count))

    def statistics(self) -> dict[str, Any]:
        """Return connection counts and the numbers of applied and acknowledged writes."""
        return {
            "highest_connections": [
                {"user": user, "program_name": program, "connections": count}
                for (user, program), count in sorted(self.highest.items())
            ],
            "highest_connections_of_user": dict(self.highest_of_user),
            "open_connections_of_user": {u: n for u, n in self._open_of_user.items() if n},
            "applied": len(self.applied),
            "acknowledged": len(self.acknowledged),
        }

    def applied_records(self) -> Iterator[dict[str, Any]]:
        """Yield one record for each applied batch, in order."""
        for applied in self.applied:
            yield {
                "time": applied.time,
                "term": applied.position.term,
                "offset": applied.position.offset,
                "request": applied.batch.request,
                "statements": [operation.sql for operation in applied.batch.operations],
                "failed": applied.failed,
            }

    def acknowledged_records(self) -> Iterator[dict[str, Any]]:
        """Yield one record for each write that this member acknowledged, in order."""
        for at, position in self.acknowledged:
            yield {"time": at, "term": position.term, "offset": position.offset}

    def statement_records(self) -> Iterator[dict[str, Any]]:
        """Yield one record for each started statement, in order."""
        for started in self.statements:
            yield started._asdict()

    def connection_records(self) -> Iterator[dict[str, Any]]:
        """Yield one record for each opened or closed connection, in order."""
        for change in self.connections:
            yield change._asdict()
