"""A node's promise not to use leaders of older terms, which a change of primary relies on."""

PROMISE_SECONDS = 3.3
"""How long a promise is valid after it was last given.

It lasts from the request until the order, if answered, takes effect: the wait for leases takes
0.9 s, two writes of the lease 0.4 s each, the order 0.6 s and a promotion up to 1 s. A node that
learns of the new term earlier uses no older leader in any case.
"""


class LeaderPromise:
    """The term below which this node has promised to use no leader, and until when.

    The node that orders the change has no other control over a former leader that comes back:
    members that it could not pause may confirm leases there. Times are seconds of the monotonic
    clock.
    """

    def __init__(self) -> None:
        self._term = 0
        self._until = float("-inf")

    def give(self, term: int, now: float) -> None:
        """Promise to use no leader of a term below `term` for PROMISE_SECONDS."""
        self._term = max(term, self._term) if now < self._until else term
        self._until = now + PROMISE_SECONDS

    def blocks(self, term: int, now: float) -> bool:
        """Whether the promise forbids using a leader of `term` now."""
        return term < self._term and now < self._until
