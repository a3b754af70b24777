"""A tenant's limit over all nodes: what may go to databases, whatever nodes know of each other.

The rule is judged from what was let through and what databases ran, not from the counters.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from bramblebeam.core.gateway.routes import GroupSettings, RouteTable
from bramblebeam.core.identity import NodeId
from bramblebeam.core.tenants import RateLimit, Tenant, TenantId, TenantTable
from bramblebeam.services.gateway.admission import count_here
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.tenant_records import Part
from member_views import view_of
from platform_standins.world import FAR_TOO_LONG, World, running_world, until
from test_quota import LIMIT, SPAN, allowed, most_in_any_span
from test_tenant_serving import CONNECTIONS, GROUP, NODES, context_of, directory, two_zones
from test_tenants import ACME, SECRET, listed, started, tell

HOT = TenantId("hot")
STEP_SECONDS = 0.01
CHANGE_STEPS = 10
"""A member or the configuration changes each tenth of a second: stalls of some nodes make others
suspect them and take them back, and a restart of all in turn changes as much."""


@contextmanager
def clock_of(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[float]]:
    """Let the gateway's clock stand at what the list holds."""
    clock = [1_000.0]
    monkeypatch.setattr(GatewayContext, "now", staticmethod(lambda: clock[0]))
    yield clock


def table(version: int, limit: RateLimit = LIMIT) -> RouteTable:
    tenants = TenantTable([Tenant(HOT, (), limit)])
    return RouteTable(version, {}, {GROUP: GroupSettings(GROUP, CONNECTIONS)}, 3.0, tenants)


def serving(view_contexts: dict[NodeId, GatewayContext], is_home: bool) -> list[GatewayContext]:
    """Return those that serve tenants and count the hot one, or stand in for its home."""
    own = [context for context in view_contexts.values() if context.serves(GROUP)]
    return [context for context in own if context.is_home(HOT) is is_home]


# The home of a tenant is silent, and those that stand in for it hear of members that come and go. A
# stand-in that forgets with each of these what it has admitted lets a whole limit through alone.


@pytest.mark.parametrize("changes", ["members", "configuration", "nothing"])
async def test_nodes_that_stand_in_keep_to_the_limit_while_members_or_configuration_change(
    changes: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    view = view_of(NODES, two_zones)
    with clock_of(monkeypatch) as clock:
        nodes = [node for names in NODES.values() for node in names]
        contexts = {node: context_of(node, view, directory("db-0")) for node in nodes}
        for context in contexts.values():
            context.configure(table(2))
        stand_ins = serving(contexts, is_home=False)
        assert len(stand_ins) == 2
        moments: list[float] = []
        for step in range(round(2 * SPAN / STEP_SECONDS)):
            clock[0] += STEP_SECONDS
            for context in stand_ins:
                if step % CHANGE_STEPS == 0 and changes == "members":
                    context.take_members(view)
                if step % CHANGE_STEPS == 0 and changes == "configuration":
                    context.configure(table(3 + step))
                if count_here(context, HOT).admitted:
                    moments.append(clock[0])
        assert most_in_any_span(moments) <= allowed(LIMIT)


# A read that a database has run without an answer is refused in the end, as every other database is
# busy: what has run must not be given back, however the last attempt ended.


async def replicas_are_busy(world: World) -> None:
    """The first read at a replica runs and gets no answer; all later ones are refused as busy."""
    for member in world.group.members.values():
        member.fault.mute_reads = 1
    await until(lambda: any(run.action == "READ" for run in world.group.runs))
    for member in world.group.members.values():
        member.fault.mute_reads = 0
        member.fault.busy = 1_000_000


async def test_an_operation_that_a_database_has_run_is_not_given_back() -> None:
    async with running_world() as world:
        brief = {"route_type": "bounded", "max_staleness_ms": 60_000, "timeout_ms": 1_500}
        tell(world, 2, [listed(ACME, SECRET)], brief=brief)
        client = await started(world, SECRET, "brief")
        records = world.nodes[0].gateway.context.metrics.tenants
        async with asyncio.timeout(FAR_TOO_LONG):
            answer, _ = await asyncio.gather(client.run("READ k"), replicas_are_busy(world))
        assert answer.code
        assert sum(run.action == "READ" for run in world.group.runs) == 1
        assert records.totals[Part.COUNTED] - records.totals[Part.RETURNED] == 1


# A read whose answer is lost is sent once more, and runs twice: each run takes a database's time,
# and a limit that counts them as one lets a tenant have twice what it may.


async def test_each_further_attempt_that_may_run_is_counted_too() -> None:
    async with running_world() as world:
        tell(world, 2, [listed(ACME, SECRET)])
        client = await started(world, SECRET, "bounded")
        records = world.nodes[0].gateway.context.metrics.tenants
        for member in world.group.members.values():
            member.fault.mute_reads = 1
        async with asyncio.timeout(FAR_TOO_LONG):
            answer = await client.run("READ k")
        assert not answer.code
        runs = sum(run.action == "READ" for run in world.group.runs)
        assert runs > 1
        assert records.totals[Part.COUNTED] == runs
