"""Which nodes run a tenant's statements, and how many connections each may hold.

The load: 72 tenants on databases of 3 slots and 32 connections, regions 20 ms apart, and
transactions with idle times. A connection used across regions is busy for 40 ms and more per query,
next to its database for 3 ms. With the leaders' connections at nodes of all regions, a third of the
operations timed out waiting for one.
"""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.gateway.messages import NO_TRANSACTION, ForwardedStatement
from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.gateway.routes import Consistency, GroupSettings, Route, RouteTable
from bramblebeam.core.gateway.statements import Action, Statement
from bramblebeam.core.identity import Address, GroupId, InstanceId, NodeId, ZoneId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.role import Role
from bramblebeam.core.tenants import RateLimit, Tenant, TenantId, TenantTable, digest_of
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.platform.database_connection import LineDatabaseConnector
from bramblebeam.services.gateway import reads
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.hosting import StatementHost
from bramblebeam.services.gateway.placement import FAR_CONNECTIONS, SPARE_CONNECTIONS
from member_views import Nodes, nodes_in, view_of
from platform_standins.world import joined_world, until
from test_gateway_context import NoPeers
from test_tenants import ACME, SECRET, open_session_at, put_configuration, tenant_entry

GROUP = GroupId("deliveries")
CONNECTIONS = 32
MEMBERS = {"db-0": "zone-0", "db-2": "zone-2", "db-4": "zone-4"}
TENANTS = [TenantId(f"tenant-{number}") for number in range(72)]
NODES = nodes_in(6, 10)


def two_zones(zone: int) -> int:
    """Return the region of a zone: two zones each."""
    return zone // 2


def directory(leader: str, *leaving: str) -> DatabaseDirectory:
    entries = {
        InstanceId(name): DatabaseEntry(
            InstanceId(name),
            GROUP,
            Address("127.0.0.1", 1),
            ZoneId(zone),
            Role.PRIMARY if name == leader else Role.REPLICA,
            name in leaving,
            slots=3,
        )
        for name, zone in MEMBERS.items()
    }
    return DatabaseDirectory(1, entries)


def context_of(
    node: NodeId, view: MembersView, found: DatabaseDirectory, tenants: bool = True
) -> GatewayContext:
    spec = view.members[node].spec
    context = GatewayContext(
        NodeLocation(node, spec.zone, spec.region),
        LineDatabaseConnector(),
        NoPeers(),
        lambda message: None,
        asyncio.ensure_future,
    )
    limit = RateLimit(10.0, 10.0)
    listed_tenants = TenantTable([Tenant(name, (), limit) for name in TENANTS])
    groups = {GROUP: GroupSettings(GROUP, CONNECTIONS)}
    context.configure(RouteTable(1, {}, groups, 3.0, listed_tenants if tenants else None))
    context.update_members(view)
    context.update(found)
    return context


def contexts(
    found: DatabaseDirectory, nodes: Nodes = NODES, region_of: Callable[[int], int] = two_zones
) -> dict[NodeId, GatewayContext]:
    view = view_of(nodes, region_of)
    names = [node for zone in nodes.values() for node in zone]
    return {node: context_of(node, view, found) for node in names}


def region(node: NodeId) -> int:
    return int(node.split("-")[1]) // 2


@pytest.mark.parametrize("leader", MEMBERS)
async def test_what_only_the_leader_runs_goes_to_its_region_and_reads_do_not(leader: str) -> None:
    found = contexts(directory(leader))
    leading = int(MEMBERS[leader][5:]) // 2
    for tenant in TENANTS:
        writes = {context.runners(GROUP, tenant, True)[0] for context in found.values()}
        reads = {context.runners(GROUP, tenant, False)[0] for context in found.values()}
        assert len(writes) == len(reads) == 1
        assert region(writes.pop()) == leading
        assert region(reads.pop()) != leading


async def test_reads_do_not_go_to_the_region_of_a_replica_that_leaves() -> None:
    context = next(iter(contexts(directory("db-0", "db-2")).values()))
    reads = {region(context.runners(GROUP, tenant, False)[0]) for tenant in TENANTS}
    assert reads == {2}


async def test_without_a_leader_that_is_known_a_tenants_own_node_runs_its_work() -> None:
    context = next(iter(contexts(directory("")).values()))
    for tenant in TENANTS:
        assert context.runners(GROUP, tenant, True) == context.homes(tenant)


async def test_without_tenants_the_nodes_of_a_group_run_everything_themselves() -> None:
    view = view_of(NODES, two_zones)
    made = {node: context_of(node, view, directory("db-0"), tenants=False) for node in view.members}
    serving = [context for context in made.values() if context.serves(GROUP)]
    assert len(serving) == 6
    assert all(context.runs_here(GROUP, TENANTS[0], True) for context in serving)


