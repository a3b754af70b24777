"""Decides which statement begins next at one database, and which can no longer begin in time."""

from __future__ import annotations

import heapq
from collections import deque
from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.demand import Demand
from bramblebeam.core.overload.load import DatabaseLoad
from bramblebeam.core.overload.ports import Estimate, Refused, SlotLimit
from bramblebeam.core.overload.service_times import ServiceTimes
from bramblebeam.core.overload.settings import OverloadSettings
from bramblebeam.core.overload.work import Work
from bramblebeam.core.overload.work_queue import FairQueue, WaitingStatement, class_of

RESERVED_IN_TRANSACTION = 2
"""Statements of open transactions that may be in flight in excess of a full limit. The
statements that fill the limit may wait for connections that these very transactions hold."""
SPREAD_FACTOR = 1.0
"""A statement is expected to take its kind's mean time plus this many times its spread. Of those
that begin closer to their deadline, every second one would end too late."""
RESPONSE_SHARE = 0.05
"""Part of a statement's time that is reserved for sending its answer to the caller."""
MAX_EXPECTED_WAIT_SHARE = 0.8
"""Maximum part of the time to the soft deadline that an expected wait may take. Retries with
less time left go ahead, and a wait that turns out longer would have been wasted."""
LATE_QUEUE_SHARE = 0.5
"""Part of the queue that late statements may fill; the rest is kept for statements in time."""
MIN_LATE_SHARE = 0.05
"""Minimum part of the limit that is assumed for late statements when their wait is estimated."""
MIN_RETRY_DELAY = 0.05
"""Minimum delay of a retry (seconds): even a long statement has ended by then."""
OVERDUE_FACTOR = 5.0
"""A statement that takes this many times its expected time has more likely lost its answer than
it is still running: of typical service times one in a thousand is as long."""
OVERDUE_SECONDS = 0.15
"""A statement is not overdue before this time, however short its kind: a process pause lasts as
long."""
OVERDUE_LIMIT_FACTOR = 3
"""Overdue statements free their slots for others, up to this many times the limit: a database
that hangs gets no more than that in excess of its limit."""
SPARE_TIMERS = 64
"""Stale timers that are tolerated in addition to twice the queue length before they are purged."""


class _Tier(IntEnum):
    """The queue that a statement waits in."""

    INSIDE = 1
    """It belongs to an open transaction."""
    TIMELY = 2
    """It can still end by its soft deadline."""
    LATE = 3
    """It can only end by its deadline, and runs after all statements that are in time."""


class _Entry(NamedTuple):
    """A queued statement, and the latest times to begin for its soft deadline and its deadline."""

    tier: _Tier
    waiting: WaitingStatement
    soft_latest_start: float
    latest_start: float


class _Running(NamedTuple):
    """A statement that has begun."""

    waiting: WaitingStatement
    began: float


class _Overdue(NamedTuple):
    """When a statement that has begun becomes overdue."""

    at: float
    number: int


class _TierTimer(NamedTuple):
    """When a statement must leave its tier."""

    at: float
    number: int
    tier: _Tier


