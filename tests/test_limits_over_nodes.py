"""A tenant's limit holds over all nodes, whatever nodes know of each other.

It is checked by the admitted operations and by what the databases ran, not by the counters.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from bramblebeam.core.gateway.routes import RouteTable
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.quota.grantor import MAXIMUM_GRANTORS
from bramblebeam.core.quota.messages import AdmissionRequest
from bramblebeam.core.tenants import NO_TENANT, RateLimit, TenantId
from bramblebeam.services.gateway.admission import count_here
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.limits import REPORTED_LIMIT_SECONDS
from bramblebeam.services.gateway.tenant_records import Outcome
from counting_fleet import Fleet, table
from platform_standins.world import WAIT_TIMEOUT, World, joined_world, running_world, until
from quota_search import SPAN, allowed, most_in_any_span
from test_quota import LIMIT
from test_tenant_serving import NODES
from test_tenants import (
    ACME,
    SECRET,
    open_session,
    open_session_at,
    put_configuration,
    tenant_entry,
)

HOT = TenantId("hot")
STEP_SECONDS = 0.01
CHANGE_STEPS = 10
"""Steps between changes of members or configuration, a tenth of a second: if some nodes stall,
others suspect them and trust them again, and a rolling restart causes as many changes."""


@contextmanager
def clock_of(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[float]]:
    """Set the gateway's clock to the value in the returned list."""
    clock = [1_000.0]
    monkeypatch.setattr(GatewayContext, "now", staticmethod(lambda: clock[0]))
    yield clock


# The home of a tenant is unresponsive, and its stand-ins see members join and leave. A stand-in
# that drops its counts at each such change would admit a whole limit alone.


