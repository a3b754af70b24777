"""Delays between a node's failed attempts to change the primary of a group.

Each attempt affects callers: members are paused for it, and its lease write keeps other nodes from
acting, one of which might find that no change is needed. The delay therefore grows, and a node that
failed repeatedly yields to the others. After an update of the members an attempt is allowed at
once. Times are seconds of the monotonic clock.
"""

from collections.abc import Hashable

INITIAL_DELAY = 0.1
MAX_DELAY = 1.5
"""Long enough for every other node to get its turn (`FailoverTiming.rank_step` per rank)."""
FAILURES_BEFORE_YIELD = 3
"""Number of failed attempts after which the node releases the lease."""


class FailoverBackoff:
    """Counts failed attempts to change the primary while the members stay unchanged."""

    def __init__(self) -> None:
        self._members: Hashable = None
        self._delay = INITIAL_DELAY
        self._wait_until = float("-inf")
        self._failures = 0

    def record_failure(self, members: Hashable, now: float) -> None:
        """Record a failed attempt. `members`: what the directory reports about the members."""
        if members != self._members:
            self.reset()
        self._members = members
        self._wait_until = now + self._delay
        self._delay = min(MAX_DELAY, 2 * self._delay)
        self._failures += 1

    def reset(self) -> None:
        """Start over, because the trouble ended or changed."""
        self._delay = INITIAL_DELAY
        self._wait_until = float("-inf")
        self._failures = 0

    def must_wait(self, members: Hashable, now: float) -> bool:
        """Whether no attempt may be made yet."""
        return members == self._members and now < self._wait_until

    @property
    def should_yield(self) -> bool:
        """Whether another node should make the next attempt."""
        return self._failures >= FAILURES_BEFORE_YIELD
