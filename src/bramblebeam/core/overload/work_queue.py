"""Statements that wait for one database, in the order in which they begin.

Classes take turns by their shares of slot time, in a class its tenants by equal shares, and of a
tenant the statement whose time ends first is next.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple

from bramblebeam.core.overload.demand import MEMORY_SECONDS, Demand
from bramblebeam.core.overload.stride import StrideScheduler
from bramblebeam.core.overload.work import Work
from bramblebeam.core.tenants import TenantId

PACE_SECONDS = 0.2
"""So long a tenant's statements have waited without a break before their pace tells anything: ten
turns of a usual statement."""
LOWEST_PRIORITY = 15
"""Lower ones share this class: its weight is a small part of a thousandth already."""


class WaitingStatement(NamedTuple):
    """A statement that waits. `cost`: its expected time at the database (seconds)."""

    number: int
    work: Work
    cost: float


class _TenantQueue:
    """What waits for one tenant in one class, without a break since `since`. `work`: seconds."""

    def __init__(self, since: float) -> None:
        self.work = 0.0
        self._since = since
        self._begun = Demand()
        self._order: list[tuple[float, int]] = []
        self._waiting: dict[int, WaitingStatement] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: WaitingStatement, ends: float) -> None:
        self._waiting[waiting.number] = waiting
        self.work += waiting.cost
        heapq.heappush(self._order, (ends, waiting.number))

    def remove(self, number: int) -> None:
        self.work -= self._waiting.pop(number).cost

    def take(self, waiting: WaitingStatement, now: float) -> None:
        self._begun.record(waiting.cost, now)
        self.remove(waiting.number)

    def seen_wait(self, now: float) -> float:
        """Return how long the work that waits takes at the pace of late, 0 where that is unknown.

        Tenants that come and go take turns, too, which nobody sees in the queue of a moment.
        """
        if now - self._since < PACE_SECONDS:
            return 0.0
        pace = self._begun.rate(now) / -math.expm1(-(now - self._since) / MEMORY_SECONDS)
        return self.work / pace if pace else math.inf

    def first(self) -> WaitingStatement:
        while self._order[0][1] not in self._waiting:
            heapq.heappop(self._order)
        return self._waiting[self._order[0][1]]


class _ClassQueue:
    """What waits in one class, by tenant. `work`: seconds of it."""

    def __init__(self) -> None:
        self.work = 0.0
        self.turns: StrideScheduler[TenantId] = StrideScheduler()
        self._tenants: dict[TenantId, _TenantQueue] = {}

    def __len__(self) -> int:
        return len(self.turns)

    def add(self, waiting: WaitingStatement, ends: float, now: float) -> None:
        tenant = waiting.work.tenant
        if tenant not in self._tenants:
            self._tenants[tenant] = _TenantQueue(now)
            self.turns.add(tenant, 1.0)
        self._tenants[tenant].add(waiting, ends)
        self.work += waiting.cost

    def remove(self, waiting: WaitingStatement) -> None:
        tenant = waiting.work.tenant
        self._tenants[tenant].remove(waiting.number)
        self._left(waiting)

    def first(self) -> WaitingStatement:
        return self._tenants[self.turns.next()].first()

    def take(self, waiting: WaitingStatement, now: float) -> None:
        tenant = waiting.work.tenant
        self.turns.charge(tenant, waiting.cost)
        self._tenants[tenant].take(waiting, now)
        self._left(waiting)

    def _left(self, waiting: WaitingStatement) -> None:
        self.work -= waiting.cost
        tenant = waiting.work.tenant
        if not self._tenants[tenant]:
            del self._tenants[tenant]
            self.turns.remove(tenant)

    def wait(self, tenant: TenantId, rate: float, now: float) -> float:
        """Return when a further statement of a tenant begins, from now (seconds).

        `rate`: how much of the class's work is done a second.
        """
        queue = self._tenants.get(tenant)
        if queue is None:
            # Each other tenant has about one turn first.
            return min(self.work, self._usual_turns()) / rate
        ahead = min(self.work, queue.work * len(self._tenants))
        return max(ahead / rate, queue.seen_wait(now))

    def _usual_turns(self) -> float:
        waiting = sum(map(len, self._tenants.values()))
        return self.work * len(self._tenants) / max(1, waiting)


class FairQueue:
    """Statements in classes by priority, each with a share of the slot time.

    `weight_ratio`: the share of a class against that of the next lower priority. `work`: seconds.
    """

    def __init__(self, weight_ratio: float) -> None:
        self.work = 0.0
        self._ratio = weight_ratio
        self._turns: StrideScheduler[int] = StrideScheduler()
        self._classes: dict[int, _ClassQueue] = {}

    def __bool__(self) -> bool:
        return bool(self._classes)

    def add(self, waiting: WaitingStatement, ends: float, now: float) -> None:
        """Let one wait whose time ends at `ends`."""
        priority = class_of(waiting.work)
        if priority not in self._classes:
            self._classes[priority] = _ClassQueue()
            self._turns.add(priority, self._weight(priority))
        self._classes[priority].add(waiting, ends, now)
        self.work += waiting.cost

    def remove(self, waiting: WaitingStatement) -> None:
        """Take one out that does not wait any more."""
        priority = class_of(waiting.work)
        self._classes[priority].remove(waiting)
        self._left(priority, waiting.cost)

    def take(self, now: float) -> WaitingStatement:
        """Take out the one that begins next; there must be one."""
        priority = self._turns.next()
        found = self._classes[priority]
        waiting = found.first()
        self._turns.charge(priority, waiting.cost)
        found.take(waiting, now)
        self._left(priority, waiting.cost)
        return waiting

    def wait(self, work: Work, rate: float, now: float) -> float:
        """Return when a further statement begins, from now (seconds).

        `rate`: how much of its class's work is done a second.
        """
        own = self._classes.get(class_of(work))
        return 0.0 if own is None else own.wait(work.tenant, rate, now)

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
