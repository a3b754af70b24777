"""A tenant's limit over all nodes: what may go to databases, whatever nodes know of each other.

The rule is judged from what was let through and what databases ran, not from the counters.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.quota.grantor import MAXIMUM_GRANTORS
from bramblebeam.core.quota.messages import AdmissionRequest
from bramblebeam.core.tenants import RateLimit, TenantId
from bramblebeam.services.gateway.admission import count_here
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.limits import TOLD_SECONDS
from bramblebeam.services.gateway.tenant_records import Part
from counting_fleet import Fleet, table
from platform_standins.world import WAIT_TIMEOUT, World, running_world, until
from quota_search import SPAN, allowed, most_in_any_span
from test_quota import LIMIT
from test_tenant_serving import NODES
from test_tenants import ACME, SECRET, open_session, put_configuration, tenant_entry

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


# The home of a tenant is silent, and those that stand in for it hear of members that come and go. A
# stand-in that forgets with each of these what it has admitted lets a whole limit through alone.


@pytest.mark.parametrize("changes", ["members", "configuration", "nothing"])
async def test_nodes_that_stand_in_keep_to_the_limit_while_members_or_configuration_change(
    changes: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with clock_of(monkeypatch) as clock:
        fleet = Fleet(NODES, table(2, LIMIT, HOT))
        clock[0] += 60.0
        home, *others = fleet.homes(HOT)
        assert len(others) == 2
        fleet.silent.add(home)
        stand_ins = [fleet.contexts[node] for node in others]
        moments: list[float] = []
        for step in range(round(4 * SPAN / STEP_SECONDS)):
            clock[0] += STEP_SECONDS
            fleet.look()
            for context in stand_ins:
                if step % CHANGE_STEPS == 0 and changes == "members":
                    context.update_members(fleet.view)
                if step % CHANGE_STEPS == 0 and changes == "configuration":
                    context.configure(table(3 + step, LIMIT, HOT))
                if count_here(context, HOT).admitted:
                    moments.append(clock[0])
        assert most_in_any_span(moments) <= allowed(LIMIT)
        assert len(moments) >= 0.7 * LIMIT.rate * 4 * SPAN


# Two nodes that each take themselves for the home, as views differ, may each admit a whole limit.


@pytest.mark.parametrize("parts", [(5, 5), (9, 1), (10, 0)], ids=str)
async def test_the_parts_of_a_split_count_by_no_more_than_one_limit(
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
            fleet.look()
            assert sum(fleet.shares(HOT).values()) <= 1.0 + 1e-9
        shares = sorted(fleet.shares(HOT).values(), reverse=True)
        assert sum(shares) >= 0.99
        assert shares[0] >= max(parts) / 10 - 0.2


async def test_a_node_that_has_met_nobody_does_not_take_its_part_for_the_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Cut off and started again, it knows of no other node, and would admit a whole limit."""
    with clock_of(monkeypatch) as clock:
        fleet = Fleet(
            {zone: names[:1] for zone, names in list(NODES.items())[:1]}, table(2, LIMIT, HOT)
        )
        clock[0] += 60.0
        for _ in range(100):
            clock[0] += STEP_SECONDS
            fleet.look()
        assert sum(fleet.shares(HOT).values()) <= 1 / MAXIMUM_GRANTORS


# A planned stop moves the counting. Who asks in that moment waits for it, and is not refused.


async def test_a_planned_stop_of_the_home_leaves_nobody_without_a_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with clock_of(monkeypatch) as clock:
        fleet = Fleet(NODES, table(2, LIMIT, HOT))
        clock[0] += 60.0
        for _ in range(100):
            clock[0] += STEP_SECONDS
            fleet.look()
        home, *others = fleet.homes(HOT)
        assert fleet.shares(HOT) == {home: 1.0}
        fleet.contexts[home].limits.leave()
        assert not fleet.shares(HOT)
        for _ in range(20):
            clock[0] += STEP_SECONDS
            fleet.look()
        assert fleet.shares(HOT) == {others[0]: 1.0}


# Which limit counts, where configurations differ.


@pytest.mark.parametrize(
    ("own", "told", "admitted"),
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
async def test_a_newer_limit_counts_where_it_is_lower_or_none_is_known(
    own: tuple[int, RateLimit | None],
    told: tuple[int, RateLimit | None],
    admitted: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A home that is behind would count by a limit that was lowered, or not at all. A node that is
    wrong raises none, and lowers one for a while only."""
    with clock_of(monkeypatch) as clock:
        version, limit = own
        known = table(version, LIMIT, TenantId("other"))
        if limit is not None:
            known = table(version, limit, HOT)
        fleet = Fleet(NODES, known)
        clock[0] += 60.0
        for _ in range(100):
            clock[0] += STEP_SECONDS
            fleet.look()
        home = fleet.contexts[fleet.homes(HOT)[0]]
        asked = AdmissionRequest(HOT, told[1], told[0])
        assert home.limits.count(asked).admitted is admitted
        uncounted = home.metrics.tenants.totals[Part.UNCOUNTED]
        assert uncounted == int(admitted)
        clock[0] += TOLD_SECONDS + 1.0
        assert home.limits.limit_of(HOT) == limit


# A read that a database has run without an answer is refused in the end, as every other database is
# busy: what has run must not be given back, however the last attempt ended.


async def replicas_are_busy(world: World) -> None:
    """The first read at a replica runs and gets no answer; all later ones are refused as busy."""
    for member in world.group.members.values():
        member.fault.unanswered_reads = 1
    await until(lambda: any(run.action == "READ" for run in world.group.runs))
    for member in world.group.members.values():
        member.fault.unanswered_reads = 0
        member.fault.busy = 1_000_000


async def test_an_operation_that_a_database_has_run_is_not_given_back() -> None:
    async with running_world() as world:
        brief = {"route_type": "bounded", "max_staleness_ms": 60_000, "timeout_ms": 1_500}
        put_configuration(world, 2, [tenant_entry(ACME, SECRET)], brief=brief)
        client = await open_session(world, SECRET, "brief")
        records = world.nodes[0].gateway.context.metrics.tenants
        async with asyncio.timeout(WAIT_TIMEOUT):
            answer, _ = await asyncio.gather(client.run("READ k"), replicas_are_busy(world))
        assert answer.code
        assert sum(run.action == "READ" for run in world.group.runs) == 1
        assert records.totals[Part.COUNTED] - records.totals[Part.RETURNED] == 1


# A read whose answer is lost is sent once more, and runs twice: each run takes a database's time,
# and a limit that counts them as one lets a tenant have twice what it may.


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
        assert records.totals[Part.COUNTED] == runs
