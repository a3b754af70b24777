"""When a node tries a change of primary again that it could not finish.

Each try costs callers: members are paused for it, and its write of the lease keeps other nodes from
trying, of which one may need no change at all. So the pauses between tries grow, and a node that
failed again and again steps aside for the others. News of the members is a reason to try at once.
Times are seconds of the steady clock.
"""

from collections.abc import Hashable

INITIAL_DELAY = 0.1
MAX_DELAY = 1.5
"""Long enough for each other node to get its turn (`FailoverTiming.rank_step` for each rank)."""
FAILURES_BEFORE_YIELD = 3
"""After so many tries in vain the lease is given up."""


class FailoverBackoff:
    """Counts the tries that came to nothing while the members stayed as they are."""

    def __init__(self) -> None:
        self._members: Hashable = None
        self._pause = INITIAL_DELAY
        self._until = float("-inf")
        self._count = 0

    def record_failure(self, members: Hashable, now: float) -> None:
        """Note that a try was in vain. `members`: what the directory tells of them."""
        if members != self._members:
            self.reset()
        self._members = members
        self._until = now + self._pause
        self._pause = min(MAX_DELAY, 2 * self._pause)
        self._count += 1

    def reset(self) -> None:
        """Note that there is no trouble any more, or another one."""
        self._pause = INITIAL_DELAY
        self._until = float("-inf")
        self._count = 0

    def must_wait(self, members: Hashable, now: float) -> bool:
        """Whether nothing is to be tried now."""
        return members == self._members and now < self._until

    @property
    def should_yield(self) -> bool:
        """Whether another node is to try next."""
        return self._count >= FAILURES_BEFORE_YIELD
