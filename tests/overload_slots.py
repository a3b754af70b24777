"""Simulated database slots in virtual time, and callers whose statements a scheduler orders."""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.limits import SlotAllowance
from bramblebeam.core.overload.ports import SlotLimit
from bramblebeam.core.overload.scheduler import SlotScheduler
from bramblebeam.core.overload.service_times import ServiceTimes
from bramblebeam.core.overload.settings import OverloadSettings
from bramblebeam.core.overload.work import Work, WorkKind
from bramblebeam.core.tenants import TenantId

SLOTS = 6
ALLOWANCE = 2
ROUND_TRIP = 0.002
"""Round trip between the node and the database (seconds)."""
RETRIES = 2
"""Number of retries of a refused caller."""


class Kind(NamedTuple):
    """One kind of statement.

    `share`: of all statements; `seconds`: mean service time; then its soft deadline and deadline.
    """

    name: str
    priority: int
    share: float
    seconds: float
    soft_deadline: float
    deadline: float


URGENT = Kind("urgent", 0, 0.15, 0.009, 0.8, 4.0)
LONG = Kind("long", 1, 0.15, 0.047, 1.2, 8.0)
USUAL = Kind("usual", 2, 0.70, 0.028, 1.5, 4.0)
KINDS = (URGENT, LONG, USUAL)
MEAN_SECONDS = sum(kind.share * kind.seconds for kind in KINDS)


class Statement(NamedTuple):
    """An arriving statement. `seconds`: its service time, which the scheduler does not know."""

    at: float
    kind: Kind
    seconds: float
    tenant: TenantId
    first_at: float
    retries: int = 0
    in_transaction: bool = False

    @property
    def work(self) -> Work:
        """The statement as seen by the scheduler."""
        kind = self.kind
        soft_deadline, deadline = self.first_at + kind.soft_deadline, self.at + kind.deadline
        known = WorkKind(kind.name, Action.READ)
        return Work(
            known, self.tenant, kind.priority, self.at, soft_deadline, deadline, self.in_transaction
        )


Load = Callable[[float], float]
"""Load at a time (seconds), as a multiple of the capacity."""


def arrivals(
    seed: int,
    seconds: float,
    load: Load,
    kind_load: Callable[[Kind, float], float] = lambda kind, at: 1.0,
    tenant: Callable[[random.Random], str] = lambda rng: f"t{rng.randrange(12)}",
    most: float = 16.0,
) -> Iterator[Statement]:
    """Yield statements at random times; `most` bounds the product of all loads."""
    rng = random.Random(seed)
    usual = SLOTS / MEAN_SECONDS
    at = 0.0
    while True:
        at += rng.expovariate(usual * most)
        if at >= seconds:
            return
        kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        if rng.random() * most >= load(at) * kind_load(kind, at):
            continue
        duration = kind.seconds * rng.lognormvariate(-0.08, 0.4)
        yield Statement(at, kind, duration, TenantId(tenant(rng)), at)


@dataclass
class Outcome:
    """Outcomes of the statements. `useful` and `offered`: slot seconds, by second."""

    useful: Counter[int] = field(default_factory=Counter)
    offered: Counter[int] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    by_kind: dict[str, Counter[str]] = field(default_factory=dict)
    by_tenant: dict[TenantId, Counter[str]] = field(default_factory=dict)
    refused_with_room: int = 0
    most_in_flight: int = 0
    longest_refused_wait: float = 0.0
    wasted_waits: int = 0

    def record(self, statement: Statement, what: str) -> None:
        self.counts[what] += 1
        self.by_kind.setdefault(statement.kind.name, Counter())[what] += 1
        self.by_tenant.setdefault(statement.tenant, Counter())[what] += 1

    def goodput(self, since: int, until: int) -> float:
        """Return the useful part of the best possible timely work.

        The bound exceeds what any order reaches, even one that knows all service times: each slot
        is busy without a gap while there is work.
        """
        best = done = 0.0
        for second in range(since, until):
            best += min(float(SLOTS), self.offered[second])
            done += self.useful[second]
        return done / best

    def kind_share(self, kind: Kind) -> float:
        """Return the part of a kind's statements that ended in time."""
        counts = self.by_kind[kind.name]
        return counts["in time"] / counts["offered"]

    def tenant_share(self, tenants: list[TenantId]) -> float:
        """Return the part of some tenants' statements that ended in time."""
        found = [self.by_tenant[tenant] for tenant in tenants]
        in_time = sum(counts["in time"] for counts in found)
        return in_time / sum(counts["offered"] for counts in found)


