"""Which nodes serve a group: they alone keep connections to its databases.

Each serving node proves the group's leader, keeps a lease on it and holds connections, so that more
of them than the group's work needs cost without serving anybody. Where the nodes are few, each
serves every group. Else a few nodes a region do, chosen by rendezvous hashing over the members, and
the others forward their statements to them, to the nearest first.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.gateway.directory import DatabaseDirectory
from bramblebeam.core.identity import GroupId, NodeId, ZoneId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.ownership.rendezvous import ranked_owners, tenant_key
from bramblebeam.core.tenants import TenantId

CONNECTIONS_A_NODE = 5
"""A node that serves a group should have so many connections to each of its databases."""
LEAST_OWNERS = 2
OWNERS_A_REGION = 2
"""Nodes that serve a group in each region: one that is lost leaves one near its callers."""
SLOTS_AN_OWNER = 4
"""A node of half a core carries what so many slots of a group's databases serve.

About 0.5 ms of processor time a forwarded statement (docs/PERFORMANCE.md, "Statements") against the
20 ms and more that a statement holds a slot leave a factor of five for bursts.
"""
TENANT_OWNERS_A_REGION = 1
"""The same where each connection belongs to one tenant: the fewer nodes share a database's
connections, the more of its tenants each can keep one for."""
FEW_NODES = 12
"""So few nodes serve every group where the databases' connections allow it: forwarding would save
less than it costs. The feed draws the line at the same number."""

ANY_GROUP = GroupId("")
"""Stands for every group, where the same nodes serve all of them."""

Regions = Mapping[str, Mapping[ZoneId, tuple[NodeId, ...]]]
"""The nodes that may serve, by region and zone."""


class NodeLocation(NamedTuple):
    """Where a node is."""

    node: NodeId
    zone: ZoneId
    region: str


class Distance(IntEnum):
    """How far something is from this node."""

    ZONE = 0
    """In its own zone."""
    REGION = 1
    """In another zone of its region."""
    ELSEWHERE = 2


class GroupSize(NamedTuple):
    """What bounds the number of nodes that serve a group.

    `maximum_connections`: what one of its databases takes from all nodes together. `slots`:
    statements that its largest database runs at a time. `by_tenant`: each connection belongs to one
    tenant, so that a tenant's statements should meet at one node.
    """

    maximum_connections: int
    slots: int = 1
    by_tenant: bool = False


def maximum_owners(size: GroupSize) -> int:
    """Return how many nodes may serve a group by the connections that its databases take."""
    return max(LEAST_OWNERS, size.maximum_connections // CONNECTIONS_A_NODE)


def target_owners(size: GroupSize, regions: int) -> int:
    """Return how many nodes should serve a group whose nodes are many."""
    if size.by_tenant:
        return min(maximum_owners(size), TENANT_OWNERS_A_REGION * regions)
    by_slots = -(-size.slots // SLOTS_AN_OWNER)
    return min(maximum_owners(size), max(OWNERS_A_REGION, by_slots) * regions)


def group_owners(
    group: GroupId, regions: Regions, size: GroupSize, near: frozenset[ZoneId] = frozenset()
) -> frozenset[NodeId]:
    """Return the nodes that serve a group, spread evenly over regions and, in each, over zones.

    Zones in `near` come first.
    """
    nodes = [node for zones in regions.values() for found in zones.values() for node in found]
    few = LEAST_OWNERS if size.by_tenant else min(FEW_NODES, maximum_owners(size))
    if len(nodes) <= few:
        return frozenset(nodes)
    limit = max(LEAST_OWNERS, target_owners(size, len(regions)))
    key = _key(group, size)
    chosen = _ranked(key, regions)[:limit]
    a_region = limit // len(chosen)
    return frozenset(
        node for region in chosen for node in _owners_in(key, regions[region], near)[:a_region]
    )


def _owners_in(
    key: str, zones: Mapping[ZoneId, tuple[NodeId, ...]], near: frozenset[ZoneId]
) -> list[NodeId]:
    """Return a region's nodes, the first owners in front: each zone's in turn."""
    in_turn = sorted(map(ZoneId, _ranked(key, zones)), key=lambda zone: zone not in near)
    ranked = [ranked_owners(key, zones[zone]) for zone in in_turn]
    rounds = max(map(len, ranked), default=0)
    return [found[turn] for turn in range(rounds) for found in ranked if turn < len(found)]


def _ranked(key: str, names: Mapping[str, object] | Mapping[ZoneId, object]) -> list[str]:
    """Return regions or zones in the order in which they get an owner, the same at every node."""
    return list(ranked_owners(key, [NodeId(name) for name in names]))


def _key(group: GroupId, size: GroupSize) -> str:
    """Return by what a group's owners are chosen.

    Where tenants meet at one node, the same nodes serve every group: there the operations of a
    tenant are counted, whichever group they are for.
    """
    return "tenants" if size.by_tenant else f"group/{group}"


class OwnerTable:
    """The owners of every group, as one node sees them."""

    def __init__(self, place: NodeLocation, serves_near_databases: bool = False) -> None:
        self.place = place
        self._serves_near_databases = serves_near_databases
        self._near: dict[GroupId, frozenset[ZoneId]] = {}
        self._members = MembersView()
        self._regions: Regions = {}
        self._region_of: dict[ZoneId, str] = {}
        self._owners: dict[tuple[str, GroupSize], frozenset[NodeId]] = {}
        self._nearest: dict[tuple[GroupId, GroupSize], tuple[NodeId, ...]] = {}
        self._homes: dict[tuple[GroupSize, TenantId], tuple[NodeId, ...]] = {}
        self._from_region: dict[tuple[GroupId, GroupSize, str | None], tuple[NodeId, ...]] = {}
        self._homes_in: dict[tuple[GroupSize, TenantId, frozenset[str]], tuple[NodeId, ...]] = {}

    def update_databases(self, directory: DatabaseDirectory) -> None:
        """Follow where databases are: a group is served from their zones where that is possible.

        What passes between a database and the node that runs its statements then crosses no zone.
        """
        if not self._serves_near_databases:
            return
        near: dict[GroupId, set[ZoneId]] = {}
        for entry in directory.entries.values():
            near.setdefault(entry.group, set()).add(entry.zone)
        found = {group: frozenset(zones) for group, zones in near.items()}
        if found != self._near:
            self._near = found
            self._forget()

    def update(self, members: MembersView) -> None:
        """Follow the members."""
        self._members = members
        self._regions = nodes_by_region(members)
        self._region_of = {zone: name for name, zones in self._regions.items() for zone in zones}
        self._forget()

    def _forget(self) -> None:
        self._owners.clear()
        self._nearest.clear()
        self._homes.clear()
        self._homes_in.clear()
        self._from_region.clear()

    @property
    def live_share(self) -> float:
        """Return how many of the nodes that are known are seen to run, 0 to 1."""
        seen = sum(map(len, self._members.owners.values()))
        return max(1, seen) / max(1, len(self._members.members))

    @property
    def nodes(self) -> frozenset[NodeId]:
        """Every member known."""
        return frozenset(self._members.members)

    def serves(self, group: GroupId, size: GroupSize) -> bool:
        """Whether this node serves the group. One that knows of no other node serves all."""
        owners = self._owners_of(group, size)
        return not owners or self.place.node in owners

    def is_first(self, group: GroupId, size: GroupSize) -> bool:
        """Whether this node is among the first LEAST_OWNERS of those that serve the group."""
        owners = self._owners_of(group, size)
        key = _key(group, size)
        return not owners or self.place.node in ranked_owners(key, owners)[:LEAST_OWNERS]

    def count(self, group: GroupId, size: GroupSize) -> int:
        """Return how many nodes serve the group, at least one."""
        return max(1, len(self._owners_of(group, size)))

    def nearest(self, group: GroupId, size: GroupSize) -> tuple[NodeId, ...]:
        """Return the other nodes that serve the group, the ones to turn to first in front."""
        key = (group, size)
        found = self._nearest.get(key)
        if found is None:
            others = self._owners_of(group, size) - {self.place.node}
            # Each node has an order of its own among equals, so that they share the load.
            ranked = ranked_owners(f"{group}/{self.place.node}", others)
            found = tuple(sorted(ranked, key=self._distance))
            self._nearest[key] = found
        return found

    def homes(self, size: GroupSize, tenant: TenantId) -> tuple[NodeId, ...]:
        """Return the nodes that serve tenants, the tenant's own in front, this one among them.

        `size` is that of the group with the fewest connections: it counts for all of them.

        The tenant's reads meet at the first of them, wherever their callers are: a connection that
        one of them used is there for the next. There its operations are counted, too.
        """
        key = (size, tenant)
        found = self._homes.get(key)
        if found is None:
            owners = self._owners_of(ANY_GROUP, size)
            found = self._homes[key] = tuple(ranked_owners(tenant_key(tenant), owners))
        return found

    def homes_in(
        self, size: GroupSize, tenant: TenantId, regions: frozenset[str]
    ) -> tuple[NodeId, ...]:
        """Return the same nodes as `homes`, those of some regions in front."""
        key = (size, tenant, regions)
        found = self._homes_in.get(key)
        if found is None:
            homes = self.homes(size, tenant)
            found = tuple(sorted(homes, key=lambda node: self.node_region(node) not in regions))
            self._homes_in[key] = found
        return found

    def from_region(
        self, group: GroupId, size: GroupSize, region: str | None
    ) -> tuple[NodeId, ...]:
        """Return the nodes that serve a group, those of a region in front, this one among them.

        None: of this node's region. Of a region's nodes the same one is in front at every node, so
        that the statements for a database meet there.
        """
        key = (group, size, region)
        found = self._from_region.get(key)
        if found is None:
            chosen = self.place.region if region is None else region
            ranked = ranked_owners(f"group/{group}", self._owners_of(group, size))
            found = tuple(sorted(ranked, key=lambda node: self._turn(node, group, chosen)))
            self._from_region[key] = found
        return found

    def _turn(self, node: NodeId, group: GroupId, region: str) -> tuple[bool, bool, bool]:
        """Return when a node's turn comes: its own region's nodes stand in for another one's."""
        found = self.node_region(node)
        is_near = self._members.members[node].spec.zone in self._near.get(group, frozenset())
        return found != region, found != self.place.region, not is_near

    def serving_in(self, size: GroupSize, region: str) -> int:
        """Return how many of the nodes that serve tenants are in a region."""
        owners = self._owners_of(ANY_GROUP, size)
        return sum(self.node_region(node) == region for node in owners)

    def node_region(self, node: NodeId) -> str:
        """Return a member's region."""
        return self._members.members[node].spec.region

    def region_of(self, zone: ZoneId) -> str | None:
        """Return a zone's region; None: no node is known there."""
        return self._region_of.get(zone)

    def _owners_of(self, group: GroupId, size: GroupSize) -> frozenset[NodeId]:
        key = (_key(group, size), size)
        found = self._owners.get(key)
        if found is None:
            near = self._near.get(group, frozenset())
            found = group_owners(group, self._regions, size, near)
            self._owners[key] = found
        return found

    def distance(self, zone: ZoneId) -> Distance:
        """Return how far a zone is; one in which no node is known counts as far."""
        if zone == self.place.zone:
            return Distance.ZONE
        is_near = self.region_of(zone) == self.place.region
        return Distance.REGION if is_near else Distance.ELSEWHERE

    def slots_per_node(self, group: GroupId, size: GroupSize, slots: int) -> float:
        """Return this node's even share of the slots of a database near it, at least one.

        Its own region's serving nodes share them: the others have a database of their own.
        """
        near = self.count(group, size) / max(1, len(self._regions))
        return max(1.0, slots / max(1.0, near))

    def _distance(self, node: NodeId) -> Distance:
        return self.distance(self._members.members[node].spec.zone)


def nodes_by_region(members: MembersView) -> Regions:
    """Return the nodes that may serve, by region and zone; a zone is part of one region."""
    regions: dict[str, dict[ZoneId, tuple[NodeId, ...]]] = {}
    for zone, nodes in members.owners.items():
        if nodes:
            region = members.members[nodes[0]].spec.region
            regions.setdefault(region, {})[zone] = nodes
    return regions
