"""A node's promise to use no leader of an older term, on which a change of primary relies."""

PROMISE_SECONDS = 3.3
"""For how long a promise counts after it was last given: from the question to the effect of an
order that is answered. The wait for leases takes 0.9 s, two writes of the lease 0.4 s each, the
order 0.6 s and a promotion up to 1 s. A node that meets the new term before keeps to that anyway.
"""


class LeaderPromise:
    """The newest term for which this node was asked to use no older leader, and until when.

    Whoever orders the change has no other hold on a former leader that comes back: members that it
    could not pause may confirm leases there. Times are seconds of the steady clock.
    """

    def __init__(self) -> None:
        self._term = 0
        self._until = float("-inf")

    def give(self, term: int, now: float) -> None:
        """Use no leader of a term below `term` for a while."""
        self._term = max(term, self._term) if now < self._until else term
        self._until = now + PROMISE_SECONDS

    def blocks(self, term: int, now: float) -> bool:
        """Whether a leader of `term` may not be used now."""
        return term < self._term and now < self._until