class SlotScheduler:
    """Orders the statements for one database. Times: monotonic clock, seconds.

    An overdue statement in flight does not count against the limit: otherwise, when answers are
    lost, each would occupy a slot until its deadline.

    A statement that can't meet its soft deadline begins only after all that can. One that can't
    meet its deadline never begins, and is refused as soon as that is known.
    """

    def __init__(
        self,
        instance: InstanceId,
        limit: SlotLimit,
        times: ServiceTimes,
        settings: OverloadSettings,
    ) -> None:
        self._instance = instance
        self._limit = limit
        self._times = times
        self._longest_queue = settings.longest_queue
        self._entries: dict[int, _Entry] = {}
        self._immediate: deque[WaitingStatement] = deque()
        self._in_transaction: dict[int, WaitingStatement] = {}
        self._timely = FairQueue(settings.class_weight_ratio)
        self._late = FairQueue(settings.class_weight_ratio)
        self._timers: list[_TierTimer] = []
        self._expired: list[tuple[int, Refused]] = []
        self._running: dict[int, _Running] = {}
        self._running_in_transaction = 0
        self._overdue_at: list[_Overdue] = []
        self._overdue: set[int] = set()
        self._demands: dict[int, Demand] = {}

    @property
    def in_flight(self) -> int:
        """Number of statements that have begun and not ended."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of queued statements."""
        return len(self._entries) + len(self._immediate)

    @property
    def next_wakeup(self) -> float | None:
        """Latest time for the next call of `pop_expired` and `next`; None if the queue is empty."""
        if not self._entries or not self._timers:
            return None
        return min([self._timers[0].at, *(overdue.at for overdue in self._overdue_at[:1])])

    # Arrivals.

    def offer(self, number: int, work: Work, now: float) -> Refused | None:
        """Queue a statement, or refuse it immediately."""
        estimate = self._times.estimate(work.kind)
        waiting = WaitingStatement(number, work, estimate.mean)
        if not self._entries and self._has_capacity(now):
            self._record_demand(waiting, now)
            self._immediate.append(waiting)
            return None
        self._process_timers(now)
        entry = _entry_of(waiting, estimate, now)
        if entry.tier is not _Tier.INSIDE:
            refused = self._check_admission(entry, now)
            if refused is not None:
                return refused
        if entry.tier is _Tier.TIMELY:
            self._record_demand(waiting, now)
        self._add(entry, now)
        return None

    def _check_admission(self, entry: _Entry, now: float) -> Refused | None:
        """Return a refusal if a statement may not queue, else None.

        While there is capacity and no queue, nothing is refused.
        """
        if self._has_capacity(now) and not self._entries:
            return None
        wait = self._expected_wait(entry, now)
        if not self._has_queue_space(entry) or now + wait > entry.latest_start:
            return self._refused_after(entry, wait, now)
        return None

    def _has_queue_space(self, entry: _Entry) -> bool:
        """Return whether the queue has space for one more; late statements never fill it."""
        is_late = entry.tier is _Tier.LATE
        return self.waiting < self._longest_queue * (LATE_QUEUE_SHARE if is_late else 1.0)

    def _expected_wait(self, entry: _Entry, now: float) -> float:
        """Return the expected time until a statement begins (seconds)."""
        allowed = self._limit.allowed(now)
        running = self._running_work(now) / allowed
        work = entry.waiting.work
        if entry.tier is _Tier.TIMELY:
            rate = self._rate_of(class_of(work), now)
            wait = running + self._timely.wait(work, rate, now)
            if now + wait / MAX_EXPECTED_WAIT_SHARE <= entry.soft_latest_start:
                return wait
        # It would be late: it gets what is left by timely statements that arrive after it.
        timely = sum(demand.rate(now) for demand in self._demands.values())
        free = max(MIN_LATE_SHARE * allowed, allowed - timely)
        return running + (self._timely.work + self._late.work) / free

    def _rate_of(self, own: int, now: float) -> float:
        """Return the seconds of a class's work done per second: its share, or what others leave."""
        allowed = self._limit.allowed(now)
        demands = {known: demand.rate(now) for known, demand in self._demands.items()}
        others = sum(rate for known, rate in demands.items() if known != own)
        return max(allowed - others, allowed * self._timely.share_of(own, demands))

    def _record_demand(self, waiting: WaitingStatement, now: float) -> None:
        demand = self._demands.setdefault(class_of(waiting.work), Demand())
        demand.record(waiting.cost, now)

    def _refused_after(self, entry: _Entry, wait: float, now: float) -> Refused:
        excess = wait - (entry.latest_start - now)
        return Refused(max(MIN_RETRY_DELAY, excess))

    # Dispatch.

    def next(self, now: float) -> int | None:
        """Return the statement that begins now, or None without a queue or without capacity."""
        if self._immediate:
            return self._begin(self._immediate.popleft(), now)
        if not self._entries:
            return None
        self._process_timers(now)
        has_capacity = self._has_capacity(now)
        if self._in_transaction and (
            has_capacity or self._running_in_transaction < RESERVED_IN_TRANSACTION
        ):
            number = next(iter(self._in_transaction))
            waiting = self._in_transaction.pop(number)
        elif not has_capacity:
            return None
        elif self._timely:
            waiting = self._timely.take(now)
        elif self._late:
            waiting = self._late.take(now)
        else:
            return None
        del self._entries[waiting.number]
        return self._begin(waiting, now)

    def _begin(self, waiting: WaitingStatement, now: float) -> int:
        self._running[waiting.number] = _Running(waiting, now)
        overdue_at = now + max(OVERDUE_SECONDS, OVERDUE_FACTOR * waiting.cost)
        heapq.heappush(self._overdue_at, _Overdue(overdue_at, waiting.number))
        self._running_in_transaction += waiting.work.in_transaction
        return waiting.number

    # Completion.

    def pop_expired(self, now: float) -> list[tuple[int, Refused]]:
        """Remove and return the statements that can no longer begin in time."""
        self._process_timers(now)
        expired = self._expired
        self._expired = []
        return expired

    def withdraw(self, number: int) -> None:
        """Remove a queued statement whose caller has left or given up."""
        entry = self._entries.pop(number, None)
        if entry is not None:
            self._remove(entry)
            return
        self._immediate = deque(found for found in self._immediate if found.number != number)

    def finished(self, number: int, seconds: float | None, now: float) -> None:
        """Record the end of a statement.

        `seconds`: its time at the database, or None if it was not served.
        """
        running = self._running.pop(number, None)
        if running is None:
            return
        self._overdue.discard(number)
        while self._overdue_at and self._overdue_at[0].number not in self._running:
            heapq.heappop(self._overdue_at)
        work = running.waiting.work
        self._running_in_transaction -= work.in_transaction
        if seconds is not None:
            self._times.record(work.kind, seconds)
            self._limit.answered(seconds, len(self._running) + 1, now)

    def load(self, now: float) -> DatabaseLoad:
        """Return the load that is reported to other nodes."""
        wait = 0.0
        if not self._has_capacity(now) or self._entries:
            ahead = self._running_work(now) + self._timely.work
            wait = ahead / self._limit.allowed(now)
        return DatabaseLoad(self._instance, wait, self._times.mean)

    # Queue entries.

    def _has_capacity(self, now: float) -> bool:
        allowed = self._limit.allowed(now)
        begun = len(self._running) + len(self._immediate)
        if begun < allowed:
            return True
        self._mark_overdue(now)
        return begun - min(len(self._overdue), OVERDUE_LIMIT_FACTOR * allowed) < allowed

    def _mark_overdue(self, now: float) -> None:
        while self._overdue_at and self._overdue_at[0].at <= now:
            number = heapq.heappop(self._overdue_at).number
            if number in self._running:
                self._overdue.add(number)

    def _running_work(self, now: float) -> float:
        """Return the remaining work in flight and queued in open transactions (seconds)."""
        left = sum(
            max(0.0, running.began + running.waiting.cost - now)
            for running in self._running.values()
        )
        return left + sum(waiting.cost for waiting in self._in_transaction.values())

    def _add(self, entry: _Entry, now: float) -> None:
        waiting = entry.waiting
        self._entries[waiting.number] = entry
        leaves_at = entry.latest_start
        if entry.tier is _Tier.INSIDE:
            self._in_transaction[waiting.number] = waiting
        elif entry.tier is _Tier.TIMELY:
            self._timely.add(waiting, waiting.work.soft_deadline, now)
            leaves_at = min(entry.soft_latest_start, entry.latest_start)
        else:
            self._late.add(waiting, waiting.work.deadline, now)
        self._add_timer(_TierTimer(leaves_at, waiting.number, entry.tier))

    def _remove(self, entry: _Entry) -> None:
        if entry.tier is _Tier.INSIDE:
            del self._in_transaction[entry.waiting.number]
        elif entry.tier is _Tier.TIMELY:
            self._timely.remove(entry.waiting)
        else:
            self._late.remove(entry.waiting)

    def _add_timer(self, timer: _TierTimer) -> None:
        if len(self._timers) > 2 * len(self._entries) + SPARE_TIMERS:
            self._timers = [queued for queued in self._timers if self._is_waiting(queued)]
            heapq.heapify(self._timers)
        heapq.heappush(self._timers, timer)

    def _is_waiting(self, timer: _TierTimer) -> bool:
        entry = self._entries.get(timer.number)
        return entry is not None and entry.tier is timer.tier

    def _process_timers(self, now: float) -> None:
        """Move statements that can't be in time to the late tier; expire those that can't begin."""
        while self._timers and (self._timers[0].at <= now or not self._is_waiting(self._timers[0])):
            timer = heapq.heappop(self._timers)
            if not self._is_waiting(timer):
                continue
            entry = self._entries.pop(timer.number)
            self._remove(entry)
            late = entry._replace(tier=_Tier.LATE)
            wait = self._expected_wait(late, now)
            may_wait = self._has_queue_space(late) and now + wait <= entry.latest_start
            if entry.tier is _Tier.TIMELY and may_wait:
                self._add(late, now)
            else:
                self._expired.append((timer.number, self._refused_after(entry, wait, now)))


def _entry_of(waiting: WaitingStatement, estimate: Estimate, now: float) -> _Entry:
    """Return the queue entry of a statement, with its tier."""
    work = waiting.work
    needed = estimate.mean + SPREAD_FACTOR * estimate.spread
    soft_latest_start = (
        work.soft_deadline - needed - RESPONSE_SHARE * (work.soft_deadline - work.arrived)
    )
    latest_start = work.deadline - needed - RESPONSE_SHARE * (work.deadline - work.arrived)
    if work.in_transaction:
        return _Entry(_Tier.INSIDE, waiting, soft_latest_start, latest_start)
    tier = _Tier.TIMELY if now < soft_latest_start else _Tier.LATE
    return _Entry(tier, waiting, soft_latest_start, latest_start)
