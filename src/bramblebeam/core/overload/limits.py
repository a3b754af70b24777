"""How many statements one node may have under way at a database, learned or told."""

from __future__ import annotations

import math

RECOVERY_SECONDS = 0.5
"""After the database had no room, one statement more is tried each so many seconds: the limit is
back within a few seconds of the room, and the refusals that this costs are few."""
REFUSED_TOGETHER = 0.05
"""Refusals of one moment come from the same lack of room, and lower the limit once (seconds)."""


class SlotAllowance:
    """The slots that the database tells of, and an allowance for the way there.

    Lowered by one when the database had no room, as others send to it too; raised again with time.
    """

    def __init__(self, slots: int, allowance: int) -> None:
        self._refused_at = -math.inf
        self._lowered_to = 1
        self._most = 1
        self.allow(slots, allowance)

    def allow(self, slots: int, allowance: int) -> None:
        """Take other bounds, as the members or what the database tells of itself changed."""
        self._most = max(1, slots + allowance)

    def allowed(self, now: float) -> int:
        """Return how many may be under way (`now`: steady clock, seconds)."""
        regained = (now - self._refused_at) / RECOVERY_SECONDS
        if regained >= self._most:
            return self._most
        return min(self._most, self._lowered_to + int(regained))

    def answered(self, seconds: float, under_way: int, now: float) -> None:
        """An answer's time tells nothing here: the database says how many slots it has."""

    def refused(self, now: float) -> None:
        """The database had no room for a statement."""
        if now - self._refused_at < REFUSED_TOGETHER:
            return
        self._lowered_to = max(1, self.allowed(now) - 1)
        self._refused_at = now


GRADIENT_SMOOTHING = 0.2
LONG_SMOOTHING = 0.005
"""Weight of one answer in the time without a queue; it may rise only so slowly."""
TOLERANCE = 1.5
"""Answers may take so many times what they took without a queue before the limit falls: service
times of one kind differ by as much."""
LOWEST_GRADIENT = 0.5
"""One step never halves the limit by more, as one slow statement proves little."""


class AdaptiveLimit:
    """A limit learned from answer times, between one and `most`, where no slots are told of.

    The ratio of the time without a queue to the present one is the gradient: the limit moves to
    limit * gradient + sqrt(limit), whose root is the queue that keeps the slots busy.
    """

    def __init__(self, most: int) -> None:
        self._most = max(1, most)
        self._limit = 1.0
        self._present = 0.0
        self._without_queue = 0.0
        self._refused_at = -math.inf

    def allow(self, most: int) -> None:
        """Take another upper bound."""
        self._most = max(1, most)

    def allowed(self, now: float) -> int:
        """Return how many may be under way."""
        return max(1, min(self._most, int(self._limit)))

    def answered(self, seconds: float, under_way: int, now: float) -> None:
        """Take the answer time of a statement, and how many were under way with it."""
        if not math.isfinite(seconds) or seconds <= 0.0:
            return
        self._present += GRADIENT_SMOOTHING * (seconds - self._present)
        if not self._without_queue:
            self._present = self._without_queue = seconds
        self._without_queue += LONG_SMOOTHING * (seconds - self._without_queue)
        self._without_queue = min(self._without_queue, self._present)
        if 2 * under_way < self._limit:
            # So few under way show nothing of what the limit does.
            return
        gradient = TOLERANCE * self._without_queue / self._present
        gradient = max(LOWEST_GRADIENT, min(1.0, gradient))
        wanted = self._limit * gradient + math.sqrt(self._limit)
        self._limit += GRADIENT_SMOOTHING * (wanted - self._limit)
        self._limit = max(1.0, min(float(self._most), self._limit))

    def refused(self, now: float) -> None:
        """The database had no room for a statement."""
        if now - self._refused_at < REFUSED_TOGETHER:
            return
        self._refused_at = now
        self._limit = max(1.0, self._limit * LOWEST_GRADIENT)
