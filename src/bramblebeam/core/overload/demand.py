"""How much work arrives, as a rate over the last second or so."""

import math

MEMORY_SECONDS = 1.0
"""The span over which work is averaged: a burst of a second is told from a steady load, and two
seconds after it ends nothing of it counts much."""


class Demand:
    """Work that arrived lately. Times: steady clock, seconds."""

    def __init__(self) -> None:
        self._work = 0.0
        self._at = -math.inf

    def record(self, cost: float, now: float) -> None:
        """Take work of so many seconds that arrived."""
        self._work = self._remembered(now) + cost
        self._at = max(self._at, now)

    def rate(self, now: float) -> float:
        """Return how many seconds of work arrive a second."""
        return self._remembered(now) / MEMORY_SECONDS

    def _remembered(self, now: float) -> float:
        if not self._work:
            return 0.0
        return self._work * math.exp(-max(0.0, now - self._at) / MEMORY_SECONDS)
