"""Limits the connections of one node to one database, and adapts the limit to refusals.

A database accepts a bounded number of connections from all nodes together, and no node knows how
many the others hold. Each node that serves the group may always hold its even share. It opens more
as long as the database accepts them. A refusal resets the limit to the even share, from which it
grows again one connection at a time. Times are seconds of the monotonic clock.
"""

GROWTH_SECONDS = 0.5
"""Time after a refusal in which the limit grows by one connection (seconds)."""


class ConnectionBudget:
    """The connection limit of one pool.

    `even_share`: the connections that this node may always hold. `maximum`: the upper bound.
    """

    def __init__(self, even_share: int, maximum: int) -> None:
        self._refused_at = float("-inf")
        self.set_bounds(even_share, maximum)

    def set_bounds(self, even_share: int, maximum: int) -> None:
        """Replace the bounds, after a change of the settings or of the nodes that serve."""
        self._even_share = min(even_share, maximum)
        self._maximum = maximum

    def limit(self, now: float) -> int:
        """Return how many connections may be open now."""
        growth = (now - self._refused_at) / GROWTH_SECONDS
        return self._even_share + int(min(growth, self._maximum - self._even_share))

    def record_refusal(self, now: float) -> None:
        """Record that the database refused a connection."""
        self._refused_at = now
