"""Early admission control: refuses a statement that can't end in time when it arrives.

This guards against load that stays above capacity for seconds, and against the retries of its
callers. A statement that waits without success delays its caller's retry and takes the place of one
that could have ended. A queue that is filled up to the deadline, or up to the soft deadline,
persists long after a burst: every answer is late, though the database could serve each one
immediately. So a statement may wait for only a part of the time within which its answer is wanted,
and a refused caller retries when there is capacity.

The decision assumes the best case: the reported wait less the time since the report, and a service
time at the lower end of its spread. A statement that is admitted wrongly waits in its queue, where
the exact decision is made.
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
"""A wait that was reported longer ago refuses nothing. A queue longer than that has since been
reported again by some answer, and without any answer it may have changed completely."""
MAX_WAIT_SHARE = 0.4
"""Part of the time to the soft deadline that a statement may wait. The rest is for the network,
the service time, and statements that join the queue before its length is reported again."""
MAX_RETRY_WAIT_SHARE = 0.5
"""The corresponding part for a caller that retries at its scheduled time. It is refused again
only if the queue grew beyond the length at which new callers are refused, so it is next once
there is capacity."""
WASTED_WAIT_SHARE = 0.25
"""A caller that is refused after this part of the time to its soft deadline counts as a wasted
wait. A retry that starts at that moment has three quarters of the time left, part of which the
network takes."""
MAX_TRACKED_REFUSALS = 1_024
"""Maximum number of refusals tracked until it is known whether there was capacity after all."""


class KnownWait(NamedTuple):
    """The expected wait at the database where a statement would begin first.

    `wait`: until it would begin, as reported (seconds). `service`: service time of its kind there.
    `reported_at`: when this was valid (monotonic clock, seconds).
    """

    wait: float
    service: Estimate
    reported_at: float


class KnownLoads(Protocol):
    """What one node knows about the queues of a group's databases."""

    def wait(self, group: GroupId, at_leader: bool, now: float) -> KnownWait | None:
        """Return the shortest wait at a database that may serve it, or None if one is unknown."""


class NoKnownLoads:
    """Known loads of a node that has received no load reports."""

    def wait(self, group: GroupId, at_leader: bool, now: float) -> KnownWait | None:
        """Return None."""
        return None


class RefusalCause(Enum):
    """Why a statement was refused on arrival."""

    TOO_LATE = "too_late"
    """It could not have ended by its soft deadline or its deadline."""
    TRANSACTIONS = "transactions"
    """Too many transactions hold connections for another one to begin."""


def refuse_early(
    work: Work, known: KnownWait | None, lower_classes: int, now: float, is_retry: bool = False
) -> Refused | None:
    """Refuse a statement whose wait is certainly too long; return None to let it proceed.

    `known`: None if no wait was reported. `lower_classes`: number of route classes with a lower
    priority; the statement overtakes each by the ratio of their weights. `is_retry`: the caller was
    refused before, and retries at the time it was given.
    """
    if known is None or known.wait <= 0.0 or now - known.reported_at > STALE_SECONDS:
        return None
    wait = _shortest_wait(known, lower_classes, now)
    service = max(0.0, known.service.mean - known.service.spread)
    share = MAX_RETRY_WAIT_SHARE if is_retry else MAX_WAIT_SHARE
    target = min(work.soft_deadline, work.deadline) - work.arrived
    starts_in_time = wait <= share * target
    if starts_in_time and now + wait + service <= work.deadline:
        return None
    return Refused(max(0.0, wait - MAX_WAIT_SHARE * target))


def _shortest_wait(known: KnownWait, lower_classes: int, now: float) -> float:
    """Return the wait if no statement has joined the queue since the report (seconds)."""
    ahead = known.wait / CLASS_WEIGHT_RATIO ** max(0, lower_classes)
    return max(0.0, ahead - max(0.0, now - known.reported_at))


class AdmissionCounts(NamedTuple):
    """Counters of one node. Refusals by cause are counted elsewhere.

    `wrong_refusals`: a database had a free slot and an empty queue while a refused statement could
    still have ended by its soft deadline. `wasted_waits`: refused after a wait so long that the
    caller lost a retry.
    """

    wrong_refusals: int
    wasted_waits: int


class AdmissionRecord:
    """Counts admission decisions that turn out to have been wrong."""

    def __init__(self) -> None:
        self._latest_starts: list[float] = []
        self._wrong_refusals = 0
        self._wasted_waits = 0

    def record_refusal(self, work: Work, service: float, now: float) -> None:
        """Track a statement that was refused on arrival."""
        self._drop_expired(now)
        if len(self._latest_starts) < MAX_TRACKED_REFUSALS:
            heapq.heappush(self._latest_starts, min(work.soft_deadline, work.deadline) - service)

    def record_idle_slot(self, now: float) -> None:
        """Record a free slot with an empty queue.

        Tracked statements that could still begin were refused wrongly.
        """
        self._drop_expired(now)
        self._wrong_refusals += len(self._latest_starts)
        self._latest_starts.clear()

    def record_unstarted(self, waited: float, target: float) -> None:
        """Record a statement that was refused before it began; count it if it waited for long.

        `target`: from its arrival to its soft deadline (seconds).
        """
        if waited > WASTED_WAIT_SHARE * target:
            self._wasted_waits += 1

    def counts(self) -> AdmissionCounts:
        """Return the counts so far."""
        return AdmissionCounts(self._wrong_refusals, self._wasted_waits)

    def _drop_expired(self, now: float) -> None:
        """Drop refused statements that could no longer begin: they were refused correctly."""
        while self._latest_starts and self._latest_starts[0] < now:
            heapq.heappop(self._latest_starts)


class AdmissionRecords:
    """One record per queue: one for a group's leader, one for all of its databases."""

    def __init__(self) -> None:
        self._records: dict[tuple[GroupId, bool], AdmissionRecord] = {}
        self._removed_counts = AdmissionCounts(0, 0)

    def of(self, group: GroupId, at_leader: bool) -> AdmissionRecord:
        """Return the record for statements of a group's leader, or of any of its databases."""
        return self._records.setdefault((group, at_leader), AdmissionRecord())

    def keep_only(self, groups: frozenset[GroupId]) -> None:
        """Remove groups that are no longer configured; their counts stay in the total."""
        removed = [record for key, record in self._records.items() if key[0] not in groups]
        self._removed_counts = _sum(
            [self._removed_counts, *(record.counts() for record in removed)]
        )
        self._records = {key: record for key, record in self._records.items() if key[0] in groups}

    def counts(self) -> AdmissionCounts:
        """Return the total counts of all queues so far."""
        totals = [record.counts() for record in self._records.values()]
        return _sum([self._removed_counts, *totals])


def _sum(counts: list[AdmissionCounts]) -> AdmissionCounts:
    wrong = sum(found.wrong_refusals for found in counts)
    return AdmissionCounts(wrong, sum(found.wasted_waits for found in counts))
