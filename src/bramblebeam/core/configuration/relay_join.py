"""Decides when a node that has fetched its rows from peers may serve by them."""

from bramblebeam.core.identity import NodeId


class JoinQuorum:
    """The peers queried in the current round, and those of them with the same rows.

    `next_round_at`: when the next round is due (seconds).
    """

    def __init__(self) -> None:
        self.next_round_at = 0.0
        self._queried: frozenset[NodeId] = frozenset()
        self._confirmed: set[NodeId] = set()

    def begin_round(self, peers: tuple[NodeId, ...], next_round_at: float) -> None:
        """Begin a round of queries to these peers."""
        self.next_round_at = next_round_at
        self._queried = frozenset(peers)
        self._confirmed.clear()

    def begin_next_round_now(self, now: float) -> None:
        """Make the next round due at once, because missing rows have arrived."""
        self.next_round_at = min(self.next_round_at, now)

    def record_confirmation(self, peer: NodeId) -> bool:
        """Record that a peer has the same rows; return whether a majority of this round has."""
        if peer in self._queried:
            self._confirmed.add(peer)
        return len(self._confirmed) * 2 > len(self._queried)
