"""What a relay knows of the other nodes: zones, readers, and how far each member's rows are."""

from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.membership.view import MemberState, MembersView
from bramblebeam.core.ownership.rendezvous import ranked_owners

READERS_A_ZONE = 2
PEERS_TO_JOIN = 3
_READER_KEY = "configuration-reader"


def zone_readers(view: MembersView, zone: ZoneId) -> tuple[NodeId, ...]:
    """Return the members of the zone that read the store, best first."""
    return tuple(ranked_owners(_READER_KEY, view.owners.get(zone, ()))[:READERS_A_ZONE])


class RelayPeers:
    """The members as one node sees them."""

    def __init__(self, node: NodeId, zone: ZoneId) -> None:
        self._node = node
        self._zone = zone
        self._view = MembersView()
        self._readers: dict[ZoneId, tuple[tuple[NodeId, ...], tuple[NodeId, ...]]] = {}
        self._zone_nodes: tuple[NodeId, ...] = (node,)
        self._complete: dict[NodeId, int] = {}
        self.known = False

    def update(self, view: MembersView) -> None:
        """Take a new view of the members."""
        self._view = view
        self.known = True
        nodes = tuple(
            member.spec.node
            for member in view.members.values()
            if member.spec.zone == self._zone and member.state is not MemberState.DEAD
        )
        self._zone_nodes = nodes if self._node in nodes else (self._node, *nodes)
        present = set(self._zone_nodes)
        self._complete = {node: at for node, at in self._complete.items() if node in present}

    @property
    def is_reader(self) -> bool:
        """Whether this node is one of its zone's readers."""
        return self.known and self._node in self._readers_of(self._zone)

    def is_zone_reader(self, node: NodeId) -> bool:
        """Whether `node` is one of the own zone's readers."""
        return node in self._readers_of(self._zone)

    def in_own_zone(self, node: NodeId) -> bool:
        """Whether `node` is in the own zone."""
        member = self._view.members.get(node)
        return member is not None and member.spec.zone == self._zone

    def zone_members(self, but: NodeId | None) -> list[NodeId]:
        """Return the other members of the own zone, without `but`."""
        return [node for node in self._zone_nodes if node not in (self._node, but)]

    def zone_readers(self, but: NodeId | None) -> list[NodeId]:
        """Return the own zone's readers, without this node and `but`."""
        return [node for node in self._readers_of(self._zone) if node not in (self._node, but)]

    def foreign_readers(self, fraction: float) -> list[NodeId]:
        """Return one reader of each other zone."""
        chosen = [_choose(self._readers_of(zone), fraction) for zone in self._foreign_zones()]
        return [node for node in chosen if node is not None]

    def random_zone_member(self, fraction: float) -> NodeId | None:
        """Return another member of the own zone."""
        return _choose(self.zone_members(but=None), fraction)

    def random_foreign_member(self, fraction: float) -> NodeId | None:
        """Return a reader of another zone."""
        return _choose(self.foreign_readers(fraction), (fraction * 7919) % 1.0)

    def join_candidates(self, fraction: float) -> tuple[NodeId, ...]:
        """Return up to three peers to ask for the rows: own readers, then others."""
        asked = self.zone_readers(but=None)
        others = [node for node in self.zone_members(but=None) if node not in asked]
        offset = int(fraction * len(others))
        asked += others[offset:] + others[:offset]
        if len(asked) < PEERS_TO_JOIN:
            foreign = self.foreign_readers(fraction)
            offset = int(fraction * len(foreign))
            asked += foreign[offset:] + foreign[:offset]
        return tuple(asked[:PEERS_TO_JOIN])

    def note_complete(self, node: NodeId, complete: int) -> None:
        """Note how far a member of the own zone is; a restarted one may be further back."""
        if self.in_own_zone(node):
            self._complete[node] = complete

    def zone_completes(self, own: int) -> dict[NodeId, int]:
        """Return how far each member of the own zone is known to be (0: not known)."""
        completes = {node: self._complete.get(node, 0) for node in self._zone_nodes}
        completes[self._node] = own
        return completes

    def _foreign_zones(self) -> list[ZoneId]:
        return sorted(zone for zone in self._view.owners if zone != self._zone)

    def _readers_of(self, zone: ZoneId) -> tuple[NodeId, ...]:
        owners = self._view.owners.get(zone, ())
        cached = self._readers.get(zone)
        if cached is not None and cached[0] == owners:
            return cached[1]
        readers = zone_readers(self._view, zone)
        self._readers[zone] = (owners, readers)
        return readers


def _choose(nodes: list[NodeId] | tuple[NodeId, ...], fraction: float) -> NodeId | None:
    return nodes[int(fraction * len(nodes))] if nodes else None
