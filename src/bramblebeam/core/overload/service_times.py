"""Learns how long each kind of statement takes at one database."""

from __future__ import annotations

import math
from typing import NamedTuple

from bramblebeam.core.overload.ports import Estimate
from bramblebeam.core.overload.work import WorkKind

ASSUMED_SECONDS = 0.02
"""An unknown kind is assumed to be a short indexed statement. If the guess is too long,
statements are refused needlessly; if it is too short, a single answer is late."""
MAX_SECONDS = 60.0
"""No caller waits for a minute: a longer time is a measurement error."""
MAX_KINDS = 256
"""Maximum number of kinds tracked: routes times actions of a large configuration. Further kinds
share the mean of all, so that callers can't fill the memory."""
SMOOTHING = 0.1
"""Weight of the latest time: after about twenty statements, a fraction of a second under load,
the mean follows a database that became slow, while a single slow statement has little effect."""


class _TimeStats(NamedTuple):
    """Running mean and mean deviation of one kind (seconds), and the number of samples."""

    mean: float
    deviation: float
    samples: int

    def with_sample(self, seconds: float) -> _TimeStats:
        """Return the statistics with one more sample; the first samples have equal weights.

        The first sample does not update the deviation, as it differs from an assumed mean.
        """
        weight = max(SMOOTHING, 1 / (self.samples + 1))
        error = seconds - self.mean
        deviation = self.deviation
        if self.samples:
            deviation += weight * (abs(error) - self.deviation)
        return _TimeStats(self.mean + weight * error, deviation, self.samples + 1)


_UNKNOWN = _TimeStats(ASSUMED_SECONDS, 0.0, 0)


class ServiceTimes:
    """Running mean and spread of the service times of each kind."""

    def __init__(self) -> None:
        self._kinds: dict[WorkKind, _TimeStats] = {}
        self._all = _UNKNOWN

    def record(self, kind: WorkKind, seconds: float) -> None:
        """Record the time of a statement that was served; implausible times are ignored."""
        if not math.isfinite(seconds) or not 0.0 <= seconds <= MAX_SECONDS:
            return
        self._all = self._all.with_sample(seconds)
        stats = self._kinds.get(kind)
        if stats is not None:
            self._kinds[kind] = stats.with_sample(seconds)
        elif len(self._kinds) < MAX_KINDS:
            self._kinds[kind] = _UNKNOWN.with_sample(seconds)

    def estimate(self, kind: WorkKind) -> Estimate:
        """Return the expected time of the next statement; an unknown kind gets the mean of all."""
        stats = self._kinds.get(kind, self._all)
        return Estimate(stats.mean, stats.deviation)

    @property
    def mean(self) -> float:
        """The mean time of all statements (seconds)."""
        return self._all.mean
