"""Measures the rate at which work arrives, averaged over about the last second."""

import math

AVERAGING_SECONDS = 1.0
"""Averaging time constant (seconds). It distinguishes a burst of a second from a steady load;
two seconds after a burst ends it hardly counts any more."""


class Demand:
    """Exponentially weighted arrival rate of work. Times: monotonic clock, seconds."""

    def __init__(self) -> None:
        self._work = 0.0
        self._updated_at = -math.inf

    def record(self, cost: float, now: float) -> None:
        """Add arrived work of `cost` seconds."""
        self._work = self._decayed_work(now) + cost
        self._updated_at = max(self._updated_at, now)

    def rate(self, now: float) -> float:
        """Return how many seconds of work arrive per second."""
        return self._decayed_work(now) / AVERAGING_SECONDS

    def _decayed_work(self, now: float) -> float:
        if not self._work:
            return 0.0
        return self._work * math.exp(-max(0.0, now - self._updated_at) / AVERAGING_SECONDS)
