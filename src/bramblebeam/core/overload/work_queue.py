"""Statements that wait for one database, in the order in which they begin.

Classes take turns by their shares of slot time, in a class its tenants by equal shares, and of a
tenant the statement whose time ends first is next.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from bramblebeam.core.overload.shares import TurnsByShare
from bramblebeam.core.overload.work import Work
from bramblebeam.core.tenants import TenantId

LOWEST_PRIORITY = 15
"""Lower ones share this class: its weight is a small part of a thousandth already."""


class Waiting(NamedTuple):
    """A statement that waits. `cost`: its expected time at the database (seconds)."""

    number: int
    work: Work
    cost: float


class _TenantQueue:
    """What waits for one tenant in one class. `work`: seconds of it."""

    def __init__(self) -> None:
        self.work = 0.0
        self._order: list[tuple[float, int]] = []
        self._waiting: dict[int, Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: Waiting, ends: float) -> None:
        self._waiting[waiting.number] = waiting
        self.work += waiting.cost
        heapq.heappush(self._order, (ends, waiting.number))

    def remove(self, number: int) -> None:
        self.work -= self._waiting.pop(number).cost

    def first(self) -> Waiting:
        while self._order[0][1] not in self._waiting:
            heapq.heappop(self._order)
        return self._waiting[self._order[0][1]]


class _ClassQueue:
    """What waits in one class, by tenant. `work`: seconds of it."""

    def __init__(self) -> None:
        self.work = 0.0
        self.turns: TurnsByShare[TenantId] = TurnsByShare()
        self._tenants: dict[TenantId, _TenantQueue] = {}

    def __len__(self) -> int:
        return len(self.turns)

    def add(self, waiting: Waiting, ends: float) -> None:
        tenant = waiting.work.tenant
        if tenant not in self._tenants:
            self._tenants[tenant] = _TenantQueue()
            self.turns.add(tenant, 1.0)
        self._tenants[tenant].add(waiting, ends)
        self.work += waiting.cost

    def remove(self, waiting: Waiting) -> None:
        tenant = waiting.work.tenant
        queue = self._tenants[tenant]
        queue.remove(waiting.number)
        self.work -= waiting.cost
        if not queue:
            del self._tenants[tenant]
            self.turns.remove(tenant)

    def first(self) -> Waiting:
        return self._tenants[self.turns.next()].first()

    def take(self, waiting: Waiting) -> None:
        self.turns.charge(waiting.work.tenant, waiting.cost)
        self.remove(waiting)

    def ahead_of(self, tenant: TenantId) -> float:
        """Return the work that begins before a further statement of a tenant (seconds)."""
        queue = self._tenants.get(tenant)
        if queue is None:
            # Each other tenant has about one turn first.
            return min(self.work, self._usual_turns())
        return min(self.work, queue.work * len(self._tenants))

    def _usual_turns(self) -> float:
        waiting = sum(map(len, self._tenants.values()))
        return self.work * len(self._tenants) / max(1, waiting)


class ClassedQueue:
    """Statements in classes by priority, each with a share of the slot time.

    `weight_ratio`: the share of a class against that of the next lower priority. `work`: seconds.
    """

    def __init__(self, weight_ratio: float) -> None:
        self.work = 0.0
        self._ratio = weight_ratio
        self._turns: TurnsByShare[int] = TurnsByShare()
        self._classes: dict[int, _ClassQueue] = {}

    def __bool__(self) -> bool:
        return bool(self._classes)

    def add(self, waiting: Waiting, ends: float) -> None:
        """Let one wait whose time ends then."""
        priority = class_of(waiting.work)
        if priority not in self._classes:
            self._classes[priority] = _ClassQueue()
            self._turns.add(priority, self._weight(priority))
        self._classes[priority].add(waiting, ends)
        self.work += waiting.cost

    def remove(self, waiting: Waiting) -> None:
        """Take one out that does not wait any more."""
        priority = class_of(waiting.work)
        self._classes[priority].remove(waiting)
        self._left(priority, waiting.cost)

    def take(self) -> Waiting:
        """Take out the one that begins next; there must be one."""
        priority = self._turns.next()
        found = self._classes[priority]
        waiting = found.first()
        self._turns.charge(priority, waiting.cost)
        found.take(waiting)
        self._left(priority, waiting.cost)
        return waiting

    def ahead_of(self, work: Work) -> float:
        """Return the work of its class that begins before a further statement (seconds)."""
        own = self._classes.get(class_of(work))
        return 0.0 if own is None else own.ahead_of(work.tenant)

    def share_of(self, own: int, classes: Iterable[int]) -> float:
        """Return the least share of slot time that a class has beside other ones, 0 to 1."""
        weight = self._weight(own)
        others = sum(self._weight(known) for known in classes if known != own)
        return weight / (weight + others)

    def _weight(self, priority: int) -> float:
        return float(self._ratio**-priority)

    def _left(self, priority: int, cost: float) -> None:
        self.work -= cost
        if not self._classes[priority]:
            del self._classes[priority]
            self._turns.remove(priority)
        if not self._classes:
            # What rounding left over would add up.
            self.work = 0.0


def class_of(work: Work) -> int:
    """Return the class of a statement, also where its priority is out of bounds."""
    return max(0, min(LOWEST_PRIORITY, work.priority))
