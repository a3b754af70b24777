"""Simulated callers and a database with a few slots, first come, first served, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import pytest

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.overload.admission import AdmissionRecord, KnownWait, refuse_early
from bramblebeam.core.overload.ports import Estimate
from bramblebeam.core.overload.retry_schedule import (
    MAX_RETRY_TIMEOUTS,
    CapacityEstimate,
    RetrySchedule,
    ScheduledRetry,
    is_scheduled_retry,
)
from bramblebeam.core.overload.work import Work, WorkKind
from bramblebeam.core.tenants import TenantId

SLOTS = 5
SERVICE = 0.02
CAPACITY = SLOTS / SERVICE
"""Statements per second."""
SOFT_DEADLINE = 0.4
TIMEOUT = 1.0
GIVE_UP_AFTER = 3.0
"""How long a caller keeps trying, over all of its attempts (seconds)."""
RETRIES = 2
REPORT_INTERVAL = 0.05
"""Interval between answers that report the queue length to the caller's node (seconds)."""
FIXED_DELAY = 0.5
"""Retry delay of refused callers if retries are not scheduled (seconds)."""
KIND = WorkKind("lookup", Action.READ)
TENANT = TenantId("library")


@dataclass
class Caller:
    """Wants one statement to be run. Times: seconds since the start."""

    began: float
    service: float
    leaves_after: float = GIVE_UP_AFTER
    attempts: int = 0
    retry_at: float | None = None

    def has_left(self, now: float) -> bool:
        return now >= self.began + self.leaves_after


@dataclass
class Attempt:
    """One statement of a caller, queued or running."""

    caller: Caller
    work: Work


@dataclass
class Policy:
    """Which decisions are enabled. `withdraws`: statements of callers that left are removed."""

    admits: bool = True
    spreads: bool = True
    withdraws: bool = True


@dataclass
class CallerResults:
    """What the callers experienced."""

    served_at: list[float] = field(default_factory=list)
    late: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    retries: list[float] = field(default_factory=list)
    begun_for_departed: int = 0

    def goodput(self, start: float, end: float) -> float:
        """Return the number of answers per second that arrived by the soft deadline."""
        return sum(start <= at < end for at in self.served_at) / (end - start)


class Callers:
    """Simulates callers against the database."""

    def __init__(self, policy: Policy) -> None:
        self.seen = CallerResults()
        self.record = AdmissionRecord()
        self._policy = policy
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._queue: deque[Attempt] = deque()
        self._running = 0
        self._reported = KnownWait(0.0, Estimate(SERVICE, 0.0), 0.0)
        self._schedule = RetrySchedule()

    def play(self, callers: Iterable[Caller], until: float) -> CallerResults:
        for caller in callers:
            self._at(caller.began, lambda caller=caller: self._attempt(caller))  # type: ignore[misc]
        self._at(0.0, self._report)
        while self._events and self._events[0][0] <= until:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self.seen

    def _at(self, moment: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._numbers), act))

    def _report(self) -> None:
        self._reported = self._known()
        self._at(self._now + REPORT_INTERVAL, self._report)

    def _known(self) -> KnownWait:
        wait = len(self._queue) * SERVICE / SLOTS
        return KnownWait(wait, Estimate(SERVICE, SERVICE / 2), self._now)

    def _attempt(self, caller: Caller) -> None:
        if caller.has_left(self._now):
            return
        caller.attempts += 1
        deadline = self._now + TIMEOUT
        work = Work(KIND, TENANT, 0, self._now, self._now + SOFT_DEADLINE, deadline)
        if self._policy.admits:
            is_retry = is_scheduled_retry(caller.retry_at, self._now)
            refused = refuse_early(work, self._reported, 0, self._now, is_retry)
            if refused is not None:
                self.record.record_refusal(work, SERVICE, self._now)
                self._refuse(caller, "at_once", refused.room_in)
                return
        self._queue.append(Attempt(caller, work))
        self._fill()

    def _refuse(self, caller: Caller, cause: str, room_in: float) -> None:
        self.seen.refused[cause] += 1
        if caller.attempts > RETRIES:
            return
        delay, reserved = FIXED_DELAY, False
        if self._policy.spreads:
            capacity = CapacityEstimate(room_in, SERVICE / SLOTS)
            max_delay = MAX_RETRY_TIMEOUTS * TIMEOUT
            delay, reserved = self._schedule.assign(capacity, max_delay, self._now)
        caller.retry_at = self._now + delay if reserved else None
        if reserved or not self._policy.spreads:
            self.seen.retries.append(self._now + delay)
        self._at(self._now + delay, lambda: self._attempt(caller))

    def _fill(self) -> None:
        while self._queue and self._running < SLOTS:
            attempt = self._queue.popleft()
            caller = attempt.caller
            if self._policy.withdraws and caller.has_left(self._now):
                continue
            if self._now + SERVICE > attempt.work.deadline:
                self.record.record_unstarted(self._now - attempt.work.arrived, SOFT_DEADLINE)
                self._refuse(caller, "after_waiting", 0.0)
                continue
            self._running += 1
            self.seen.begun_for_departed += caller.has_left(self._now)
            self._at(self._now + caller.service, lambda found=attempt: self._end(found))  # type: ignore[misc]
        if self._running < SLOTS:
            self.record.record_idle_slot(self._now)

    def _end(self, attempt: Attempt) -> None:
        self._running -= 1
        caller = attempt.caller
        if not caller.has_left(self._now):
            self._served(caller)
        self._fill()

    def _served(self, caller: Caller) -> None:
        if self._now <= caller.began + SOFT_DEADLINE:
            self.seen.served_at.append(self._now)
        else:
            self.seen.late += 1


def arrivals(
    seed: int,
    load: Callable[[float], float],
    until: float,
    leaves_after: Callable[[random.Random], float] = lambda numbers: GIVE_UP_AFTER,
) -> list[Caller]:
    """Return callers that arrive at random, at `load` times the capacity."""
    numbers = random.Random(seed)
    now = 0.0
    found = []
    while now < until:
        now += numbers.expovariate(CAPACITY * load(now))
        service = SERVICE * numbers.uniform(0.5, 1.5)
        found.append(Caller(now, service, leaves_after(numbers)))
    return found


class AssignedRetry(NamedTuple):
    """An assigned retry time. Times: seconds of the clock passed to the schedule."""

    requested_at: float
    after: float

    @property
    def retry_at(self) -> float:
        return self.requested_at + self.after


def record_retries(monkeypatch: pytest.MonkeyPatch) -> list[AssignedRetry]:
    """Return a list that receives each retry time assigned from now on."""
    retries: list[AssignedRetry] = []
    assign = RetrySchedule.assign

    def recorded(
        schedule: RetrySchedule, capacity: CapacityEstimate, max_delay: float, now: float
    ) -> ScheduledRetry:
        retry = assign(schedule, capacity, max_delay, now)
        retries.append(AssignedRetry(now, retry.after))
        return retry

    monkeypatch.setattr(RetrySchedule, "assign", recorded)
    return retries
