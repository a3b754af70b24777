"""Callers, and one database of a few slots that serves them first come, in virtual time."""

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
"""Statements a second."""
AIM = 0.4
TIMEOUT = 1.0
PATIENCE = 3.0
"""How long a caller goes on, over all of its attempts (seconds)."""
RETRIES = 2
TOLD_EVERY = 0.05
"""Between two answers that tell the caller's node how long the queue is (seconds)."""
FIXED_PAUSE = 0.5
"""What refused callers are told where moments are not handed out (seconds)."""
KIND = WorkKind("lookup", Action.READ)
TENANT = TenantId("library")


@dataclass
class Caller:
    """Wants one statement done. Times: seconds since the start."""

    began: float
    service: float
    leaves_after: float = PATIENCE
    attempts: int = 0
    told: float | None = None

    def has_left(self, now: float) -> bool:
        return now >= self.began + self.leaves_after


@dataclass
class Attempt:
    """One statement of a caller, which waits or runs."""

    caller: Caller
    work: Work


@dataclass
class Policy:
    """Which decisions are in force; `withdraws`: what waits for a caller who left is removed."""

    admits: bool = True
    spreads: bool = True
    withdraws: bool = True


@dataclass
class Seen:
    """What the callers got."""

    served_at: list[float] = field(default_factory=list)
    late: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    returns: list[float] = field(default_factory=list)
    begun_for_nobody: int = 0

    def goodput(self, start: float, end: float) -> float:
        """Return answers a second that came within the aim."""
        return sum(start <= at < end for at in self.served_at) / (end - start)


class Callers:
    """Plays callers against the database."""

    def __init__(self, policy: Policy) -> None:
        self.seen = Seen()
        self.record = AdmissionRecord()
        self._policy = policy
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._queue: deque[Attempt] = deque()
        self._running = 0
        self._told = KnownWait(0.0, Estimate(SERVICE, 0.0), 0.0)
        self._schedule = RetrySchedule()

    def play(self, callers: Iterable[Caller], until: float) -> Seen:
        for caller in callers:
            self._at(caller.began, lambda caller=caller: self._attempt(caller))  # type: ignore[misc]
        self._at(0.0, self._tell)
        while self._events and self._events[0][0] <= until:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self.seen

    def _at(self, moment: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._numbers), act))

    def _tell(self) -> None:
        self._told = self._known()
        self._at(self._now + TOLD_EVERY, self._tell)

    def _known(self) -> KnownWait:
        waits = len(self._queue) * SERVICE / SLOTS
        return KnownWait(waits, Estimate(SERVICE, SERVICE / 2), self._now)

    def _attempt(self, caller: Caller) -> None:
        if caller.has_left(self._now):
            return
        caller.attempts += 1
        deadline = self._now + TIMEOUT
        work = Work(KIND, TENANT, 0, self._now, self._now + AIM, deadline)
        if self._policy.admits:
            returns = is_scheduled_retry(caller.told, self._now)
            refused = refuse_early(work, self._told, 0, self._now, returns)
            if refused is not None:
                self.record.record_refusal(work, SERVICE, self._now)
                self._refuse(caller, "at_once", refused.room_in)
                return
        self._queue.append(Attempt(caller, work))
        self._fill()

    def _refuse(self, caller: Caller, how: str, room_in: float) -> None:
        self.seen.refused[how] += 1
        if caller.attempts > RETRIES:
            return
        pause, promised = FIXED_PAUSE, False
        if self._policy.spreads:
            outlook = CapacityEstimate(room_in, SERVICE / SLOTS)
            longest = MAX_RETRY_TIMEOUTS * TIMEOUT
            pause, promised = self._schedule.assign(outlook, longest, self._now)
        caller.told = self._now + pause if promised else None
        if promised or not self._policy.spreads:
            self.seen.returns.append(self._now + pause)
        self._at(self._now + pause, lambda: self._attempt(caller))

    def _fill(self) -> None:
        while self._queue and self._running < SLOTS:
            attempt = self._queue.popleft()
            caller = attempt.caller
            if self._policy.withdraws and caller.has_left(self._now):
                continue
            if self._now + SERVICE > attempt.work.deadline:
                self.record.record_unstarted(self._now - attempt.work.arrived, AIM)
                self._refuse(caller, "after_waiting", 0.0)
                continue
            self._running += 1
            self.seen.begun_for_nobody += caller.has_left(self._now)
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
        if self._now <= caller.began + AIM:
            self.seen.served_at.append(self._now)
        else:
            self.seen.late += 1


def arrivals(
    seed: int,
    load: Callable[[float], float],
    until: float,
    leaves_after: Callable[[random.Random], float] = lambda numbers: PATIENCE,
) -> list[Caller]:
    """Return callers that come at `load` times the capacity, by chance."""
    numbers = random.Random(seed)
    now = 0.0
    found = []
    while now < until:
        now += numbers.expovariate(CAPACITY * load(now))
        service = SERVICE * numbers.uniform(0.5, 1.5)
        found.append(Caller(now, service, leaves_after(numbers)))
    return found


class AssignedRetry(NamedTuple):
    """A moment of return. Times: seconds of the clock that the schedule was asked by."""

    asked: float
    after: float

    @property
    def retry_at(self) -> float:
        return self.asked + self.after


def record_retries(monkeypatch: pytest.MonkeyPatch) -> list[AssignedRetry]:
    """Return a list to which each moment is added that refused callers are told from now on."""
    moments: list[AssignedRetry] = []
    hand_out = RetrySchedule.assign

    def noted(
        schedule: RetrySchedule, outlook: CapacityEstimate, longest: float, now: float
    ) -> ScheduledRetry:
        told = hand_out(schedule, outlook, longest, now)
        moments.append(AssignedRetry(now, told.after))
        return told

    monkeypatch.setattr(RetrySchedule, "assign", noted)
    return moments
