"""Which statement begins next at one database, and which can't begin in time any more."""

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

RESERVED_INSIDE = 2
"""Statements of open transactions that may be under way beside a full limit. Those that hold the
limit may wait for connections which just these transactions hold."""
SPREADS = 1.0
"""A statement is expected to take its kind's mean time and so many times its spread: begun later
than that before its end, every second one would end too late."""
WAY_BACK_SHARE = 0.05
"""The part of its time that a statement keeps for the way of its answer to the caller."""
TRUSTED_SHARE = 0.8
"""A wait that is expected may take so much of what is left until the aim: those who return with
less time left go ahead, and a wait that turns out longer would have been in vain."""
LATE_SPACE = 0.5
"""The part of the queue beyond which nothing is added that is late: there is space for the rest."""
LEAST_FREE_SHARE = 0.05
"""What is late already gets so much of the limit at least when its wait is estimated."""
SHORTEST_RETURN = 0.05
"""Nobody is told to come back sooner (seconds): a statement that takes long has ended by then."""
OVERDUE_FACTOR = 5.0
"""A statement that has had so many times what it was expected to take has lost its answer, more
likely than it still runs: of usual service times one in a thousand is as long."""
OVERDUE_SECONDS = 0.15
"""Sooner no statement is overdue, however short its kind: a pause of a process lasts as long."""
OVERDUE_LIMIT_FACTOR = 3
"""Statements that are overdue free their slots for others, so many times the limit at most: a
database that hangs gets no more than that beside its limit."""
SPARE_DUE = 64
"""Moments of statements that wait no more, beside as many as wait, before they are cleared out."""


class _Tier(IntEnum):
    """Where a statement waits."""

    INSIDE = 1
    """It belongs to an open transaction."""
    TIMELY = 2
    """Its caller may still have the answer when it wants it."""
    LATE = 3
    """It may still end before its time is over, after all that can be in time."""


class _Place(NamedTuple):
    """One that waits, and the last moments to begin by its aim and by its deadline."""

    tier: _Tier
    waiting: WaitingStatement
    aim_start: float
    last_start: float


class _Running(NamedTuple):
    """One that has begun."""

    waiting: WaitingStatement
    began: float


class _Overdue(NamedTuple):
    """When a statement that has begun is overdue."""

    at: float
    number: int


class _Due(NamedTuple):
    """When a statement has to leave its tier."""

    at: float
    number: int
    tier: _Tier


