"""A retry budget: retries may be a share of requests, so that they cannot multiply an overload."""

from typing import NamedTuple

RETRY_SHARE = 0.2
"""Retries earned by each request."""
MINIMUM_RETRIES_A_SECOND = 10.0
CAPACITY = 200.0


class RetryLimits(NamedTuple):
    """What a budget grants.

    `share`: retries earned by each request. `floor`: retries a second that nothing has to earn.
    `capacity`: retries that may be saved up.
    """

    share: float
    minimum_rate: float
    capacity: float


DEFAULT_LIMITS = RetryLimits(RETRY_SHARE, MINIMUM_RETRIES_A_SECOND, CAPACITY)


class RetryBudget:
    """A token bucket: requests and time fill it, retries empty it."""

    __slots__ = ("_filled_at", "_limits", "_tokens")

    def __init__(self, limits: RetryLimits = DEFAULT_LIMITS) -> None:
        self._limits = limits
        self._tokens = limits.capacity
        self._filled_at = 0.0

    def record_request(self) -> None:
        """Note a first attempt."""
        self._tokens = min(self._limits.capacity, self._tokens + self._limits.share)

    def take(self, now: float) -> bool:
        """Take one retry at time `now` (seconds). False: the budget is spent."""
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        earned = elapsed * self._limits.minimum_rate
        self._tokens = min(self._limits.capacity, self._tokens + earned)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
