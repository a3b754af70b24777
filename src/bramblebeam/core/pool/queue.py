"""The statements of one service that wait for a slot of one instance."""

from typing import NamedTuple

from sortedcontainers import SortedKeyList

from bramblebeam.core.pool.limits import ServiceLimit


class WaitingStatement(NamedTuple):
    """One queued statement, and when it gives up waiting (seconds)."""

    ticket: int
    wait_until: float


class ServiceQueue:
    """Queued statements of one service in order of arrival, and the number of slots it holds."""

    def __init__(self, limit: ServiceLimit) -> None:
        self.limit = limit
        self.used = 0
        self._waiting: dict[int, WaitingStatement] = {}
        self._by_expiry: SortedKeyList = SortedKeyList(key=_expiry)

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def next_expiry(self) -> float:
        """When the first statement gives up (seconds). Raises IndexError if the queue is empty."""
        first: WaitingStatement = self._by_expiry[0]
        return first.wait_until

    def precedence(self) -> tuple[bool, float]:
        """Return the sort key for granting a free slot.

        Services below their own slots come first, then the one with the lowest utilization.
        """
        slots = self.limit.slots
        return self.used >= slots, self.used / slots if slots else float("inf")

    def add(self, statement: WaitingStatement) -> None:
        """Append a statement."""
        self._waiting[statement.ticket] = statement
        self._by_expiry.add(statement)

    def remove(self, ticket: int) -> bool:
        """Remove a statement; return whether it was queued."""
        statement = self._waiting.pop(ticket, None)
        if statement is None:
            return False
        self._by_expiry.remove(statement)
        return True

    def pop(self) -> WaitingStatement:
        """Remove and return the oldest statement. Raises StopIteration if the queue is empty."""
        statement = next(iter(self._waiting.values()))
        self.remove(statement.ticket)
        return statement

    def pop_newest(self) -> WaitingStatement:
        """Remove and return the newest statement. Raises KeyError if the queue is empty."""
        _, statement = self._waiting.popitem()
        self._by_expiry.remove(statement)
        return statement

    def pop_expired(self, now: float) -> list[WaitingStatement]:
        """Remove and return the statements whose wait has expired."""
        expired: list[WaitingStatement] = []
        while self._waiting and self.next_expiry <= now:
            statement: WaitingStatement = self._by_expiry[0]
            self.remove(statement.ticket)
            expired.append(statement)
        return expired


def _expiry(statement: WaitingStatement) -> tuple[float, int]:
    return statement.wait_until, statement.ticket
