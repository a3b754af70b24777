"""When the callers that a database has no room for come back.

It answers the burst whose refused callers all repeat at once, into the same peak. Each is told a
moment of its own, when there will be room, in the order in which they were refused and no faster
than work is done. One that keeps its moment is turned away again after new ones only.

Where more were refused than there will be room for, the rest is told the truth, which is later than
most of them wait. Spread over the time that they have, they would keep the database full after the
burst: most of their answers are late by then, and so are those of the new callers beside them.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from bramblebeam.core.identity import GroupId

RETRY_SHARE = 0.2
"""The part of a database's work that is promised to those who come back. New callers keep coming
while the refused wait, and can still have their answers when they want them; a larger part would
turn as many of them away, so that a burst goes on after its end."""
MAX_RETRY_TIMEOUTS = 3.0
"""Moments are promised for so many times a statement's time-out: whoever has waited for three of
them has gone, or found another way."""
RETRY_TOLERANCE = 0.25
"""So much before and after its moment a caller counts as returning: its clock, its way and its own
pause are not exact."""
_GOLDEN_SHARE = (math.sqrt(5.0) - 1.0) / 2.0
"""Multiples of it, taken modulo 1, lie evenly in a span however many there are."""


class CapacityEstimate(NamedTuple):
    """What is known of a database as it refuses (seconds).

    `room_in`: until there is room. `pace`: between two statements that end there.
    """

    room_in: float
    pace: float


class ScheduledRetry(NamedTuple):
    """When a refused caller comes back. `after`: seconds. `promised`: there is room for it then."""

    after: float
    reserved: bool


class RetrySchedule:
    """Hands out the moments at which refused callers of one database come back."""

    def __init__(self) -> None:
        self._last = float("-inf")
        self._beyond = 0

    def assign(self, outlook: CapacityEstimate, longest: float, now: float) -> ScheduledRetry:
        """Return when a caller that is refused now comes back.

        `longest`: moments that are further away are not promised (seconds), as whoever asks has
        given up by then. Callers beyond are spread over as long a time after that.
        """
        step = max(0.0, outlook.pace) / RETRY_SHARE
        moment = max(self._last + step, now + max(0.0, outlook.room_in))
        if moment > now + longest:
            return ScheduledRetry(longest * (1.0 + self._spread()), reserved=False)
        self._last = moment
        return ScheduledRetry(moment - now, reserved=True)

    def _spread(self) -> float:
        """Return the next of numbers that lie evenly between 0 and 1."""
        self._beyond += 1
        return self._beyond * _GOLDEN_SHARE % 1.0


class RetrySchedules:
    """One schedule for each queue: a group's leader has one, its replicas have another."""

    def __init__(self) -> None:
        self._schedules: dict[tuple[GroupId, bool], RetrySchedule] = {}

    def of(self, group: GroupId, at_leader: bool) -> RetrySchedule:
        """Return the schedule for what a group's leader, or any of its databases, has to run."""
        return self._schedules.setdefault((group, at_leader), RetrySchedule())

    def keep_only(self, groups: frozenset[GroupId]) -> None:
        """Forget groups that are configured no more."""
        kept = {key: found for key, found in self._schedules.items() if key[0] in groups}
        self._schedules = kept


def is_scheduled_retry(told: float | None, now: float) -> bool:
    """Whether a caller comes back at the moment that it was told (steady clock, seconds)."""
    return told is not None and abs(now - told) <= RETRY_TOLERANCE
