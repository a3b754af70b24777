"""How a node without rows learns that it has what the others have."""

from bramblebeam.core.identity import NodeId


class Joining:
    """The peers asked last, and those that confirmed. `due`: when to ask again (seconds)."""

    def __init__(self) -> None:
        self.due = 0.0
        self._asked: frozenset[NodeId] = frozenset()
        self._confirmed: set[NodeId] = set()

    def ask(self, peers: tuple[NodeId, ...], again_at: float) -> None:
        """Begin a round with these peers."""
        self.due = again_at
        self._asked = frozenset(peers)
        self._confirmed.clear()

    def hasten(self, now: float) -> None:
        """Let the next round begin at once: rows that were missing have come."""
        self.due = min(self.due, now)

    def confirmed_by(self, peer: NodeId) -> bool:
        """Count a peer of this round; return whether a majority of those asked has confirmed."""
        if peer in self._asked:
            self._confirmed.add(peer)
        return len(self._confirmed) * 2 > len(self._asked)
