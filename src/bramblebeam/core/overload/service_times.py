"""How long statements take at one database, learned by kind."""

from __future__ import annotations

import math
from typing import NamedTuple

from bramblebeam.core.overload.ports import Estimate
from bramblebeam.core.overload.work import WorkKind

ASSUMED_SECONDS = 0.02
"""A kind that was not seen yet is taken for a short indexed statement: one guessed too long would
be refused for nothing, one guessed too short costs a single late answer."""
LONGEST_SECONDS = 60.0
"""No caller waits for a minute: what is said to have taken longer is an error of measurement."""
MAX_KINDS = 256
"""Kinds that are kept: routes times actions of a large configuration. Further ones share the mean
of all, so that callers can't fill the memory."""
SMOOTHING = 0.1
"""Weight of the newest time: after some twenty statements, a fraction of a second under load, the
mean follows a database that became slow, and a single slow one moves it little."""


class _Learned(NamedTuple):
    """Running mean and mean deviation of one kind (seconds), and how many times were seen."""

    mean: float
    deviation: float
    seen: int

    def with_time(self, seconds: float) -> _Learned:
        """Return the same with one time more; the first ones count evenly.

        The first one tells nothing of a spread: what it differs from was assumed.
        """
        weight = max(SMOOTHING, 1 / (self.seen + 1))
        error = seconds - self.mean
        deviation = self.deviation
        if self.seen:
            deviation += weight * (abs(error) - self.deviation)
        return _Learned(self.mean + weight * error, deviation, self.seen + 1)


_UNKNOWN = _Learned(ASSUMED_SECONDS, 0.0, 0)


class ServiceTimes:
    """Running mean and spread of the service times of each kind."""

    def __init__(self) -> None:
        self._kinds: dict[WorkKind, _Learned] = {}
        self._all = _UNKNOWN

    def record(self, kind: WorkKind, seconds: float) -> None:
        """Take the time of a statement that was served; one that can't be is left out."""
        if not math.isfinite(seconds) or not 0.0 <= seconds <= LONGEST_SECONDS:
            return
        self._all = self._all.with_time(seconds)
        known = self._kinds.get(kind)
        if known is not None:
            self._kinds[kind] = known.with_time(seconds)
        elif len(self._kinds) < MAX_KINDS:
            self._kinds[kind] = _UNKNOWN.with_time(seconds)

    def estimate(self, kind: WorkKind) -> Estimate:
        """Return what is to be expected of the next one; the mean of all where none was seen."""
        learned = self._kinds.get(kind, self._all)
        return Estimate(learned.mean, learned.deviation)

    @property
    def mean(self) -> float:
        """The mean time of all statements (seconds)."""
        return self._all.mean