class SlotScheduler:
    """Orders the statements for one database. Times: steady clock, seconds.

    A statement under way that is overdue does not count against the limit: where answers are lost,
    each would keep a slot from others until its time is over.

    What can't end in time any more is begun only after all that can; what can't end before its
    deadline is not begun at all, and refused as soon as that is known.
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
        self._places: dict[int, _Place] = {}
        self._at_once: deque[WaitingStatement] = deque()
        self._inside: dict[int, WaitingStatement] = {}
        self._timely = FairQueue(settings.class_weight_ratio)
        self._late = FairQueue(settings.class_weight_ratio)
        self._due: list[_Due] = []
        self._expired: list[tuple[int, Refused]] = []
        self._running: dict[int, _Running] = {}
        self._running_inside = 0
        self._overdue_at: list[_Overdue] = []
        self._overdue: set[int] = set()
        self._demands: dict[int, Demand] = {}

    @property
    def in_flight(self) -> int:
        """Statements that have begun and not ended."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Statements that wait."""
        return len(self._places) + len(self._at_once)

    @property
    def next_wakeup(self) -> float | None:
        """When `expired` and `next` should be asked again at the latest; None: nothing waits."""
        if not self._places or not self._due:
            return None
        return min([self._due[0].at, *(overdue.at for overdue in self._overdue_at[:1])])

    # Arrivals.

    def offer(self, number: int, work: Work, now: float) -> Refused | None:
        """Let a statement wait, or refuse it at once."""
        estimate = self._times.estimate(work.kind)
        waiting = WaitingStatement(number, work, estimate.mean)
        if not self._places and self._has_room(now):
            self._note_demand(waiting, now)
            self._at_once.append(waiting)
            return None
        self._review(now)
        place = _place_of(waiting, estimate, now)
        if place.tier is not _Tier.INSIDE:
            refused = self._refusal(place, now)
            if refused is not None:
                return refused
        if place.tier is _Tier.TIMELY:
            self._note_demand(waiting, now)
        self._add(place, now)
        return None

    def _refusal(self, place: _Place, now: float) -> Refused | None:
        """Return why a statement may not wait, or None. While there is room nothing is refused."""
        if self._has_room(now) and not self._places:
            return None
        wait = self._expected_wait(place, now)
        if not self._has_space(place) or now + wait > place.last_start:
            return self._refused(place, wait, now)
        return None

    def _has_space(self, place: _Place) -> bool:
        """Whether the queue takes one more; what is late never fills it."""
        is_late = place.tier is _Tier.LATE
        return self.waiting < self._longest_queue * (LATE_SPACE if is_late else 1.0)

    def _expected_wait(self, place: _Place, now: float) -> float:
        """Return until when a statement will have begun, from now (seconds)."""
        allowed = self._limit.allowed(now)
        running = self._running_work(now) / allowed
        work = place.waiting.work
        if place.tier is _Tier.TIMELY:
            rate = self._rate_of(class_of(work), now)
            wait = running + self._timely.wait(work, rate, now)
            if now + wait / TRUSTED_SHARE <= place.aim_start:
                return wait
        # It would be late, and gets what those leave over that come after it and can be in time.
        timely = sum(demand.rate(now) for demand in self._demands.values())
        free = max(LEAST_FREE_SHARE * allowed, allowed - timely)
        return running + (self._timely.work + self._late.work) / free

    def _rate_of(self, own: int, now: float) -> float:
        """Return how much of a class's work is done a second: its share, or what others leave."""
        allowed = self._limit.allowed(now)
        demands = {known: demand.rate(now) for known, demand in self._demands.items()}
        others = sum(rate for known, rate in demands.items() if known != own)
        return max(allowed - others, allowed * self._timely.share_of(own, demands))

    def _note_demand(self, waiting: WaitingStatement, now: float) -> None:
        demand = self._demands.setdefault(class_of(waiting.work), Demand())
        demand.record(waiting.cost, now)

    def _refused(self, place: _Place, wait: float, now: float) -> Refused:
        too_long = wait - (place.last_start - now)
        return Refused(max(SHORTEST_RETURN, too_long))

    # The order.

    def next(self, now: float) -> int | None:
        """Return the statement that begins now, or None: nobody waits, or there is no room."""
        if self._at_once:
            return self._begin(self._at_once.popleft(), now)
        if not self._places:
            return None
        self._review(now)
        has_room = self._has_room(now)
        if self._inside and (has_room or self._running_inside < RESERVED_INSIDE):
            number = next(iter(self._inside))
            waiting = self._inside.pop(number)
        elif not has_room:
            return None
        elif self._timely:
            waiting = self._timely.take(now)
        elif self._late:
            waiting = self._late.take(now)
        else:
            return None
        del self._places[waiting.number]
        return self._begin(waiting, now)

    def _begin(self, waiting: WaitingStatement, now: float) -> int:
        self._running[waiting.number] = _Running(waiting, now)
        overdue_at = now + max(OVERDUE_SECONDS, OVERDUE_FACTOR * waiting.cost)
        heapq.heappush(self._overdue_at, _Overdue(overdue_at, waiting.number))
        self._running_inside += waiting.work.in_transaction
        return waiting.number

    # Ends.

    def pop_expired(self, now: float) -> list[tuple[int, Refused]]:
        """Return and forget those that can't begin in time any more."""
        self._review(now)
        expired = self._expired
        self._expired = []
        return expired

    def withdraw(self, number: int) -> None:
        """Forget one that waits, as its caller has left or given up."""
        place = self._places.pop(number, None)
        if place is not None:
            self._remove(place)
            return
        self._at_once = deque(found for found in self._at_once if found.number != number)

    def finished(self, number: int, seconds: float | None, now: float) -> None:
        """One that began has ended; `seconds` at the database, None: it was not served."""
        running = self._running.pop(number, None)
        if running is None:
            return
        self._overdue.discard(number)
        while self._overdue_at and self._overdue_at[0].number not in self._running:
            heapq.heappop(self._overdue_at)
        work = running.waiting.work
        self._running_inside -= work.in_transaction
        if seconds is not None:
            self._times.record(work.kind, seconds)
            self._limit.answered(seconds, len(self._running) + 1, now)

    def load(self, now: float) -> DatabaseLoad:
        """Return what others are told of the database."""
        wait = 0.0
        if not self._has_room(now) or self._places:
            ahead = self._running_work(now) + self._timely.work
            wait = ahead / self._limit.allowed(now)
        return DatabaseLoad(self._instance, wait, self._times.mean)

    # Places.

    def _has_room(self, now: float) -> bool:
        allowed = self._limit.allowed(now)
        begun = len(self._running) + len(self._at_once)
        if begun < allowed:
            return True
        self._note_overdue(now)
        return begun - min(len(self._overdue), OVERDUE_LIMIT_FACTOR * allowed) < allowed

    def _note_overdue(self, now: float) -> None:
        while self._overdue_at and self._overdue_at[0].at <= now:
            number = heapq.heappop(self._overdue_at).number
            if number in self._running:
                self._overdue.add(number)

    def _running_work(self, now: float) -> float:
        """Return what is expected to be left of those under way, and those inside that wait."""
        left = sum(
            max(0.0, running.began + running.waiting.cost - now)
            for running in self._running.values()
        )
        return left + sum(waiting.cost for waiting in self._inside.values())

    def _add(self, place: _Place, now: float) -> None:
        waiting = place.waiting
        self._places[waiting.number] = place
        leaves_at = place.last_start
        if place.tier is _Tier.INSIDE:
            self._inside[waiting.number] = waiting
        elif place.tier is _Tier.TIMELY:
            self._timely.add(waiting, waiting.work.soft_deadline, now)
            leaves_at = min(place.aim_start, place.last_start)
        else:
            self._late.add(waiting, waiting.work.deadline, now)
        self._note_due(_Due(leaves_at, waiting.number, place.tier))

    def _remove(self, place: _Place) -> None:
        if place.tier is _Tier.INSIDE:
            del self._inside[place.waiting.number]
        elif place.tier is _Tier.TIMELY:
            self._timely.remove(place.waiting)
        else:
            self._late.remove(place.waiting)

    def _note_due(self, due: _Due) -> None:
        if len(self._due) > 2 * len(self._places) + SPARE_DUE:
            self._due = [found for found in self._due if self._is_waiting(found)]
            heapq.heapify(self._due)
        heapq.heappush(self._due, due)

    def _is_waiting(self, due: _Due) -> bool:
        place = self._places.get(due.number)
        return place is not None and place.tier is due.tier

    def _review(self, now: float) -> None:
        """Have those wait as late that can't be in time, and those expire that can't begin."""
        while self._due and (self._due[0].at <= now or not self._is_waiting(self._due[0])):
            due = heapq.heappop(self._due)
            if not self._is_waiting(due):
                continue
            place = self._places.pop(due.number)
            self._remove(place)
            late = place._replace(tier=_Tier.LATE)
            wait = self._expected_wait(late, now)
            may_wait = self._has_space(late) and now + wait <= place.last_start
            if place.tier is _Tier.TIMELY and may_wait:
                self._add(late, now)
            else:
                self._expired.append((due.number, self._refused(place, wait, now)))


def _place_of(waiting: WaitingStatement, estimate: Estimate, now: float) -> _Place:
    """Return where a statement waits."""
    work = waiting.work
    needed = estimate.mean + SPREADS * estimate.spread
    aim_start = work.soft_deadline - needed - WAY_BACK_SHARE * (work.soft_deadline - work.arrived)
    last_start = work.deadline - needed - WAY_BACK_SHARE * (work.deadline - work.arrived)
    if work.in_transaction:
        return _Place(_Tier.INSIDE, waiting, aim_start, last_start)
    tier = _Tier.TIMELY if now < aim_start else _Tier.LATE
    return _Place(tier, waiting, aim_start, last_start)
