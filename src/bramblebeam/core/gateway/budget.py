"""How many connections one node may hold to one database, learned from refusals.

A database takes a bounded number of connections from all nodes together, and no node knows how many
the others hold. Each node that serves the group may always hold its even share. It borrows more as
long as the database takes it; a refusal ends that, and the node borrows again one by one.
Times are seconds of the steady clock.
"""

GROWTH_SECONDS = 0.5
"""After a refusal one connection more is tried each so many seconds."""


class ConnectionBudget:
    """The bound of one pool. `even`: a node's even share. `most`: never more than so many."""

    def __init__(self, even: int, most: int) -> None:
        self._refused_at = float("-inf")
        self.set_bounds(even, most)

    def set_bounds(self, even: int, most: int) -> None:
        """Take other bounds, as the limits or the nodes that serve the group changed."""
        self._even = min(even, most)
        self._most = most

    def limit(self, now: float) -> int:
        """Return how many connections may be open now."""
        borrowed = (now - self._refused_at) / GROWTH_SECONDS
        return self._even + int(min(borrowed, self._most - self._even))

    def refused(self, now: float) -> None:
        """The database took no further connection."""
        self._refused_at = now
