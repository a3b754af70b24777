"""This node's connection pools, and the choice of the database that a read is sent to."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol

from bramblebeam.core.gateway.budget import ConnectionBudget
from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.gateway.owners import Distance
from bramblebeam.core.gateway.routes import RouteTable
from bramblebeam.core.identity import (
    GroupId,
    InstanceId,
    ServerName,
    ZoneId,
    incarnation_of,
    server_name,
)
from bramblebeam.core.overload.load import NO_LOADS, DatabaseLoad
from bramblebeam.core.overload.settings import SWITCHED_OFF, OverloadSettings
from bramblebeam.core.role import Role
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Refusal
from bramblebeam.services.gateway.pool import KEPT_IDLE, DatabasePool
from bramblebeam.services.gateway.ports import DatabaseConnector
from bramblebeam.services.gateway.read_targets import ReadTargets
from bramblebeam.services.gateway.slot_queue import SlotQueue
from bramblebeam.services.waiting import loop_time

CONNECTION_SHARE = 3
"""One node opens at most 1 / CONNECTION_SHARE of the connections that a database accepts."""
MINIMUM_CONNECTIONS = 2
"""Minimum share of a serving node."""
DEFAULT_CONNECTIONS = 8
"""Share of a serving node if the group's settings are unknown."""
FALLBACK_CONNECTIONS = 2
"""Connections of a node that doesn't serve the group and can't reach a node that does."""
FAR_CONNECTIONS = 2
"""Connections of a node that serves tenants to a database of another region: one for probes and one
for a statement."""
SPARE_CONNECTIONS = 2
"""Connections left unused, as the database counts a closed connection until it learns of that."""
ASSUMED_LATENCY = 0.02
"""Latency assumed for a database that has not replied to a statement yet (seconds)."""
DISTANCE_PENALTY = {Distance.ZONE: 0.0, Distance.REGION: 0.002, Distance.ELSEWHERE: 0.02}
"""Added to a read's expected time (seconds). The measured latency already includes the network
delay; this is for the cost of traffic, which is low between zones and high between regions."""
LEADER_PENALTY = 0.05
"""Added to a read's expected time at a leader if connections belong to tenants (seconds). It is the
time to open two connections."""
BEHIND_SECONDS = 0.1
"""How long a replica that lacked a read's floor gets no reads."""


class GroupOwners(Protocol):
    """Knows which nodes serve a group, and where they are."""

    def serves(self, group: GroupId) -> bool:
        """Whether this node serves the group."""

    def owner_count(self, group: GroupId) -> int:
        """Return the number of nodes that serve the group, at least 1."""

    def distance(self, zone: ZoneId) -> Distance:
        """Return how far a zone is from this node."""

    @property
    def seen_share(self) -> float:
        """Share of the known nodes that are seen to be running (0 to 1)."""

    def near_servers(self, zone: ZoneId) -> int:
        """Return the number of nodes serving tenants in a zone's region."""

    def slots_a_node(self, group: GroupId, slots: int) -> float:
        """Return this node's even share of the slots of one of the group's databases."""

    @property
    def decides_on_load(self) -> bool:
        """Whether one node near each database controls the load there."""

    def runs_database(self, group: GroupId, zone: ZoneId) -> bool:
        """Whether this node runs all statements for the group's database in `zone`."""


