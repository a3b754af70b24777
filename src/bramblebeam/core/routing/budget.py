"""Retry budget: limits retries to a share of requests so that they cannot amplify an overload."""

from typing import NamedTuple

RETRY_SHARE = 0.2
"""Retries that each request adds to the budget."""
MINIMUM_RETRIES_A_SECOND = 10.0
CAPACITY = 200.0


class RetryLimits(NamedTuple):
    """Limits of a retry budget.

    `share`: retries added by each request. `minimum_rate`: retries added each second regardless of
    requests. `capacity`: maximum number of unused retries.
    """

    share: float
    minimum_rate: float
    capacity: float


DEFAULT_LIMITS = RetryLimits(RETRY_SHARE, MINIMUM_RETRIES_A_SECOND, CAPACITY)


class RetryBudget:
    """A token bucket that requests and elapsed time refill and retries drain."""

    __slots__ = ("_filled_at", "_limits", "_tokens")

    def __init__(self, limits: RetryLimits = DEFAULT_LIMITS) -> None:
        self._limits = limits
        self._tokens = limits.capacity
        self._filled_at = 0.0

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self._tokens = min(self._limits.capacity, self._tokens + self._limits.share)

    def take(self, now: float) -> bool:
        """Take a retry at time `now` (seconds); return False if the budget is exhausted."""
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        refill = elapsed * self._limits.minimum_rate
        self._tokens = min(self._limits.capacity, self._tokens + refill)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
