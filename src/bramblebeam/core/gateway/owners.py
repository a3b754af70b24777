"""Which nodes serve a group: they alone keep connections to its databases.

A database takes a bounded number of connections. Where the nodes are few, each serves every group.
Else a few nodes a zone do, chosen by rendezvous hashing over the members, and the others forward
their statements to them, to the nearest first.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bramblebeam.core.identity import GroupId, NodeId, ZoneId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.ownership.rendezvous import ranked_owners

CONNECTIONS_A_NODE = 5
"""A node that serves a group should have so many connections to each of its databases."""
LEAST_OWNERS = 2


class NodePlace(NamedTuple):
    """Where a node is."""

    node: NodeId
    zone: ZoneId
    region: str


def owner_count(maximum_connections: int) -> int:
    """Return how many nodes may serve a group whose databases take so many connections each."""
    return max(LEAST_OWNERS, maximum_connections // CONNECTIONS_A_NODE)


def group_owners(
    group: GroupId, nodes: Mapping[ZoneId, tuple[NodeId, ...]], limit: int
) -> frozenset[NodeId]:
    """Return the nodes that serve a group: about `limit` of them, spread evenly over the zones."""
    if sum(map(len, nodes.values())) <= limit:
        return frozenset(node for found in nodes.values() for node in found)
    zones = _ranked_zones(group, [zone for zone, found in nodes.items() if found])[:limit]
    a_zone = limit // len(zones)
    return frozenset(
        node for zone in zones for node in ranked_owners(_key(group), nodes[zone])[:a_zone]
    )


def _ranked_zones(group: GroupId, zones: Iterable[ZoneId]) -> list[ZoneId]:
    """Return the zones in the order in which they get an owner, the same at every node."""
    ranked = ranked_owners(_key(group), [NodeId(zone) for zone in zones])
    return [ZoneId(zone) for zone in ranked]


def _key(group: GroupId) -> str:
    return f"group/{group}"


class OwnerTable:
    """The owners of every group, as one node sees them."""

    def __init__(self, place: NodePlace) -> None:
        self.place = place
        self._members = MembersView()
        self._owners: dict[tuple[GroupId, int], frozenset[NodeId]] = {}
        self._nearest: dict[tuple[GroupId, int], tuple[NodeId, ...]] = {}

    def update(self, members: MembersView) -> None:
        """Follow the members."""
        self._members = members
        self._owners.clear()
        self._nearest.clear()

    @property
    def nodes(self) -> frozenset[NodeId]:
        """Every member known."""
        return frozenset(self._members.members)

    def serves(self, group: GroupId, maximum_connections: int) -> bool:
        """Whether this node serves the group. One that knows of no other node serves all."""
        owners = self._owners_of(group, owner_count(maximum_connections))
        return not owners or self.place.node in owners

    def count(self, group: GroupId, maximum_connections: int) -> int:
        """Return how many nodes serve the group, at least one."""
        return max(1, len(self._owners_of(group, owner_count(maximum_connections))))

    def nearest(self, group: GroupId, maximum_connections: int) -> tuple[NodeId, ...]:
        """Return the other nodes that serve the group, the ones to turn to first in front."""
        key = (group, owner_count(maximum_connections))
        found = self._nearest.get(key)
        if found is None:
            others = self._owners_of(*key) - {self.place.node}
            # Each node has an order of its own among equals, so that they share the load.
            ranked = ranked_owners(f"{group}/{self.place.node}", others)
            found = tuple(sorted(ranked, key=self._distance))
            self._nearest[key] = found
        return found

    def _owners_of(self, group: GroupId, limit: int) -> frozenset[NodeId]:
        found = self._owners.get((group, limit))
        if found is None:
            found = group_owners(group, self._members.owners, limit)
            self._owners[group, limit] = found
        return found

    def _distance(self, node: NodeId) -> int:
        """0: the own zone, 1: the own region, 2: another region."""
        spec = self._members.members[node].spec
        if spec.zone == self.place.zone:
            return 0
        return 1 if spec.region == self.place.region else 2
