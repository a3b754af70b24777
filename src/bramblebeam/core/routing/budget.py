"""A retry budget: retries may be a share of requests, so that they cannot multiply an overload."""

RETRY_SHARE = 0.2
"""Retries earned by each request."""
MINIMUM_RETRIES_A_SECOND = 10.0
CAPACITY = 200.0


class RetryBudget:
    """A token bucket: requests and time fill it, retries empty it."""

    __slots__ = ("_filled_at", "_tokens")

    def __init__(self) -> None:
        self._tokens = CAPACITY
        self._filled_at = 0.0

    def request(self) -> None:
        """Note a first attempt."""
        self._tokens = min(CAPACITY, self._tokens + RETRY_SHARE)

    def take(self, now: float) -> bool:
        """Take one retry at time `now` (seconds). False: the budget is spent."""
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(CAPACITY, self._tokens + elapsed * MINIMUM_RETRIES_A_SECOND)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