class SimulatedSlots:
    """Plays statements against one scheduler and a simulated database of `SLOTS` slots.

    The database runs statements first come, first served; statements beyond its slots wait there.
    """

    def __init__(
        self,
        limit: SlotLimit | None = None,
        settings: OverloadSettings | None = None,
        slower: Load = lambda at: 1.0,
        retries: int = RETRIES,
    ) -> None:
        chosen = limit or SlotAllowance(SLOTS, ALLOWANCE)
        self.times = ServiceTimes()
        known = settings or OverloadSettings(enabled=True)
        self.scheduler = SlotScheduler(InstanceId("db"), chosen, self.times, known)
        self.outcome = Outcome()
        self._retries = retries
        self._slower = slower
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = 0
        self._statements: dict[int, Statement] = {}
        self._began: dict[int, float] = {}
        self._busy = 0
        self._queued: deque[int] = deque()

    def at(self, moment: float, event: Callable[[float], None]) -> None:
        """Schedule an event."""
        self._numbers += 1
        heapq.heappush(self._events, (moment, self._numbers, event))

    def play(self, statements: Iterator[Statement]) -> Outcome:
        """Play all statements to their ends."""
        self._arrive_next(statements)
        while self._events:
            moment, _, event = heapq.heappop(self._events)
            event(moment)
            self._step(moment)
        return self.outcome

    def _arrive_next(self, statements: Iterator[Statement]) -> None:
        statement = next(statements, None)
        if statement is None:
            return

        def arrive(now: float) -> None:
            assert statement is not None
            self.outcome.record(statement, "offered")
            self.outcome.offered[int(now)] += statement.seconds
            self.offer(statement, now)
            self._arrive_next(statements)

        self.at(statement.at, arrive)

    def offer(self, statement: Statement, now: float) -> None:
        self._numbers += 1
        number = self._numbers
        self._statements[number] = statement
        refused = self.scheduler.offer(number, statement.work, now)
        if refused is not None:
            self.outcome.refused_with_room += self.scheduler.in_flight < SLOTS
            self._refused(number, refused.room_in, now)
        elif (wakeup := self.scheduler.next_wakeup) is not None:
            self.at(max(now, wakeup), lambda moment: None)

    def _refused(self, number: int, room_in: float, now: float) -> None:
        statement = self._statements.pop(number)
        waited = now - statement.at
        self.outcome.longest_refused_wait = max(self.outcome.longest_refused_wait, waited)
        self.outcome.wasted_waits += waited > statement.kind.soft_deadline / 4
        self.outcome.record(statement, "refused")
        if statement.retries < self._retries:
            again = statement._replace(at=now + room_in, retries=statement.retries + 1)
            self.at(again.at, lambda moment: self.offer(again, moment))
        else:
            self.outcome.record(statement, "given up")

    def _step(self, now: float) -> None:
        while (number := self.scheduler.next(now)) is not None:
            self._begin(number, now)
        for number, refused in self.scheduler.pop_expired(now):
            self._refused(number, refused.room_in, now)
        if (wakeup := self.scheduler.next_wakeup) is not None and not self._events:
            self.at(max(now, wakeup), lambda moment: None)

    def _begin(self, number: int, now: float) -> None:
        self._began[number] = now
        self.outcome.most_in_flight = max(self.outcome.most_in_flight, self.scheduler.in_flight)
        self.at(now + ROUND_TRIP / 2, lambda moment: self._reach(number, moment))

    def _reach(self, number: int, now: float) -> None:
        self._queued.append(number)
        self._run_queued(now)

    def _run_queued(self, now: float) -> None:
        while self._queued and self._busy < SLOTS:
            number = self._queued.popleft()
            self._busy += 1
            ends = now + self._statements[number].seconds * self._slower(now)
            self.at(ends, lambda moment, number=number: self._served(number, moment))

    def _served(self, number: int, now: float) -> None:
        self._busy -= 1
        self._run_queued(now)
        self.at(now + ROUND_TRIP / 2, lambda moment: self._answered(number, moment))

    def _answered(self, number: int, now: float) -> None:
        statement = self._statements.pop(number)
        self.scheduler.finished(number, now - self._began.pop(number), now)
        if now <= statement.first_at + statement.kind.soft_deadline:
            self.outcome.record(statement, "in time")
            self.outcome.useful[int(now)] += statement.seconds
        else:
            self.outcome.record(statement, "late")
