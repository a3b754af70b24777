"""Which nodes run statements, and how many connections each may hold, under overload control.

The load: demand that is uneven by zone, on databases with few slots and regions 20 ms apart. Six
nodes with connections of their own to each database can't order the statements that wait there, and
a statement from another region holds its connection for 40 ms and more beside its work.
"""

import asyncio

import pytest

from bramblebeam.core.gateway.messages import ForwardedReply, ForwardedStatement
from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.gateway.routes import Consistency, GroupSettings, Route, RouteTable
from bramblebeam.core.gateway.statements import Action, Statement
from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.overload.settings import OverloadSettings
from bramblebeam.core.tenants import NO_TENANT, RateLimit, Tenant, TenantTable
from bramblebeam.platform.database_connection import LineDatabaseConnector
from bramblebeam.platform.settings import parse_settings
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.hosting import HostedSession
from bramblebeam.services.gateway.placement import FAR_CONNECTIONS, SPARE_CONNECTIONS
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.transport.messages import TIMED_OUT, PeerFailure
from member_views import Nodes, nodes_in, view_of
from platform_standins.world import node_settings
from test_gateway_context import NoPeers
from test_tenant_serving import GROUP, MEMBERS, TENANTS, directory, region, two_zones

CONNECTIONS = 49
NODES = nodes_in(6, 10)


def context_of(node: NodeId, view: MembersView, leader: str, tenants: bool) -> GatewayContext:
    spec = view.members[node].spec
    context = GatewayContext(
        NodeLocation(node, spec.zone, spec.region),
        LineDatabaseConnector(),
        NoPeers(),
        lambda message: None,
        asyncio.ensure_future,
        OverloadSettings(enabled=True),
    )
    listed = TenantTable([Tenant(name, (), RateLimit(10.0, 10.0)) for name in TENANTS])
    groups = {GROUP: GroupSettings(GROUP, CONNECTIONS)}
    context.configure(RouteTable(1, {}, groups, 3.0, listed if tenants else None))
    context.update_members(view)
    context.update(directory(leader))
    return context


def contexts(
    leader: str, tenants: bool = False, nodes: Nodes = NODES
) -> dict[NodeId, GatewayContext]:
    view = view_of(nodes, two_zones)
    names = [node for zone in nodes.values() for node in zone]
    return {node: context_of(node, view, leader, tenants) for node in names}


@pytest.mark.parametrize("leader", MEMBERS)
async def test_statements_for_the_leader_run_at_one_node_of_its_region(leader: str) -> None:
    found = contexts(leader)
    runners = {context.runners(GROUP, NO_TENANT, True)[0] for context in found.values()}
    assert len(runners) == 1
    assert region(runners.pop()) == int(MEMBERS[leader][5:]) // 2


async def test_reads_run_at_one_node_of_their_callers_region() -> None:
    runners: dict[int, set[NodeId]] = {}
    for node, context in contexts("db-0").items():
        runners.setdefault(region(node), set()).add(context.runners(GROUP, NO_TENANT, False)[0])
    assert {number: len(found) for number, found in runners.items()} == {0: 1, 1: 1, 2: 1}
    assert all(region(found.pop()) == number for number, found in runners.items())


async def test_a_tenants_reads_run_there_as_well() -> None:
    for node, context in contexts("db-0", tenants=True).items():
        runners = {context.runners(GROUP, tenant, False)[0] for tenant in TENANTS[:9]}
        assert [region(runner) for runner in runners] == [region(node)]


@pytest.mark.parametrize("instance", MEMBERS)
async def test_the_node_that_runs_a_databases_statements_is_in_its_zone(instance: str) -> None:
    found = contexts(instance)
    runner = next(iter(found.values())).runners(GROUP, NO_TENANT, True)[0]
    assert found[runner].owners.location.zone == MEMBERS[instance]
    assert found[runner].runs_database(GROUP, found[runner].owners.location.zone)


async def test_the_next_node_of_a_region_stands_in_for_its_first() -> None:
    found = contexts("db-0")
    runners = next(iter(found.values())).runners(GROUP, NO_TENANT, True)
    assert [region(node) for node in runners[:2]] == [0, 0]


async def test_all_nodes_together_hold_no_more_connections_than_a_database_takes() -> None:
    found = contexts("db-0")
    for instance in map(InstanceId, MEMBERS):
        held = [
            context.placement.pools[instance].budget.limit(float("inf"))
            for context in found.values()
            if context.serves(GROUP)
        ]
        even = [
            context.placement._bounds(context.placement.pools[instance].entry)[0]
            for context in found.values()
            if context.serves(GROUP)
        ]
        assert sum(even) <= CONNECTIONS
        assert max(held) == CONNECTIONS - SPARE_CONNECTIONS - 5 * FAR_CONNECTIONS
        assert sorted(even)[:-1] == [FAR_CONNECTIONS] * 5


@pytest.mark.parametrize(
    ("policies", "enabled"),
    [
        pytest.param(["base", "pool"], True, id="pooled"),
        pytest.param(["base"], False, id="not pooled"),
        pytest.param(None, False, id="not given"),
        pytest.param("pool", False, id="not a list"),
        pytest.param([7, {}, "pool"], True, id="with entries that are not text"),
    ],
)
def test_the_settings_switch_the_decisions_under_load_on(policies: object, enabled: bool) -> None:
    assert (
        parse_settings({**node_settings("n", 1), "policies": policies}).overload.enabled is enabled
    )


@pytest.mark.parametrize(
    ("failure", "is_avoided"),
    [
        pytest.param(PeerFailure(True, TIMED_OUT), False, id="late, but responsive"),
        pytest.param(PeerFailure(True, "the peer is silent"), True, id="unresponsive"),
        pytest.param(PeerFailure(False, TIMED_OUT), True, id="never reached"),
        pytest.param(PeerFailure(False, "declined"), True, id="no longer serves the group"),
    ],
)
async def test_a_node_with_a_long_queue_is_not_bypassed(
    failure: PeerFailure, is_avoided: bool
) -> None:
    """A node that is late but responsive must not be bypassed.

    With a full leader, hundreds of statements that were late at its node went past its queue to the
    database for a second each, through nodes that stood in for it.
    """
    found = contexts("db-0")
    node, context = next(iter(found.items()))
    runner = context.runners(GROUP, NO_TENANT, True)[0]
    assert runner != node

    class Late(NoPeers):
        async def request(
            self, node: NodeId, message: ForwardedStatement, timeout: float, silence: float
        ) -> ForwardedReply | PeerFailure:
            return failure

    context.forwarder.peers = Late()
    route = Route("r", "db", GROUP, Consistency.LATEST, 1.0, 0.5)
    statement = ForwardedStatement(route, "id", Statement(Action.WRITE), None, {})
    session = HostedSession(NO_TENANT, forwarded_on=False)
    now = context.now()
    request = Request(session, route, "id", statement.statement, None, now, context.metrics)
    assert await context.forwarder.send(runner, request, statement) is failure
    assert context.forwarder.is_avoided(runner) is is_avoided
