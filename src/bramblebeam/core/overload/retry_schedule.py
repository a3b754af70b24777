"""Schedules the retries of callers that were refused because a database has no capacity.

This keeps the refused callers of a burst from retrying at once, into the same peak. Each gets its
own retry time, when there will be capacity, in the order of their refusals and no faster than work
completes. A caller that retries on time is refused again only after new callers are.

If more were refused than there will be capacity for, the rest get a later time, beyond what most of
them wait. If they were spread over the time they have, they would keep the database full after the
burst: most of their answers would be late, and so would those of new callers.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from bramblebeam.core.identity import GroupId

RETRY_SHARE = 0.2
"""Part of a database's throughput that is reserved for retries. New callers keep arriving, and
can still be answered in time; a larger part would refuse as many of them, so that a burst
continues after its end."""
MAX_RETRY_TIMEOUTS = 3.0
"""Retries are scheduled at most this many times a statement's timeout ahead: a caller that has
waited for three timeouts has given up or found another way."""
RETRY_TOLERANCE = 0.25
"""A caller that returns within this time before or after its scheduled time counts as a
scheduled retry (seconds): clocks, network delays and sleep times are not exact."""
_GOLDEN_RATIO_CONJUGATE = (math.sqrt(5.0) - 1.0) / 2.0
"""Its multiples modulo 1 are spread evenly over an interval, however many there are."""


class CapacityEstimate(NamedTuple):
    """Expected capacity of a database at the time of a refusal (seconds).

    `room_in`: until there is capacity. `completion_interval`: interval between two completions.
    """

    room_in: float
    completion_interval: float


class ScheduledRetry(NamedTuple):
    """When a refused caller should retry.

    `after`: delay in seconds. `reserved`: whether capacity is reserved for it at that time.
    """

    after: float
    reserved: bool


class RetrySchedule:
    """Assigns retry times to the refused callers of one database."""

    def __init__(self) -> None:
        self._last_reserved = float("-inf")
        self._unreserved = 0

    def assign(self, capacity: CapacityEstimate, max_delay: float, now: float) -> ScheduledRetry:
        """Return when a caller that is refused now should retry.

        `max_delay`: maximum delay for a reserved retry (seconds), after which the caller has given
        up. Callers beyond it are spread evenly over an equally long interval after it, without a
        reservation.
        """
        step = max(0.0, capacity.completion_interval) / RETRY_SHARE
        retry_at = max(self._last_reserved + step, now + max(0.0, capacity.room_in))
        if retry_at > now + max_delay:
            return ScheduledRetry(max_delay * (1.0 + self._spread()), reserved=False)
        self._last_reserved = retry_at
        return ScheduledRetry(retry_at - now, reserved=True)

    def _spread(self) -> float:
        """Return the next number of a sequence that is spread evenly between 0 and 1."""
        self._unreserved += 1
        return self._unreserved * _GOLDEN_RATIO_CONJUGATE % 1.0


class RetrySchedules:
    """One schedule per queue: one for a group's leader, another for all of its databases."""

    def __init__(self) -> None:
        self._schedules: dict[tuple[GroupId, bool], RetrySchedule] = {}

    def of(self, group: GroupId, at_leader: bool) -> RetrySchedule:
        """Return the schedule for statements of a group's leader, or of any of its databases."""
        return self._schedules.setdefault((group, at_leader), RetrySchedule())

    def keep_only(self, groups: frozenset[GroupId]) -> None:
        """Remove groups that are no longer configured."""
        kept = {key: schedule for key, schedule in self._schedules.items() if key[0] in groups}
        self._schedules = kept


def is_scheduled_retry(scheduled_at: float | None, now: float) -> bool:
    """Return whether a caller retries at its scheduled time (monotonic clock, seconds)."""
    return scheduled_at is not None and abs(now - scheduled_at) <= RETRY_TOLERANCE
