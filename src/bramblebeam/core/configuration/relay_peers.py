"""A relay's view of the other nodes: zones, readers and the `complete` version of each member."""

from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.membership.view import MemberState, MembersView
from bramblebeam.core.ownership.rendezvous import ranked_owners

READERS_PER_ZONE = 2
JOIN_PEERS = 3
_READER_KEY = "configuration-reader"


def zone_readers(view: MembersView, zone: ZoneId) -> tuple[NodeId, ...]:
    """Return the members of the zone that read the store, highest rank first."""
    return tuple(ranked_owners(_READER_KEY, view.owners.get(zone, ()))[:READERS_PER_ZONE])


class RelayPeers:
    """The members as seen from one node."""

    def __init__(self, node: NodeId, zone: ZoneId) -> None:
        self._node = node
        self._zone = zone
        self._view = MembersView()
        self._readers: dict[ZoneId, tuple[tuple[NodeId, ...], tuple[NodeId, ...]]] = {}
        self._zone_nodes: tuple[NodeId, ...] = (node,)
        self._complete: dict[NodeId, int] = {}
        self.known = False

    def update(self, view: MembersView) -> None:
        """Replace the view of the members."""
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
        """Whether `node` is one of this zone's readers."""
        return node in self._readers_of(self._zone)

    def in_own_zone(self, node: NodeId) -> bool:
        """Whether `node` is in this zone."""
        member = self._view.members.get(node)
        return member is not None and member.spec.zone == self._zone

    def zone_members(self, exclude: NodeId | None) -> list[NodeId]:
        """Return the other members of this zone, without `exclude`."""
        return [node for node in self._zone_nodes if node not in (self._node, exclude)]

    def zone_readers(self, exclude: NodeId | None) -> list[NodeId]:
        """Return this zone's readers, without this node and `exclude`."""
        return [node for node in self._readers_of(self._zone) if node not in (self._node, exclude)]

    def foreign_readers(self, fraction: float) -> list[NodeId]:
        """Return one reader of each other zone, chosen by `fraction` (0 to 1)."""
        chosen = [_choose(self._readers_of(zone), fraction) for zone in self._foreign_zones()]
        return [node for node in chosen if node is not None]

    def random_zone_member(self, fraction: float) -> NodeId | None:
        """Return another member of this zone, chosen by `fraction` (0 to 1)."""
        return _choose(self.zone_members(exclude=None), fraction)

    def random_foreign_member(self, fraction: float) -> NodeId | None:
        """Return a reader of another zone, chosen by `fraction` (0 to 1)."""
        return _choose(self.foreign_readers(fraction), (fraction * 7919) % 1.0)

    def join_candidates(self, fraction: float) -> tuple[NodeId, ...]:
        """Return up to `JOIN_PEERS` peers to query for rows: this zone's readers, then others."""
        peers = self.zone_readers(exclude=None)
        others = [node for node in self.zone_members(exclude=None) if node not in peers]
        offset = int(fraction * len(others))
        peers += others[offset:] + others[:offset]
        if len(peers) < JOIN_PEERS:
            foreign = self.foreign_readers(fraction)
            offset = int(fraction * len(foreign))
            peers += foreign[offset:] + foreign[:offset]
        return tuple(peers[:JOIN_PEERS])

    def record_complete(self, node: NodeId, complete: int) -> None:
        """Record the `complete` version of a member of this zone; a restart may lower it."""
        if self.in_own_zone(node):
            self._complete[node] = complete

    def zone_completes(self, own: int) -> dict[NodeId, int]:
        """Return the last known `complete` version of each member of this zone (0: unknown)."""
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