@pytest.mark.parametrize("changes", ["members", "configuration", "nothing"])
async def test_stand_ins_keep_the_limit_while_members_or_configuration_change(
    changes: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with clock_of(monkeypatch) as clock:
        fleet = Fleet(NODES, table(2, LIMIT, HOT))
        clock[0] += 60.0
        home, *others = fleet.homes(HOT)
        assert len(others) == 2
        fleet.unresponsive.add(home)
        stand_ins = [fleet.contexts[node] for node in others]
        moments: list[float] = []
        for step in range(round(4 * SPAN / STEP_SECONDS)):
            clock[0] += STEP_SECONDS
            fleet.request_grants()
            for context in stand_ins:
                if step % CHANGE_STEPS == 0 and changes == "members":
                    context.update_members(fleet.view)
                if step % CHANGE_STEPS == 0 and changes == "configuration":
                    context.configure(table(3 + step, LIMIT, HOT))
                if count_here(context, HOT).admitted:
                    moments.append(clock[0])
        assert most_in_any_span(moments) <= allowed(LIMIT)
        assert len(moments) >= 0.7 * LIMIT.rate * 4 * SPAN


# Two nodes with different views that each consider themselves the home might each admit a whole
# limit.


@pytest.mark.parametrize("parts", [(5, 5), (9, 1), (10, 0)], ids=str)
async def test_the_sides_of_a_partition_share_a_single_limit(
    parts: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    with clock_of(monkeypatch) as clock:
        fleet = Fleet(NODES, table(2, LIMIT, HOT))
        clock[0] += 60.0
        for names in NODES.values():
            fleet.sides |= {node: int(place >= parts[0]) for place, node in enumerate(names)}
        cut_off = dict.fromkeys(NODES, ())
        for side in (0, 1):
            seen = {
                zone: tuple(node for node in names if fleet.sides[node] == side)
                for zone, names in NODES.items()
            }
            if seen == cut_off:
                continue
            for node, context in fleet.contexts.items():
                if fleet.sides[node] == side:
                    context.update_members(MembersView(fleet.view.members, seen))
        for _ in range(300):
            clock[0] += STEP_SECONDS
            fleet.request_grants()
            assert sum(fleet.shares(HOT).values()) <= 1.0 + 1e-9
        shares = sorted(fleet.shares(HOT).values(), reverse=True)
        assert sum(shares) >= 0.99
        assert shares[0] >= max(parts) / 10 - 0.2


async def test_a_node_that_knows_no_other_node_counts_by_one_part_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that restarts while partitioned knows no other node, and would admit a whole limit."""
    with clock_of(monkeypatch) as clock:
        fleet = Fleet(
            {zone: names[:1] for zone, names in list(NODES.items())[:1]}, table(2, LIMIT, HOT)
        )
        clock[0] += 60.0
        for _ in range(100):
            clock[0] += STEP_SECONDS
            fleet.request_grants()
        assert sum(fleet.shares(HOT).values()) <= 1 / MAXIMUM_GRANTORS


# A planned stop moves the counting to another node. Requests at that time wait, and aren't refused.


async def test_a_planned_stop_of_the_home_moves_the_counting_to_the_next_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with clock_of(monkeypatch) as clock:
        fleet = Fleet(NODES, table(2, LIMIT, HOT))
        clock[0] += 60.0
        for _ in range(100):
            clock[0] += STEP_SECONDS
            fleet.request_grants()
        home, *others = fleet.homes(HOT)
        assert fleet.shares(HOT) == {home: 1.0}
        fleet.contexts[home].limits.leave()
        assert not fleet.shares(HOT)
        for _ in range(20):
            clock[0] += STEP_SECONDS
            fleet.request_grants()
        assert fleet.shares(HOT) == {others[0]: 1.0}


# Which limit applies if configurations differ.


@pytest.mark.parametrize(
    ("own", "reported", "admitted"),
    [
        pytest.param(
            (2, RateLimit(20.0, 20.0)), (3, RateLimit(0.0, 0.0)), False, id="newer, lower"
        ),
        pytest.param(
            (3, RateLimit(0.0, 0.0)), (2, RateLimit(20.0, 20.0)), False, id="an older one"
        ),
        pytest.param(
            (2, RateLimit(0.0, 0.0)), (3, RateLimit(20.0, 20.0)), False, id="newer, higher"
        ),
        pytest.param((2, None), (3, RateLimit(0.0, 0.0)), False, id="of a tenant not known here"),
        pytest.param((2, None), (3, RateLimit(float("nan"), 1.0)), True, id="no number"),
        pytest.param((2, None), (3, None), True, id="nobody knows one"),
    ],
)
async def test_a_newer_reported_limit_applies_if_it_is_lower_or_none_is_known(
    own: tuple[int, RateLimit | None],
    reported: tuple[int, RateLimit | None],
    admitted: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A home with an old configuration would count by a former, higher limit, or not at all. A
    faulty node can raise no limit, and can lower one only for a while."""
    with clock_of(monkeypatch) as clock:
        version, limit = own
        known = table(version, LIMIT, TenantId("other"))
        if limit is not None:
            known = table(version, limit, HOT)
        fleet = Fleet(NODES, known)
        clock[0] += 60.0
        for _ in range(100):
            clock[0] += STEP_SECONDS
            fleet.request_grants()
        home = fleet.contexts[fleet.homes(HOT)[0]]
        request = AdmissionRequest(HOT, reported[1], reported[0])
        assert home.limits.count(request).admitted is admitted
        uncounted = home.metrics.tenants.totals[Outcome.UNCOUNTED]
        assert uncounted == int(admitted)
        clock[0] += REPORTED_LIMIT_SECONDS + 1.0
        assert home.limits.limit_of(HOT) == limit


# A database runs a read whose reply is lost, and the read is finally refused, as all other
# databases are busy. An operation that has run must not be refunded, however the last attempt
# ended.


async def make_replicas_busy(world: World) -> None:
    """Let the first read at a replica run without a reply, and refuse all later ones as busy."""
    for member in world.group.members.values():
        member.fault.unanswered_reads = 1
    await until(lambda: any(run.action == "READ" for run in world.group.runs))
    for member in world.group.members.values():
        member.fault.unanswered_reads = 0
        member.fault.busy = 1_000_000


async def test_an_operation_that_a_database_has_run_is_not_refunded() -> None:
    async with running_world() as world:
        brief = {"route_type": "bounded", "max_staleness_ms": 60_000, "timeout_ms": 1_500}
        put_configuration(world, 2, [tenant_entry(ACME, SECRET)], brief=brief)
        client = await open_session(world, SECRET, "brief")
        records = world.nodes[0].gateway.context.metrics.tenants
        async with asyncio.timeout(WAIT_TIMEOUT):
            answer, _ = await asyncio.gather(client.run("READ k"), make_replicas_busy(world))
        assert answer.code
        assert sum(run.action == "READ" for run in world.group.runs) == 1
        assert records.totals[Outcome.COUNTED] - records.totals[Outcome.RETURNED] == 1


# A read whose reply is lost is sent once more, and runs twice. Each run takes a database's time: if
# both counted as one, a tenant could exceed its limit by a factor of two.


async def test_each_further_attempt_that_may_run_is_counted_too() -> None:
    async with running_world() as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET)])
        client = await open_session(world, SECRET, "bounded")
        records = world.nodes[0].gateway.context.metrics.tenants
        for member in world.group.members.values():
            member.fault.unanswered_reads = 1
        async with asyncio.timeout(WAIT_TIMEOUT):
            answer = await client.run("READ k")
        assert not answer.code
        runs = sum(run.action == "READ" for run in world.group.runs)
        assert runs > 1
        assert records.totals[Outcome.COUNTED] == runs


# A node that has just started, or whose configuration is older, cannot tell a tenant's limit. It
# ran forwarded statements without a count and without a record of them.


@pytest.mark.parametrize(
    "known", [RouteTable(), RouteTable(1)], ids=["no configuration", "one without tenants"]
)
@pytest.mark.parametrize("uninformed", [0, 1])
async def test_the_limit_holds_beside_a_node_that_cannot_tell_it(
    uninformed: int, known: RouteTable
) -> None:
    async with joined_world(2, 36) as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET, rate=0.001, burst=3)])
        contexts = [node.gateway.context for node in world.nodes]
        await until(lambda: all(context.table.version == 2 for context in contexts))
        await until(lambda: all(len(context.owners.nodes) == 2 for context in contexts))
        client = await open_session_at(world, 1 - uninformed, SECRET)
        contexts[uninformed].configure(known)
        answers = [
            await client.run(text)
            for turn in range(20)
            for text in (f"WRITE k{turn} v", f"READ k{turn}")
        ]
        runs = sum(run.action in ("READ", "WRITE") for run in world.group.runs)
        assert 0 < sum(not answer.code for answer in answers) <= runs <= 5


async def test_an_unknown_tenant_is_not_admitted_without_a_count() -> None:
    """Guards the node that runs a statement even if it was not declined."""
    fleet = Fleet(NODES, table(2, LIMIT, HOT))
    context = next(iter(fleet.contexts.values()))
    assert context.knows_tenant(HOT)
    context.configure(RouteTable())
    assert not context.knows_tenant(HOT)
    assert context.may_have_limit(HOT)
    assert not context.may_have_limit(NO_TENANT)
