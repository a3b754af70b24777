"""Whether a statement that arrives can end in time, as early on its way as that is known.

It answers the load that stays above the capacity for seconds, and its callers' repeats: what waits
in vain holds its caller, who comes back late, and takes the place of what could have ended. A queue
that is admitted up to the deadline, or up to the moment when answers are wanted, stands there long
after a burst: everybody's answer is late, though the database could serve each at once. So a
statement may wait for a part of the time within which its answer is wanted, and who is refused
comes back when there is room.

The best case decides: the whole wait as it was told, less the time since, and a service time at the
lower end of its spread. A guess that is wrong lets a statement wait in its queue, where the exact
decision is made.
"""

from __future__ import annotations

import heapq
from enum import Enum
from typing import NamedTuple, Protocol

from bramblebeam.core.identity import GroupId
from bramblebeam.core.overload.ports import Estimate, Refused
from bramblebeam.core.overload.settings import CLASS_WEIGHT_RATIO
from bramblebeam.core.overload.work import Work

STALE_SECONDS = 0.5
"""A wait that was told so long ago refuses nothing: a queue that is longer than that has been told
of again since by any answer, and one without an answer may be another one by now."""
MAX_WAIT_SHARE = 0.4
"""So much of the time within which its answer is wanted a statement may wait: the rest is for the
way, the service, and what joins the queue until its length is told again."""
RETURN_WAIT_SHARE = 0.5
"""The same for one that comes back when it was told to: it is turned away again only if the queue
grew beyond where new ones are turned away already, so that it is next as soon as there is room."""
VAIN_SHARE = 0.25
"""Whoever is refused after so much of the time within which the answer was wanted was held in vain:
a repeat that begins so late has three quarters of it left, of which the way takes a part."""
MAX_TRACKED_REFUSALS = 1_024
"""Refusals that are remembered until it is known whether there was room after all."""


class KnownWait(NamedTuple):
    """What is known of the database that a statement would begin at first.

    `wait`: until it would begin, as told (seconds). `service`: the time of its kind there.
    `told_at`: when that was true (steady clock, seconds).
    """

    wait: float
    service: Estimate
    reported_at: float


class KnownLoads(Protocol):
    """What one node knows of the queues before a group's databases."""

    def wait(self, group: GroupId, at_leader: bool, now: float) -> KnownWait | None:
        """Return the shortest wait at a database that may serve it; None: one is not known."""


class NoKnownLoads:
    """Stands for the loads of a node that nobody has told any."""

    def wait(self, group: GroupId, at_leader: bool, now: float) -> KnownWait | None:
        """Return None."""
        return None


class RefusalCause(Enum):
    """Why a statement was refused as it arrived."""

    TOO_LATE = "too_late"
    """It could not have ended when its answer is wanted, or within its time."""
    TRANSACTIONS = "transactions"
    """Too many transactions hold connections for another one to begin."""


def refuse_early(
    work: Work, known: KnownWait | None, ranks_below: int, now: float, returns: bool = False
) -> Refused | None:
    """Refuse a statement that surely waits for too long; None: it may go on.

    `ranks_below`: how many classes of routes are less urgent than its own, each of which it passes
    by the ratio of their weights. `known` None: nothing was told. `returns`: its caller was refused
    before, and comes back at the moment that it was promised.
    """
    if known is None or known.wait <= 0.0 or now - known.reported_at > STALE_SECONDS:
        return None
    wait = _shortest_wait(known, ranks_below, now)
    service = max(0.0, known.service.mean - known.service.spread)
    share = RETURN_WAIT_SHARE if returns else MAX_WAIT_SHARE
    wanted_within = min(work.soft_deadline, work.deadline) - work.arrived
    is_soon = wait <= share * wanted_within
    if is_soon and now + wait + service <= work.deadline:
        return None
    return Refused(max(0.0, wait - MAX_WAIT_SHARE * wanted_within))


def _shortest_wait(known: KnownWait, ranks_below: int, now: float) -> float:
    """Return the wait if nobody has joined the queue since it was told of (seconds)."""
    ahead = known.wait / CLASS_WEIGHT_RATIO ** max(0, ranks_below)
    return max(0.0, ahead - max(0.0, now - known.reported_at))


class AdmissionCounts(NamedTuple):
    """Counts of one node. Each refusal is counted by its cause elsewhere.

    `refused_wrongly`: a database had a free slot and nobody waiting while a refused statement could
    still have ended when it was wanted. `held_in_vain`: refused after a wait that cost its caller
    a repeat.
    """

    wrong_refusals: int
    wasted_waits: int


class AdmissionRecord:
    """Learns afterwards which decisions were wrong."""

    def __init__(self) -> None:
        self._latest_begins: list[float] = []
        self._refused_wrongly = 0
        self._held_in_vain = 0

    def record_refusal(self, work: Work, service: float, now: float) -> None:
        """Watch a statement that was refused as it arrived."""
        self._forget(now)
        if len(self._latest_begins) < MAX_TRACKED_REFUSALS:
            heapq.heappush(self._latest_begins, min(work.soft_deadline, work.deadline) - service)

    def record_idle_slot(self, now: float) -> None:
        """A slot is free and nobody waits: whatever could still begin was refused wrongly."""
        self._forget(now)
        self._refused_wrongly += len(self._latest_begins)
        self._latest_begins.clear()

    def record_unstarted(self, waited: float, wanted_within: float) -> None:
        """Count a statement that was refused without having begun if it waited for long.

        `wanted_within`: from its arrival to when its answer was wanted (seconds).
        """
        if waited > VAIN_SHARE * wanted_within:
            self._held_in_vain += 1

    def counts(self) -> AdmissionCounts:
        """Return the counts so far."""
        return AdmissionCounts(self._refused_wrongly, self._held_in_vain)

    def _forget(self, now: float) -> None:
        """Drop the refused that could not begin any more: they were refused rightly."""
        while self._latest_begins and self._latest_begins[0] < now:
            heapq.heappop(self._latest_begins)


class AdmissionRecords:
    """One record for each queue: a group's leader has one, all of its databases have another."""

    def __init__(self) -> None:
        self._records: dict[tuple[GroupId, bool], AdmissionRecord] = {}
        self._forgotten = AdmissionCounts(0, 0)

    def of(self, group: GroupId, at_leader: bool) -> AdmissionRecord:
        """Return the record of what a group's leader, or any of its databases, has to run."""
        return self._records.setdefault((group, at_leader), AdmissionRecord())

    def keep_only(self, groups: frozenset[GroupId]) -> None:
        """Forget groups that are configured no more, but for what was counted."""
        gone = [found for key, found in self._records.items() if key[0] not in groups]
        self._forgotten = _sum([self._forgotten, *(found.counts() for found in gone)])
        self._records = {key: found for key, found in self._records.items() if key[0] in groups}

    def counts(self) -> AdmissionCounts:
        """Return the counts of all queues so far."""
        told = [found.counts() for found in self._records.values()]
        return _sum([self._forgotten, *told])


def _sum(told: list[AdmissionCounts]) -> AdmissionCounts:
    wrongly = sum(figures.wrong_refusals for figures in told)
    return AdmissionCounts(wrongly, sum(figures.wasted_waits for figures in told))
