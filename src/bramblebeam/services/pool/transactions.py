"""Open transactions, each pinned to a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field

from bramblebeam.services.pool.slots import Slot

IDLE_TIMEOUT = 60.0
"""A transaction without a statement for this long is rolled back (seconds)."""


@dataclass(slots=True)
class PinnedTransaction:
    """An open transaction, which has exclusive use of its connection."""

    name: str
    session: str
    slot: Slot
    used_at: float
    statement_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    """Held by the statement that is running."""
    ended: bool = False


class PinnedTransactions:
    """Open transactions by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, PinnedTransaction] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[PinnedTransaction]:
        return iter(list(self._by_name.values()))

    def find(self, name: str) -> PinnedTransaction | None:
        """Return the open transaction of this name, or None."""
        return self._by_name.get(name)

    def pin(self, name: str, session: str, slot: Slot, now: float) -> PinnedTransaction:
        """Pin a transaction that has just begun to its slot."""
        pinned = PinnedTransaction(name, session, slot, now)
        self._by_name[name] = pinned
        return pinned

    def unpin(self, pinned: PinnedTransaction) -> bool:
        """Remove a transaction that is over; return whether it was still open."""
        if pinned.ended:
            return False
        pinned.ended = True
        del self._by_name[pinned.name]
        return True

    def of_session(self, session: str) -> list[PinnedTransaction]:
        """Return the open transactions of one session."""
        return [pinned for pinned in self if pinned.session == session]

    def idle(self, now: float) -> list[PinnedTransaction]:
        """Return the transactions that have been idle for longer than `IDLE_TIMEOUT`."""
        return [
            pinned
            for pinned in self
            if not pinned.statement_lock.locked() and now - pinned.used_at > IDLE_TIMEOUT
        ]
