"""The statements of one service that wait for a slot of one instance."""

from typing import NamedTuple

from sortedcontainers import SortedKeyList

from bramblebeam.core.pool.limits import ServiceLimit


class WaitingStatement(NamedTuple):
    """One waiting statement and when it gives up (seconds)."""

    ticket: int
    wait_until: float


class ServiceQueue:
    """Waiting statements in the order of arrival, and the slots their service holds."""

    def __init__(self, limit: ServiceLimit) -> None:
        self.limit = limit
        self.used = 0
        self._waiting: dict[int, WaitingStatement] = {}
        self._by_expiry: SortedKeyList = SortedKeyList(key=_expiry)

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def next_expiry(self) -> float:
        """When the first of the statements gives up (seconds). Raises IndexError when empty."""
        first: WaitingStatement = self._by_expiry[0]
        return first.wait_until

    def precedence(self) -> tuple[bool, float]:
        """Order of services for a free slot: lenders first, then the least part in use."""
        slots = self.limit.slots
        return self.used >= slots, self.used / slots if slots else float("inf")

    def add(self, statement: WaitingStatement) -> None:
        """Add the newest statement."""
        self._waiting[statement.ticket] = statement
        self._by_expiry.add(statement)

    def remove(self, ticket: int) -> bool:
        """Take one statement out; tell whether it was waiting."""
        statement = self._waiting.pop(ticket, None)
        if statement is None:
            return False
        self._by_expiry.remove(statement)
        return True

    def pop(self) -> WaitingStatement:
        """Take the oldest statement out. Raises StopIteration when empty."""
        statement = next(iter(self._waiting.values()))
        self.remove(statement.ticket)
        return statement

    def pop_newest(self) -> WaitingStatement:
        """Take the newest statement out. Raises KeyError when empty."""
        _, statement = self._waiting.popitem()
        self._by_expiry.remove(statement)
        return statement

    def pop_expired(self, now: float) -> list[WaitingStatement]:
        """Take out the statements whose time is over."""
        expired: list[WaitingStatement] = []
        while self._waiting and self.next_expiry <= now:
            statement: WaitingStatement = self._by_expiry[0]
            self.remove(statement.ticket)
            expired.append(statement)
        return expired


def _expiry(statement: WaitingStatement) -> tuple[float, int]:
    return statement.wait_until, statement.ticket
