"""Fair queue of the statements that wait for one database.

Classes share the slot time by their weights, the tenants of a class share it equally, and of one
tenant the statement with the earliest deadline is next.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple

from bramblebeam.core.overload.demand import AVERAGING_SECONDS, Demand
from bramblebeam.core.overload.stride import StrideScheduler
from bramblebeam.core.overload.work import Work
from bramblebeam.core.tenants import TenantId

MIN_BACKLOG_SECONDS = 0.2
"""A tenant's queue must have been non-empty for this long before its throughput is used: ten
turns of a typical statement."""
LOWEST_PRIORITY = 15
"""Lower priorities share this class, whose weight is already a small part of a thousandth."""


class WaitingStatement(NamedTuple):
    """A queued statement. `cost`: its expected time at the database (seconds)."""

    number: int
    work: Work
    cost: float


class _TenantQueue:
    """Statements of one tenant in one class, non-empty since `since`. `work`: seconds."""

    def __init__(self, since: float) -> None:
        self.work = 0.0
        self._since = since
        self._started_work = Demand()
        self._order: list[tuple[float, int]] = []
        self._waiting: dict[int, WaitingStatement] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: WaitingStatement, ends_at: float) -> None:
        self._waiting[waiting.number] = waiting
        self.work += waiting.cost
        heapq.heappush(self._order, (ends_at, waiting.number))

    def remove(self, number: int) -> None:
        self.work -= self._waiting.pop(number).cost

    def take(self, waiting: WaitingStatement, now: float) -> None:
        self._started_work.record(waiting.cost, now)
        self.remove(waiting.number)

    def observed_wait(self, now: float) -> float:
        """Return how long the queued work takes at the recent throughput, or 0 if that is unknown.

        It accounts for tenants that come and go, whose turns a momentary queue does not show.
        """
        if now - self._since < MIN_BACKLOG_SECONDS:
            return 0.0
        throughput = self._started_work.rate(now) / -math.expm1(
            -(now - self._since) / AVERAGING_SECONDS
        )
        return self.work / throughput if throughput else math.inf

    def first(self) -> WaitingStatement:
        while self._order[0][1] not in self._waiting:
            heapq.heappop(self._order)
        return self._waiting[self._order[0][1]]


class _ClassQueue:
    """Statements of one class, by tenant. `work`: seconds."""

    def __init__(self) -> None:
        self.work = 0.0
        self.turns: StrideScheduler[TenantId] = StrideScheduler()
        self._tenants: dict[TenantId, _TenantQueue] = {}

    def __len__(self) -> int:
        return len(self.turns)

    def add(self, waiting: WaitingStatement, ends_at: float, now: float) -> None:
        tenant = waiting.work.tenant
        if tenant not in self._tenants:
            self._tenants[tenant] = _TenantQueue(now)
            self.turns.add(tenant, 1.0)
        self._tenants[tenant].add(waiting, ends_at)
        self.work += waiting.cost

    def remove(self, waiting: WaitingStatement) -> None:
        tenant = waiting.work.tenant
        self._tenants[tenant].remove(waiting.number)
        self._removed(waiting)

    def first(self) -> WaitingStatement:
        return self._tenants[self.turns.next()].first()

    def take(self, waiting: WaitingStatement, now: float) -> None:
        tenant = waiting.work.tenant
        self.turns.charge(tenant, waiting.cost)
        self._tenants[tenant].take(waiting, now)
        self._removed(waiting)

    def _removed(self, waiting: WaitingStatement) -> None:
        self.work -= waiting.cost
        tenant = waiting.work.tenant
        if not self._tenants[tenant]:
            del self._tenants[tenant]
            self.turns.remove(tenant)

    def wait(self, tenant: TenantId, rate: float, now: float) -> float:
        """Return the time until a further statement of a tenant begins (seconds).

        `rate`: seconds of the class's work done per second.
        """
        queue = self._tenants.get(tenant)
        if queue is None:
            # Each queued tenant gets about one turn first.
            return min(self.work, self._one_turn_each()) / rate
        ahead = min(self.work, queue.work * len(self._tenants))
        return max(ahead / rate, queue.observed_wait(now))

    def _one_turn_each(self) -> float:
        waiting = sum(map(len, self._tenants.values()))
        return self.work * len(self._tenants) / max(1, waiting)


class FairQueue:
    """Statements in priority classes, each with a share of the slot time.

    `weight_ratio`: the weight of a class relative to the next lower priority. `work`: seconds.
    """

    def __init__(self, weight_ratio: float) -> None:
        self.work = 0.0
        self._ratio = weight_ratio
        self._turns: StrideScheduler[int] = StrideScheduler()
        self._classes: dict[int, _ClassQueue] = {}

    def __bool__(self) -> bool:
        return bool(self._classes)

    def add(self, waiting: WaitingStatement, ends_at: float, now: float) -> None:
        """Queue a statement. `ends_at`: its soft deadline or its deadline."""
        priority = class_of(waiting.work)
        if priority not in self._classes:
            self._classes[priority] = _ClassQueue()
            self._turns.add(priority, self._weight(priority))
        self._classes[priority].add(waiting, ends_at, now)
        self.work += waiting.cost

    def remove(self, waiting: WaitingStatement) -> None:
        """Remove a statement that no longer waits."""
        priority = class_of(waiting.work)
        self._classes[priority].remove(waiting)
        self._removed(priority, waiting.cost)

    def take(self, now: float) -> WaitingStatement:
        """Remove and return the statement that begins next; the queue must not be empty."""
        priority = self._turns.next()
        queue = self._classes[priority]
        waiting = queue.first()
        self._turns.charge(priority, waiting.cost)
        queue.take(waiting, now)
        self._removed(priority, waiting.cost)
        return waiting

    def wait(self, work: Work, rate: float, now: float) -> float:
        """Return the time until a further statement begins (seconds).

        `rate`: seconds of its class's work done per second.
        """
        own = self._classes.get(class_of(work))
        return 0.0 if own is None else own.wait(work.tenant, rate, now)

    def share_of(self, own: int, classes: Iterable[int]) -> float:
        """Return the minimum share of slot time that a class has beside others, 0 to 1."""
        weight = self._weight(own)
        others = sum(self._weight(known) for known in classes if known != own)
        return weight / (weight + others)

    def _weight(self, priority: int) -> float:
        return float(self._ratio**-priority)

    def _removed(self, priority: int, cost: float) -> None:
        self.work -= cost
        if not self._classes[priority]:
            del self._classes[priority]
            self._turns.remove(priority)
        if not self._classes:
            # Discard rounding errors, which would accumulate.
            self.work = 0.0


def class_of(work: Work) -> int:
    """Return the class of a statement, clamping its priority to the valid range."""
    return max(0, min(LOWEST_PRIORITY, work.priority))
