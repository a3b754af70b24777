"""Limits on the statements in flight from one node to a database: reported or learned."""

from __future__ import annotations

import math

RECOVERY_SECONDS = 0.5
"""After a refusal by the database, the limit rises by one statement per this interval: it
recovers within seconds once there is capacity, at the cost of few refusals."""
REFUSAL_WINDOW = 0.05
"""Refusals within this time (seconds) have the same cause, and lower the limit only once."""


class SlotAllowance:
    """Limit of the slots that the database reports, plus an allowance for the network delay.

    It drops by one when the database refuses a statement, as other nodes send to it too, and
    recovers with time.
    """

    def __init__(self, slots: int, allowance: int) -> None:
        self._refused_at = -math.inf
        self._limit_after_refusal = 1
        self._max_limit = 1
        self.allow(slots, allowance)

    def allow(self, slots: int, allowance: int) -> None:
        """Set other bounds, after the members or the slots reported by the database changed."""
        self._max_limit = max(1, slots + allowance)

    def allowed(self, now: float) -> int:
        """Return how many statements may be in flight (`now`: monotonic clock, seconds)."""
        recovered = (now - self._refused_at) / RECOVERY_SECONDS
        if recovered >= self._max_limit:
            return self._max_limit
        return min(self._max_limit, self._limit_after_refusal + int(recovered))

    def answered(self, seconds: float, in_flight: int, now: float) -> None:
        """Do nothing: the database reports its slots, so answer times are not used."""

    def refused(self, now: float) -> None:
        """Lower the limit after the database refused a statement for lack of capacity."""
        if now - self._refused_at < REFUSAL_WINDOW:
            return
        self._limit_after_refusal = max(1, self.allowed(now) - 1)
        self._refused_at = now


GRADIENT_SMOOTHING = 0.2
BASELINE_SMOOTHING = 0.005
"""Weight of one answer in the baseline time without a queue, which may rise only this slowly."""
TOLERANCE = 1.5
"""Answers may take this many times the baseline before the limit falls: service times of one
kind vary by as much."""
MIN_GRADIENT = 0.5
"""A single step never reduces the limit to less than half, as one slow statement is weak
evidence."""


class AdaptiveLimit:
    """Limit learned from answer times, between one and `max_limit`, if no slots are reported.

    The gradient is the ratio of the baseline time without a queue to the recent one. The limit
    moves towards limit * gradient + sqrt(limit), where the root is the queue that keeps the slots
    busy.
    """

    def __init__(self, max_limit: int) -> None:
        self._max_limit = max(1, max_limit)
        self._limit = 1.0
        self._recent = 0.0
        self._baseline = 0.0
        self._refused_at = -math.inf

    def allow(self, max_limit: int) -> None:
        """Set another upper bound."""
        self._max_limit = max(1, max_limit)

    def allowed(self, now: float) -> int:
        """Return how many statements may be in flight."""
        return max(1, min(self._max_limit, int(self._limit)))

    def answered(self, seconds: float, in_flight: int, now: float) -> None:
        """Update the limit from a statement's answer time and the number in flight with it."""
        if not math.isfinite(seconds) or seconds <= 0.0:
            return
        self._recent += GRADIENT_SMOOTHING * (seconds - self._recent)
        if not self._baseline:
            self._recent = self._baseline = seconds
        self._baseline += BASELINE_SMOOTHING * (seconds - self._baseline)
        self._baseline = min(self._baseline, self._recent)
        if 2 * in_flight < self._limit:
            # With so few in flight the limit has no effect on the answer time.
            return
        gradient = TOLERANCE * self._baseline / self._recent
        gradient = max(MIN_GRADIENT, min(1.0, gradient))
        target = self._limit * gradient + math.sqrt(self._limit)
        self._limit += GRADIENT_SMOOTHING * (target - self._limit)
        self._limit = max(1.0, min(float(self._max_limit), self._limit))

    def refused(self, now: float) -> None:
        """Lower the limit after the database refused a statement for lack of capacity."""
        if now - self._refused_at < REFUSAL_WINDOW:
            return
        self._refused_at = now
        self._limit = max(1.0, self._limit * MIN_GRADIENT)
