"""Chooses the nodes that serve a group; only they keep connections to its databases.

Each serving node proves the group's leader, keeps a lease on it and holds connections, so that more
serving nodes than the group's work needs are pure cost. If there are few nodes, each serves every
group. Otherwise a few nodes per region do, chosen by rendezvous hashing over the members, and the
other nodes forward their statements to them, to the nearest first.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.gateway.directory import DatabaseDirectory
from bramblebeam.core.identity import GroupId, NodeId, ZoneId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.ownership.rendezvous import ranked_owners, tenant_key
from bramblebeam.core.tenants import TenantId

CONNECTIONS_PER_NODE = 5
"""Connections to each of a group's databases that a serving node should have."""
MINIMUM_OWNERS = 2
OWNERS_PER_REGION = 2
"""Nodes that serve a group in each region: if one is lost, one is left near its callers."""
SLOTS_PER_OWNER = 4
"""Slots of a group's databases whose statements a node of half a core can carry.

A forwarded statement takes about 0.5 ms of processor time (docs/PERFORMANCE.md, "Statements") and
holds a slot for 20 ms or more, which leaves a factor of five for bursts.
"""
TENANT_OWNERS_PER_REGION = 1
"""The same if each connection belongs to one tenant: the fewer nodes share a database's
connections, the more tenants each of them can keep one for."""
FEW_NODES = 12
"""Up to this number, all nodes serve every group if the databases' connections allow it: forwarding
would save less than it costs. The feed uses the same threshold."""

ANY_GROUP = GroupId("")
"""Stands for every group, where the same nodes serve all groups."""

Regions = Mapping[str, Mapping[ZoneId, tuple[NodeId, ...]]]
"""The nodes that may serve, by region and zone."""


class NodeLocation(NamedTuple):
    """The zone and region of a node."""

    node: NodeId
    zone: ZoneId
    region: str


class Distance(IntEnum):
    """Topological distance from this node."""

    ZONE = 0
    """In the same zone."""
    REGION = 1
    """In another zone of the same region."""
    ELSEWHERE = 2


class GroupSize(NamedTuple):
    """Bounds on the number of nodes that serve a group.

    `maximum_connections`: connections that one of its databases accepts from all nodes together.
    `slots`: statements that its largest database runs concurrently. `by_tenant`: each connection
    belongs to one tenant, so that a tenant's statements should be handled by one node.
    """

    maximum_connections: int
    slots: int = 1
    by_tenant: bool = False