async def test_all_nodes_together_stay_below_the_connection_limit() -> None:
    found = contexts(directory("db-0"))
    for name in MEMBERS:
        serving = [context for context in found.values() if context.serves(GROUP)]
        limits = [
            context.placement.pools[InstanceId(name)].budget.limit(0.0) for context in serving
        ]
        assert sum(limits) <= CONNECTIONS - SPARE_CONNECTIONS
        assert min(limits) == FAR_CONNECTIONS
        assert max(limits) >= CONNECTIONS // 2
        kept = [context.placement.pools[InstanceId(name)].kept_idle for context in serving]
        assert sum(kept) <= CONNECTIONS
    others = [context for context in found.values() if not context.serves(GROUP)]
    assert {context.placement.pools[InstanceId("db-0")].kept_idle for context in others} == {0}


async def test_partitioned_nodes_together_stay_below_the_connection_limit() -> None:
    """Each part has serving nodes of its own, and knows which share of all nodes it sees."""
    whole = view_of(NODES, two_zones)
    held = 0
    for part in (0, 1):
        seen = {
            zone: tuple(n for n in names if int(n[-1]) % 2 == part) for zone, names in NODES.items()
        }
        view = MembersView(whole.members, seen)
        for names in seen.values():
            for node in names:
                context = context_of(node, view, directory("db-0"))
                if context.serves(GROUP):
                    pool = context.placement.pools[InstanceId("db-0")]
                    pool.budget.record_refusal(0.0)
                    held += pool.budget.limit(0.0)
    assert held <= CONNECTIONS


# Across nodes.


async def test_a_limit_holds_over_all_nodes_together() -> None:
    async with joined_world(4, CONNECTIONS) as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET, rate=0.001, burst=3)])
        contexts = [node.gateway.context for node in world.nodes]
        await until(lambda: all(context.table.version == 2 for context in contexts))
        await until(lambda: all(len(context.owners.nodes) == 4 for context in contexts))
        clients = [await open_session_at(world, node, SECRET) for node in range(4)]
        answers = [await client.run(f"WRITE k{turn} v") for turn in range(5) for client in clients]
        served = [answer for answer in answers if not answer.code]
        assert {answer.code for answer in answers} == {"", "BUSY"}
        assert len(served) <= 5
        assert len(world.group.primary.log) == len(served)


async def test_a_statement_that_was_forwarded_on_is_not_counted_twice() -> None:
    async with joined_world(1, CONNECTIONS) as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET, rate=0.0, burst=0.0)])
        context = world.nodes[0].gateway.context
        await until(lambda: context.table.version == 2)
        host = StatementHost(context)
        for passed_on, is_served in ((True, True), (False, False)):
            reply = await host.serve(NodeId("node-9"), _write(passed_on))
            assert (reply.reply.refusal is None) is is_served


def _write(passed_on: bool) -> ForwardedStatement:
    route = Route("r", "latest", GROUP, Consistency.LATEST, 4.0, 1.0)
    return ForwardedStatement(
        route,
        f"id-{passed_on}",
        Statement(Action.WRITE, body="parcel here"),
        None,
        {},
        time_left=4.0,
        transaction=NO_TRANSACTION,
        tenant=ACME,
        forwarded_on=passed_on,
    )


def test_a_key_is_known_by_its_digest() -> None:
    assert SECRET not in digest_of(SECRET)


@pytest.mark.parametrize(
    ("reason", "zone", "tenants", "expected"),
    [
        pytest.param(Reason.REPLICA_BEHIND, "zone-4", True, True, id="behind, the next one is far"),
        pytest.param(Reason.REPLICA_BEHIND, "zone-0", True, False, id="behind, the next is near"),
        pytest.param(Reason.QUEUE_TIMEOUT, "zone-4", True, False, id="not for being behind"),
        pytest.param(Reason.REPLICA_BEHIND, "zone-4", False, False, id="no tenants"),
    ],
)
async def test_a_read_for_which_the_near_replica_is_behind_goes_to_the_leader(
    reason: Reason, zone: str, tenants: bool, expected: bool
) -> None:
    """Replicas are 150 ms behind, so that a far one lacks what the near one does.

    Reads that went on to it used the two connections from there to the leader, 80 reads a second on
    a quiet day.
    """
    node = NODES[ZoneId("zone-0")][0]
    context = context_of(node, view_of(NODES, two_zones), directory("db-2"), tenants)
    request: Any = SimpleNamespace(refusal=Refusal(Verdict.NOT_RUN, reason))
    pool: Any = SimpleNamespace(entry=SimpleNamespace(zone=ZoneId(zone)))
    assert reads._is_better_at_leader(context, request, pool) is expected


async def test_a_forwarded_read_without_its_floor_is_refused_to_the_sender() -> None:
    node = NODES[ZoneId("zone-0")][0]
    context = context_of(node, view_of(NODES, two_zones), directory("db-2"))
    session = SimpleNamespace(forwarded_on=True)
    route = SimpleNamespace(group=GROUP)
    given_up = Reply(refusal=Refusal(Verdict.NOT_RUN, Reason.REPLICA_BEHIND))
    request: Any = SimpleNamespace(session=session, route=route, give_up=lambda reason: given_up)
    assert await reads._read_at_leader(context, request) is given_up