class Placement:
    """Keeps one pool per registered database, and chooses among them.

    `targets`: chooses by reported load; None: the choice is by latency and distance alone.
    """

    def __init__(
        self,
        connector: DatabaseConnector,
        owners: GroupOwners,
        overload: OverloadSettings = SWITCHED_OFF,
        targets: ReadTargets | None = None,
    ) -> None:
        self.targets = targets
        self.pools: dict[InstanceId, DatabasePool] = {}
        self.connector = connector
        self._owners = owners
        self._overload = overload
        self.list_confirmed_at: Callable[[], float] = lambda: float("-inf")
        """Returns when the store last had no newer list of databases (monotonic clock, seconds)."""
        self._directory = DatabaseDirectory()
        self._departed: list[DatabaseEntry] = []
        self._departed_since: dict[InstanceId, float] = {}
        self._by_group: dict[GroupId, list[DatabasePool]] = {}
        self._replica_zones: dict[GroupId, tuple[ZoneId, ...]] = {}
        self._table = RouteTable()
        self._behind_until: dict[InstanceId, float] = {}

    def configure(self, table: RouteTable) -> None:
        """Apply the limits of a new route table."""
        self._table = table
        self.review()

    def review(self) -> None:
        """Set each pool's limits, which depend on whether this node serves the group."""
        for pool in self.pools.values():
            pool.budget.set_bounds(*self._bounds(pool.entry))
            pool.kept_idle = self._kept_idle(pool.entry)
            if pool.slots is not None:
                pool.slots.allow(*self._slot_bounds(pool.entry))

    def update(self, directory: DatabaseDirectory) -> None:
        """Apply the directory: create pools of new databases, and close those of removed ones."""
        self._directory = directory
        self._departed = list(directory.departed.values())
        now = loop_time()
        self._departed_since = {
            instance: self._departed_since.get(instance, now) for instance in directory.departed
        }
        for instance, entry in directory.entries.items():
            pool = self.pools.get(instance)
            if pool is not None and pool.entry.address == entry.address:
                pool.entry = entry
                continue
            if pool is not None:
                pool.close()
            budget = ConnectionBudget(*self._bounds(entry))
            slots = self._slot_queue(entry)
            self.pools[instance] = DatabasePool(entry, self.connector, budget, slots)
        for instance in self.pools.keys() - directory.entries.keys():
            self.pools.pop(instance).close()
        self._by_group.clear()
        for pool in self.pools.values():
            self._by_group.setdefault(pool.entry.group, []).append(pool)
        self._replica_zones = {
            group: tuple(pool.entry.zone for pool in pools if _is_steady_replica(pool.entry))
            for group, pools in self._by_group.items()
        }
        if self.targets is not None:
            self.targets.keep_only(self.pools.values())
        self.review()

    def departed(self, group: GroupId) -> list[DatabaseEntry]:
        """Return the group's databases that left recently and may still be running."""
        return [entry for entry in self._departed if entry.group == group]

    def departed_since(self, instance: InstanceId) -> float:
        """Return when a database was first found to have left (monotonic clock, seconds)."""
        return self._departed_since.get(instance, loop_time())

    def instance_named(self, group: GroupId, name: ServerName) -> InstanceId:
        """Return the instance registered under a name, or the plain name if there is none."""
        found = (pool.entry.instance for pool in self.members(group))
        named = (instance for instance in found if server_name(instance) == name)
        return next(named, InstanceId(name))

    def newest_incarnation(self, group: GroupId, instance: InstanceId) -> InstanceId:
        """Return the registered incarnation of a database if it is newer, else `instance`."""
        registered = self.instance_named(group, server_name(instance))
        return registered if incarnation_of(registered) > incarnation_of(instance) else instance

    def has_restarted(self, group: GroupId, instance: InstanceId) -> bool:
        """Whether a later incarnation of an instance's database is registered."""
        return self.newest_incarnation(group, instance) != instance

    def restarted(self, group: GroupId) -> list[InstanceId]:
        """Return the group's databases that are known to have restarted under their name."""
        found = (pool.entry.instance for pool in self.members(group))
        return [instance for instance in found if instance in self._directory.restarted]

    def synchronous_replicas(self, group: GroupId) -> int:
        """Return how many replicas must receive a commit of the group; 0 if it is unknown."""
        settings = self._table.groups.get(group)
        return 0 if settings is None else settings.synchronous_replicas

    def slots(self, group: GroupId) -> int:
        """Return the number of slots of the group's largest database, at least 1."""
        return max((pool.entry.slots for pool in self.members(group)), default=1)

    def members(self, group: GroupId) -> list[DatabasePool]:
        """Return the pools of a group's databases."""
        return self._by_group.get(group, [])

    def registered_leader(self, group: GroupId) -> DatabaseEntry | None:
        """Return the database registered as the group's primary; None unless it is exactly one."""
        leading = [
            pool.entry
            for pool in self.members(group)
            if pool.entry.role is Role.PRIMARY and not pool.entry.lapsed
        ]
        return leading[0] if len(leading) == 1 else None

    def replica_zones(self, group: GroupId) -> tuple[ZoneId, ...]:
        """Return the zones of the group's replicas that serve reads."""
        return self._replica_zones.get(group, ())

    def far_members(self, group: GroupId) -> set[InstanceId]:
        """Return the group's databases outside of this node's region."""
        return {
            pool.entry.instance
            for pool in self.members(group)
            if self._owners.distance(pool.entry.zone) is Distance.ELSEWHERE
        }

    def by_distance(self, group: GroupId) -> list[DatabasePool]:
        """Return the pools of a group's databases, by the expected time of a reply."""
        return sorted(
            self.members(group),
            key=lambda pool: (
                pool.unresponsive,
                pool.entry.leaving,
                self._owners.distance(pool.entry.zone),
                self._expected_seconds(pool),
            ),
        )

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now = loop_time()
        for pool in self.pools.values():
            pool.close_idle(now)

    def close(self) -> None:
        """Close every pool; `reopen` makes new ones."""
        for pool in self.pools.values():
            pool.close()
        self.pools.clear()
        self._by_group.clear()

    def reopen(self) -> None:
        """Create pools for the databases last known."""
        self.update(self._directory)

    def record_behind(self, instance: InstanceId) -> None:
        """Record that a database was behind a read's floor."""
        if self.targets is not None:
            if instance in self.pools:
                self.targets.record_behind(self.pools[instance])
            return
        self._behind_until[instance] = loop_time() + BEHIND_SECONDS

    def choose(
        self,
        group: GroupId,
        tenant: TenantId,
        excluded: Collection[InstanceId],
        stays: bool = False,
    ) -> DatabasePool | None:
        """Return the pool expected to reply first to a tenant's read, or None.

        `stays`: the read begins a transaction, each statement of which has the network delay.
        """
        now = loop_time()
        candidates = [
            pool
            for pool in self.members(group)
            if (not pool.entry.leaving or pool.entry.lapsed)
            and pool.entry.instance not in excluded
            and self._behind_until.get(pool.entry.instance, 0.0) <= now
        ]
        registered = [pool for pool in candidates if not pool.entry.lapsed]
        candidates = registered or candidates
        if self.targets is not None:
            return self.targets.choose(candidates, tenant, stays)
        responsive = [pool for pool in candidates if not pool.unresponsive]

        def expected(pool: DatabasePool) -> float:
            opening = 0.0 if pool.has_idle(tenant) else pool.open_seconds
            return self._expected_seconds(pool) + opening + self._leader_penalty(pool)

        return min(responsive or candidates, key=expected, default=None)

    def choose_behind(
        self, group: GroupId, tenant: TenantId, excluded: Collection[InstanceId]
    ) -> DatabasePool | None:
        """Return the pool of a database that was recently behind, for a read refused elsewhere.

        It may have caught up, or already have what this read needs. Returns None if none is left,
        or if the choice is not by load.
        """
        if self.targets is None:
            return None
        left = [pool for pool in self.members(group) if pool.entry.instance not in excluded]
        candidates = [pool for pool in left if not pool.entry.leaving or pool.entry.lapsed]
        return self.targets.choose(candidates, tenant, asks_behind=True)

    def loads(self, group: GroupId) -> tuple[DatabaseLoad, ...]:
        """Return the loads of the group's databases to report to other nodes."""
        return NO_LOADS if self.targets is None else self.targets.loads(self.members(group))

    def record_served(self, pool: DatabasePool, seconds: float) -> None:
        """Record a read that was served in `seconds`."""
        if self.targets is not None:
            self.targets.record_served(pool, seconds)

    def record_failure(self, pool: DatabasePool, refusal: Refusal, began: float) -> None:
        """Record a failed attempt that started at `began` (monotonic clock, seconds)."""
        if self.targets is not None:
            self.targets.record_failed(pool, refusal, began)

    def is_unresponsive(self, pool: DatabasePool) -> bool:
        """Whether the choice by load avoids a database because it did not reply."""
        return self.targets is not None and self.targets.is_unresponsive(pool)

    def handle_reported_loads(self, loads: tuple[DatabaseLoad, ...]) -> None:
        """Handle the loads of databases that another node reports."""
        if self.targets is not None:
            self.targets.observe_reported_loads(loads)

    def _expected_seconds(self, pool: DatabasePool) -> float:
        """Return the expected time of a read, including the distance penalty (seconds).

        This node's statements in flight delay it only if they exceed the node's share of slots.
        """
        latency = pool.latency or ASSUMED_LATENCY
        share = self._owners.slots_a_node(pool.entry.group, pool.entry.slots)
        rounds = max(1.0, (1 + pool.load) / share)
        return latency * rounds + DISTANCE_PENALTY[self._owners.distance(pool.entry.zone)]

    def _kept_idle(self, entry: DatabaseEntry) -> int:
        """Return how many idle connections to a database stay open.

        If connections belong to tenants, opening one occupies a slot for as long as a statement
        does, so a serving node keeps its whole share. All nodes together never keep more than the
        database accepts.
        """
        if not self._owners.serves(entry.group):
            return 0
        return KEPT_IDLE if self._table.tenants is None else self._bounds(entry)[0]

    def _leader_penalty(self, pool: DatabasePool) -> float:
        """Return the penalty of a read at a leader (seconds).

        Every tenant's writes need the leader: a read that a replica can serve would take a
        connection from one of them.
        """
        is_scarce = self._table.tenants is not None and pool.entry.role is Role.PRIMARY
        return LEADER_PENALTY if is_scarce else 0.0

    def _bounds(self, entry: DatabaseEntry) -> tuple[int, int]:
        """Return this node's even share of a database's connections, and its maximum."""
        group = entry.group
        if not self._owners.serves(group):
            return FALLBACK_CONNECTIONS, FALLBACK_CONNECTIONS
        settings = self._table.groups.get(group)
        if settings is None:
            return DEFAULT_CONNECTIONS, DEFAULT_CONNECTIONS
        if self._owners.decides_on_load:
            return self._bounds_by_database(entry, settings.maximum_connections)
        if self._table.tenants is not None:
            share = self._maximum_for_tenants(entry)
            return max(1, int(share * self._owners.seen_share)), share
        even = settings.maximum_connections // self._owners.owner_count(group)
        most = settings.maximum_connections // CONNECTION_SHARE
        return max(MINIMUM_CONNECTIONS, even), max(MINIMUM_CONNECTIONS, most)

    def _bounds_by_database(self, entry: DatabaseEntry, most: int) -> tuple[int, int]:
        """Return the bounds if one node near a database runs its statements.

        That node may hold all connections except a few for each other node. The nodes of its region
        may take its place and borrow as many; the database refuses connections beyond its maximum.
        """
        others = self._owners.owner_count(entry.group) - 1
        share = max(MINIMUM_CONNECTIONS, most - SPARE_CONNECTIONS - others * FAR_CONNECTIONS)
        if self._owners.runs_database(entry.group, entry.zone):
            return max(MINIMUM_CONNECTIONS, int(share * self._owners.seen_share)), share
        if self._owners.distance(entry.zone) is Distance.ELSEWHERE:
            return FAR_CONNECTIONS, FAR_CONNECTIONS
        return FAR_CONNECTIONS, share

    def _slot_queue(self, entry: DatabaseEntry) -> SlotQueue | None:
        if not self._overload.enabled:
            return None
        return SlotQueue(entry.instance, self._overload, entry.slots)

    def _slot_bounds(self, entry: DatabaseEntry) -> tuple[int, int]:
        """Return how many slots of a database this node may fill, and its allowance beyond them.

        The nodes of its region that run its statements share them; a node of the region that takes
        their place may fill all. A node of another region gets what its few connections can use.
        """
        if self._owners.runs_database(entry.group, entry.zone):
            return entry.slots, self._overload.slot_allowance
        if self._owners.distance(entry.zone) is Distance.ELSEWHERE:
            return min(entry.slots, FAR_CONNECTIONS), 0
        if self._table.tenants is not None:
            near = max(1, self._owners.near_servers(entry.zone))
            return max(1, -(-entry.slots // near)), self._overload.slot_allowance
        return entry.slots, self._overload.slot_allowance

    def _maximum_for_tenants(self, entry: DatabaseEntry) -> int:
        """Return this node's maximum of connections to a database if they belong to tenants.

        The serving nodes of the database's region run its statements, and share all connections but
        a few. Nodes of other regions have enough to watch the group, and to take their place. In a
        network partition, each side has its own serving nodes: then a node is only sure of its
        side's share of this maximum (`_bounds`).
        """
        settings = self._table.groups.get(entry.group)
        most = DEFAULT_CONNECTIONS if settings is None else settings.maximum_connections
        serving = self._owners.owner_count(entry.group)
        near = self._owners.near_servers(entry.zone)
        if near == 0:
            return max(MINIMUM_CONNECTIONS, (most - SPARE_CONNECTIONS) // serving)
        if self._owners.distance(entry.zone) is Distance.ELSEWHERE:
            return FAR_CONNECTIONS
        far = (serving - near) * FAR_CONNECTIONS
        return max(MINIMUM_CONNECTIONS, (most - SPARE_CONNECTIONS - far) // near)


def _is_steady_replica(entry: DatabaseEntry) -> bool:
    return entry.role is Role.REPLICA and not entry.leaving and not entry.lapsed