def maximum_owners(size: GroupSize) -> int:
    """Return how many nodes may serve a group, given the connections its databases accept."""
    return max(MINIMUM_OWNERS, size.maximum_connections // CONNECTIONS_PER_NODE)


def target_owners(size: GroupSize, regions: int) -> int:
    """Return how many nodes should serve a group if there are more than FEW_NODES."""
    if size.by_tenant:
        return min(maximum_owners(size), TENANT_OWNERS_PER_REGION * regions)
    by_slots = -(-size.slots // SLOTS_PER_OWNER)
    return min(maximum_owners(size), max(OWNERS_PER_REGION, by_slots) * regions)


def group_owners(
    group: GroupId, regions: Regions, size: GroupSize, near: frozenset[ZoneId] = frozenset()
) -> frozenset[NodeId]:
    """Return the nodes that serve a group, spread evenly over regions and over their zones.

    Zones in `near` are preferred.
    """
    nodes = [node for zones in regions.values() for found in zones.values() for node in found]
    few = MINIMUM_OWNERS if size.by_tenant else min(FEW_NODES, maximum_owners(size))
    if len(nodes) <= few:
        return frozenset(nodes)
    limit = max(MINIMUM_OWNERS, target_owners(size, len(regions)))
    key = _key(group, size)
    chosen = _ranked(key, regions)[:limit]
    per_region = limit // len(chosen)
    return frozenset(
        node for region in chosen for node in _owners_in(key, regions[region], near)[:per_region]
    )


def _owners_in(
    key: str, zones: Mapping[ZoneId, tuple[NodeId, ...]], near: frozenset[ZoneId]
) -> list[NodeId]:
    """Return a region's nodes in order of preference, taken from its zones in rotation."""
    in_turn = sorted(map(ZoneId, _ranked(key, zones)), key=lambda zone: zone not in near)
    ranked = [ranked_owners(key, zones[zone]) for zone in in_turn]
    rounds = max(map(len, ranked), default=0)
    return [found[turn] for turn in range(rounds) for found in ranked if turn < len(found)]


def _ranked(key: str, names: Mapping[str, object] | Mapping[ZoneId, object]) -> list[str]:
    """Return regions or zones in the order in which they get an owner, the same on every node."""
    return list(ranked_owners(key, [NodeId(name) for name in names]))


def _key(group: GroupId, size: GroupSize) -> str:
    """Return the rendezvous hashing key by which a group's owners are chosen.

    If a tenant's statements are handled by one node, the same nodes serve every group, as they
    count the tenant's operations over all groups.
    """
    return "tenants" if size.by_tenant else f"group/{group}"


class OwnerTable:
    """The owners of every group, as seen by one node."""

    def __init__(self, location: NodeLocation, serves_near_databases: bool = False) -> None:
        self.location = location
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
        """Update the zones of databases; a group is served from its databases' zones if possible.

        Traffic between a database and the node that runs its statements then crosses no zone.
        """
        if not self._serves_near_databases:
            return
        near: dict[GroupId, set[ZoneId]] = {}
        for entry in directory.entries.values():
            near.setdefault(entry.group, set()).add(entry.zone)
        found = {group: frozenset(zones) for group, zones in near.items()}
        if found != self._near:
            self._near = found
            self._clear_caches()

    def update(self, members: MembersView) -> None:
        """Update the members."""
        self._members = members
        self._regions = nodes_by_region(members)
        self._region_of = {zone: name for name, zones in self._regions.items() for zone in zones}
        self._clear_caches()

    def _clear_caches(self) -> None:
        self._owners.clear()
        self._nearest.clear()
        self._homes.clear()
        self._homes_in.clear()
        self._from_region.clear()

    @property
    def live_share(self) -> float:
        """The share of the known nodes that are seen to run (0 to 1)."""
        live = sum(map(len, self._members.owners.values()))
        return max(1, live) / max(1, len(self._members.members))

    @property
    def nodes(self) -> frozenset[NodeId]:
        """Every known member."""
        return frozenset(self._members.members)

    def serves(self, group: GroupId, size: GroupSize) -> bool:
        """Whether this node serves the group. A node that knows no other node serves all."""
        owners = self._owners_of(group, size)
        return not owners or self.location.node in owners

    def is_first(self, group: GroupId, size: GroupSize) -> bool:
        """Whether this node is among the first MINIMUM_OWNERS of those that serve the group."""
        owners = self._owners_of(group, size)
        key = _key(group, size)
        return not owners or self.location.node in ranked_owners(key, owners)[:MINIMUM_OWNERS]

    def count(self, group: GroupId, size: GroupSize) -> int:
        """Return how many nodes serve the group, at least one."""
        return max(1, len(self._owners_of(group, size)))

    def nearest(self, group: GroupId, size: GroupSize) -> tuple[NodeId, ...]:
        """Return the other nodes that serve the group, in order of preference, nearest first."""
        key = (group, size)
        found = self._nearest.get(key)
        if found is None:
            others = self._owners_of(group, size) - {self.location.node}
            # Each node ranks equally distant owners differently, which spreads the load.
            ranked = ranked_owners(f"{group}/{self.location.node}", others)
            found = tuple(sorted(ranked, key=self._distance))
            self._nearest[key] = found
        return found

    def homes(self, size: GroupSize, tenant: TenantId) -> tuple[NodeId, ...]:
        """Return the nodes that serve tenants, including this one, the tenant's home first.

        `size` is that of the group with the fewest connections, and is used for all groups.

        The tenant's reads go to the first node in the list, wherever their callers are, so that
        they can reuse each other's connections. That node counts the tenant's operations, too.
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
        """Return the same nodes as `homes`, with those in `regions` first."""
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
        """Return the nodes that serve a group, including this one, those of a region first.

        `region` None: this node's own. Every node ranks a region's nodes alike, so that the
        statements for a database are handled by the same node.
        """
        key = (group, size, region)
        found = self._from_region.get(key)
        if found is None:
            chosen = self.location.region if region is None else region
            ranked = ranked_owners(f"group/{group}", self._owners_of(group, size))
            found = tuple(sorted(ranked, key=lambda node: self._preference(node, group, chosen)))
            self._from_region[key] = found
        return found

    def _preference(self, node: NodeId, group: GroupId, region: str) -> tuple[bool, bool, bool]:
        """Return a sort key: nodes of `region`, then of this node's region, near databases first.

        Nodes of this node's region stand in for those of another one.
        """
        found = self.node_region(node)
        is_near = self._members.members[node].spec.zone in self._near.get(group, frozenset())
        return found != region, found != self.location.region, not is_near

    def serving_in(self, size: GroupSize, region: str) -> int:
        """Return how many of the nodes that serve tenants are in a region."""
        owners = self._owners_of(ANY_GROUP, size)
        return sum(self.node_region(node) == region for node in owners)

    def node_region(self, node: NodeId) -> str:
        """Return a member's region."""
        return self._members.members[node].spec.region

    def region_of(self, zone: ZoneId) -> str | None:
        """Return a zone's region; None if no node is known there."""
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
        """Return the distance to a zone; ELSEWHERE if no node is known there."""
        if zone == self.location.zone:
            return Distance.ZONE
        is_near = self.region_of(zone) == self.location.region
        return Distance.REGION if is_near else Distance.ELSEWHERE

    def slots_per_node(self, group: GroupId, size: GroupSize, slots: int) -> float:
        """Return this node's even share of the slots of a database near it, at least one.

        Only the serving nodes of its own region share them: other regions have databases of their
        own.
        """
        near = self.count(group, size) / max(1, len(self._regions))
        return max(1.0, slots / max(1.0, near))

    def _distance(self, node: NodeId) -> Distance:
        return self.distance(self._members.members[node].spec.zone)


def nodes_by_region(members: MembersView) -> Regions:
    """Return the nodes that may serve, by region and zone; a zone belongs to one region."""
    regions: dict[str, dict[ZoneId, tuple[NodeId, ...]]] = {}
    for zone, nodes in members.owners.items():
        if nodes:
            region = members.members[nodes[0]].spec.region
            regions.setdefault(region, {})[zone] = nodes
    return regions
