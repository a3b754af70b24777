"""State shared by all sessions of a node."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from bramblebeam.core.gateway.directory import DatabaseDirectory
from bramblebeam.core.gateway.owners import Distance, GroupSize, NodeLocation, OwnerTable
from bramblebeam.core.gateway.routes import Consistency, Route, RouteTable
from bramblebeam.core.gateway.stopping import PlannedStop
from bramblebeam.core.identity import GroupId, NodeId, ServerName, ZoneId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.overload.settings import SWITCHED_OFF, OverloadSettings
from bramblebeam.core.tenants import NO_TENANT, RateLimit, TenantId
from bramblebeam.services.gateway.forwarding import Forwarder, Peers
from bramblebeam.services.gateway.leader_news import LeaderEvent
from bramblebeam.services.gateway.leaders import LeaderTracker
from bramblebeam.services.gateway.limits import TenantLimits
from bramblebeam.services.gateway.load_control import LoadControl
from bramblebeam.services.gateway.metrics import GatewayMetrics
from bramblebeam.services.gateway.placement import DEFAULT_CONNECTIONS, Placement
from bramblebeam.services.gateway.ports import DatabaseConnector
from bramblebeam.services.gateway.read_targets import ReadTargets
from bramblebeam.services.gateway.running import RunningStatements
from bramblebeam.services.gateway.transaction_gates import TransactionGates
from bramblebeam.services.waiting import loop_time

MIN_REPLICA_STALENESS = 0.5
"""Reads with a smaller staleness bound go to the leader (seconds)."""
MEMBERS_TIMEOUT = 0.6
"""After this time from its start a node serves with the members it knows, or alone (seconds)."""
MEMBERS_QUIET_PERIOD = 0.15
"""A node that has met no new member for this long knows enough to serve (seconds): in a running
fleet it receives the whole membership table in one exchange with the first member."""
MEMBERSHIP_SETTLE_SECONDS = 10.0
"""For this long after its start or a membership change, a node may not know all nodes."""
MAX_LEADER_USERS = 32
"""Maximum number of nodes that are requested to stop using a leader."""


class GatewayContext:
    """The routes in force, the connection pools and the leader trackers of a node."""

    def __init__(
        self,
        location: NodeLocation,
        connector: DatabaseConnector,
        peers: Peers,
        publish: Callable[[LeaderEvent], None],
        spawn: Callable[..., asyncio.Task[None]],
        overload: OverloadSettings = SWITCHED_OFF,
    ) -> None:
        self.overload = overload
        self.table = RouteTable()
        self.metrics = GatewayMetrics()
        self.metrics.awaited_logs = self._awaited_logs
        self.owners = OwnerTable(location, serves_near_databases=overload.enabled)
        targets = ReadTargets(self, self.metrics) if overload.enabled else None
        self.placement = Placement(connector, self, overload, targets)
        self.forwarder = Forwarder(self, peers)
        self.load = LoadControl(self)
        self.transactions = TransactionGates(self)
        self.stop = PlannedStop()
        self.running = RunningStatements()
        self.limits = TenantLimits(self, peers)
        self._size_for_tenants = GroupSize(DEFAULT_CONNECTIONS, by_tenant=True)
        self.expects_others = False
        self._members_changed_at = float("-inf")
        self._members_known = asyncio.Event()
        self._members_quiet_timer: asyncio.TimerHandle | None = None
        self._members_timer: asyncio.TimerHandle | None = None
        self._leaders: dict[GroupId, LeaderTracker] = {}
        self._publish = publish
        self.spawn = spawn

    def configure(self, table: RouteTable) -> None:
        """Apply a route table."""
        self.table = table
        caps = [settings.maximum_connections for settings in table.groups.values()]
        fewest = min(caps, default=DEFAULT_CONNECTIONS)
        self._size_for_tenants = GroupSize(fewest, by_tenant=True)
        self.limits.configure()
        self.placement.configure(table)
        self.load.configure(table)
        self._review_leaders()

    def update_members(self, members: MembersView) -> None:
        """Apply a membership view; the groups that this node serves may change."""
        if self.owners.nodes != set(members.members):
            self._members_changed_at = self.now()
            if len(members.members) > 1 and not self._members_known.is_set():
                self._await_quiet()
        self.owners.update(members)
        self.limits.update_members(members)
        self.placement.review()
        self._review_leaders()

    def _await_quiet(self) -> None:
        """Treat the members as known once no new one has appeared for a while."""
        if self._members_quiet_timer is not None:
            self._members_quiet_timer.cancel()
        loop = asyncio.get_running_loop()
        self._members_quiet_timer = loop.call_later(MEMBERS_QUIET_PERIOD, self._members_known.set)

    def leader_users(self, group: GroupId) -> tuple[tuple[NodeId, ...], bool]:
        """Return the other nodes that may use a group's leader, and whether the list is complete.

        Nodes that serve the group come first. Any other node may use the leader too, because it may
        see other members and consider itself one that serves the group. Lost nodes are listed as
        well, and do not answer; a node that this one has not met yet can't be listed.
        """
        serving = self.nearest(group)
        others = sorted(self.owners.nodes - set(serving) - {self.owners.location.node})
        nodes = (*serving, *others)
        has_met_none = self.expects_others and not nodes
        is_steady = self.now() - self._members_changed_at > MEMBERSHIP_SETTLE_SECONDS
        is_complete = is_steady and not has_met_none and len(nodes) <= MAX_LEADER_USERS
        return nodes[:MAX_LEADER_USERS], is_complete

    async def wait_for_members(self, deadline: float) -> None:
        """Wait, right after the start, until this node knows which groups it serves."""
        if not self.expects_others or self._members_known.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await self._members_known.wait()

    def _review_leaders(self) -> None:
        for group, tracker in self._leaders.items():
            tracker.serves = self.serves(group)

    def update(self, directory: DatabaseDirectory) -> None:
        """Apply a change of the database directory."""
        self.owners.update_databases(directory)
        self.limits.update_serving()
        self.placement.update(directory)
        self._review_leaders()
        for tracker in self._leaders.values():
            tracker.directory_changed()

    def leader(self, group: GroupId) -> LeaderTracker:
        """Return the tracker of a group's leader, starting it if needed."""
        tracker = self._leaders.get(group)
        if tracker is None:
            tracker = LeaderTracker(group, self.placement, self._publish, self.spawn)
            tracker.serves = self.serves(group)
            self._leaders[group] = tracker
            self.spawn(tracker.run())
        return tracker

    def _awaited_logs(self) -> int:
        missing = [tracker for tracker in self._leaders.values() if tracker.leader is None]
        return sum(tracker.outlook.awaited_logs for tracker in missing)

    def known_leader(self, group: GroupId) -> LeaderTracker | None:
        """Return the tracker of a group's leader if it is already running.

        Starting one opens connections to every member of the group, which a node that does not
        serve the group must not hold.
        """
        return self._leaders.get(group)

    def stop_using_leader(self, group: GroupId, name: ServerName | None, term: int) -> None:
        """Stop using a database as its group's leader, and any other one of a term below `term`.

        `name` is None if the former leader is unknown.
        """
        tracker = self._leaders.get(group)
        if tracker is not None:
            tracker.relinquish(name, term)

    def resume(self) -> None:
        """Reopen pools and restart leader trackers, once the owning service has started."""
        self._members_changed_at = self.now()
        self.limits.start()
        loop = asyncio.get_running_loop()
        self._members_timer = loop.call_later(MEMBERS_TIMEOUT, self._members_known.set)
        self.placement.reopen()
        for tracker in self._leaders.values():
            self.spawn(tracker.run())

    def serves(self, group: GroupId) -> bool:
        """Return whether this node keeps connections to the group's databases."""
        return self.owners.serves(group, self._size(group))

    def is_first_owner(self, group: GroupId) -> bool:
        """Return whether this node is a first owner, which prepares what all owners need once."""
        return self.owners.is_first(group, self._size(group))

    def owner_count(self, group: GroupId) -> int:
        """Return how many nodes keep connections to the group's databases, at least one."""
        return self.owners.count(group, self._size(group))

    def distance(self, zone: ZoneId) -> Distance:
        """Return how far a zone is from this node."""
        return self.owners.distance(zone)

    def slots_a_node(self, group: GroupId, slots: int) -> float:
        """Return this node's even share of the slots of one of the group's databases."""
        if self.overload.enabled:
            # One node of the region runs all statements for the region's database.
            return float(slots)
        return self.owners.slots_per_node(group, self._size(group), slots)

    def nearest(self, group: GroupId) -> tuple[NodeId, ...]:
        """Return the other nodes that serve a group, the nearest first."""
        return self.owners.nearest(group, self._size(group))

    def homes(self, tenant: TenantId) -> tuple[NodeId, ...]:
        """Return the nodes that serve a tenant's statements, its home node first.

        Empty without tenants: then a group's nodes serve every caller.
        """
        if self.table.tenants is None:
            return ()
        return self.owners.homes(self._size_for_tenants, tenant)

    def serving_tenants(self) -> frozenset[NodeId]:
        """Return all nodes that serve tenants, whichever of them counts a given tenant."""
        return frozenset(self.owners.homes(self._size_for_tenants, NO_TENANT))

    def runners(self, group: GroupId, tenant: TenantId, at_leader: bool) -> tuple[NodeId, ...]:
        """Return the nodes that run a tenant's statements, the preferred one first.

        Lists only nodes that serve the group; unless statements run near databases, it is empty if
        this node serves the group. Statements that only the leader may run (`at_leader`) go to its
        region: a connection is in use for the round trip to the database, and where connections are
        scarce 2 ms or 40 ms per query decide how many operations they carry. Other reads go to a
        region with a replica, because nothing can replace the leader's connections and slots.
        """
        if not self.runs_near_databases:
            return () if self.serves(group) else self.nearest(group)
        if self.overload.enabled:
            region = self.leader_region(group) if at_leader else None
            return self.owners.from_region(group, self._size(group), region)
        regions = self._leader_regions(group) if at_leader else self._replica_regions(group)
        if not regions:
            return self.homes(tenant)
        return self.owners.homes_in(self._size_for_tenants, tenant, regions)

    def runs_here(self, group: GroupId, tenant: TenantId, at_leader: bool) -> bool:
        """Return whether this node runs a tenant's statements for a group."""
        runners = self.runners(group, tenant, at_leader)
        return not runners or runners[0] == self.owners.location.node

    def _leader_regions(self, group: GroupId) -> frozenset[str]:
        region = self.leader_region(group)
        return frozenset() if region is None else frozenset({region})

    def _replica_regions(self, group: GroupId) -> frozenset[str]:
        regions = {self.owners.region_of(zone) for zone in self.placement.replica_zones(group)}
        return frozenset(region for region in regions if region is not None)

    def leader_region(self, group: GroupId) -> str | None:
        """Return the region of a group's leader, or None if this node does not know it."""
        tracker = self._leaders.get(group)
        if tracker is not None and tracker.leader in self.placement.pools:
            return self.owners.region_of(self.placement.pools[tracker.leader].entry.zone)
        leader = self.placement.registered_leader(group)
        return None if leader is None else self.owners.region_of(leader.zone)

    @property
    def decides_on_load(self) -> bool:
        """Whether one node near each database decides which statements run there."""
        return self.overload.enabled

    @property
    def runs_near_databases(self) -> bool:
        """Whether all statements for a database run through one node near it.

        Their tenants' connections are held at that node, and one queue orders the statements.
        """
        return self.table.tenants is not None or self.overload.enabled

    def serving_node_in(self, region: str, group: GroupId, tenant: TenantId) -> NodeId | None:
        """Return the other node that runs a tenant's statements in another region, or None."""
        if region == self.owners.location.region:
            return None
        if self.overload.enabled:
            nodes = self.owners.from_region(group, self._size(group), region)
        else:
            nodes = self.owners.homes_in(self._size_for_tenants, tenant, frozenset({region}))
        return nodes[0] if nodes and self.owners.node_region(nodes[0]) == region else None

    def runs_database(self, group: GroupId, zone: ZoneId) -> bool:
        """Return whether this node runs the statements for a database in `zone`."""
        region = self.owners.region_of(zone)
        if region is None:
            return self.serves(group)
        nodes = self.owners.from_region(group, self._size(group), region)
        return not nodes or nodes[0] == self.owners.location.node

    def is_far(self, zone: ZoneId) -> bool:
        """Return whether a zone is in another region than this node."""
        return self.distance(zone) is Distance.ELSEWHERE

    @property
    def seen_share(self) -> float:
        """The share of the known nodes that are alive, 0 to 1."""
        return self.owners.live_share

    def near_servers(self, zone: ZoneId) -> int:
        """Return how many of the nodes that serve tenants are in a zone's region."""
        region = self.owners.region_of(zone)
        return 0 if region is None else self.owners.serving_in(self._size_for_tenants, region)

    def limit_of(self, tenant: TenantId) -> RateLimit | None:
        """Return a tenant's limit; None if it has none, as far as this node knows."""
        tenants = self.table.tenants
        return None if tenants is None else tenants.limit(tenant)

    def may_have_limit(self, tenant: TenantId) -> bool:
        """Return whether a tenant's operations are counted, or may be as far as this node knows."""
        tenants = self.table.tenants
        return tenant != NO_TENANT if tenants is None else tenants.may_have_limit(tenant)

    def knows_tenant(self, tenant: TenantId) -> bool:
        """Return whether this node's configuration can tell a tenant's limit.

        It can't if none is in force yet, or one in which callers have no tenants.
        """
        if not self.table.version:
            return False
        return tenant == NO_TENANT or self.table.tenants is not None

    def _size(self, group: GroupId) -> GroupSize:
        if self.table.tenants is not None and not self.overload.enabled:
            return self._size_for_tenants
        settings = self.table.groups.get(group)
        connections = DEFAULT_CONNECTIONS if settings is None else settings.maximum_connections
        return GroupSize(connections, self.placement.slots(group))

    def runs_at_leader(self, route: Route, writes: bool) -> bool:
        """Return whether only the leader may run a route's statement (`writes`: it may write)."""
        return writes or self.needs_leader(route)

    def needs_leader(self, route: Route) -> bool:
        """Return whether only the proven leader may serve the route's reads."""
        return route.consistency is Consistency.LATEST or route.staleness < MIN_REPLICA_STALENESS

    @staticmethod
    def now() -> float:
        """Return the monotonic clock (seconds)."""
        return loop_time()
