"""Reads past a database that is ejected, behind or unresponsive: three nodes, each near a database.

Guards against two failures: a replica that hangs or fails takes the reads of its region with it,
and a replica that is far behind sends all of them to the leader, which is needed for writes.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from bramblebeam.core.identity import GroupId, InstanceId
from bramblebeam.core.overload.ejection import EjectionState
from bramblebeam.platform.node import PlatformNode
from bramblebeam.services.gateway import forwarding
from bramblebeam.services.gateway.read_targets import ReadTargets
from platform_standins import world as world_module
from platform_standins.world import (
    GROUP,
    MEMBERS,
    WAIT_TIMEOUT,
    World,
    joined_world,
    node_settings,
    until,
)

CONNECTIONS = 49
LEADER, NEAR, OTHER = MEMBERS
"""The callers' node is near the second database."""
NODE = MEMBERS.index(NEAR)


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a busy machine a node may not respond for long; only a closed stream is a loss here."""
    monkeypatch.setattr(forwarding, "PEER_SILENCE_TIMEOUT", WAIT_TIMEOUT)


def settings_near(name: str, platform_port: int) -> dict[str, Any]:
    """Return settings that put each node into a region of its own, in the zone of one database."""
    member = MEMBERS[int(name.rpartition("-")[2])]
    location = {"zone": f"zone-{member}", "region": f"region-{member}", "policies": ["pool"]}
    return {**node_settings(name, platform_port), **location}


@asynccontextmanager
async def three_regions(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[World]:
    """Start nodes that know each other and their databases, and read once in each region."""
    monkeypatch.setattr(world_module, "node_settings", settings_near)
    async with joined_world(len(MEMBERS), CONNECTIONS) as world:
        await until(lambda: all(knows_all(node) for node in world.nodes))
        for index in range(len(MEMBERS)):
            reader = await world.client("bounded", index)
            assert (await reader.run("READ parcel")).code == ""
        yield world


def knows_all(node: PlatformNode) -> bool:
    context = node.gateway.context
    databases = context.placement.members(GroupId(GROUP))
    return len(context.owners.nodes) == len(databases) == len(MEMBERS)


def targets(world: World) -> ReadTargets:
    found = world.nodes[NODE].gateway.context.placement.targets
    assert found is not None
    return found


def ejection_state(world: World, name: str) -> EjectionState:
    """Return the ejection state of a database at the callers' node."""
    now = asyncio.get_running_loop().time()
    return targets(world)._ejector.state(InstanceId(name), now)


async def read(world: World, times: int = 1) -> list[str]:
    """Run reads at the callers' node one after the other; return their codes."""
    reader = await world.client("bounded", NODE)
    return [(await reader.run("READ parcel")).code for _ in range(times)]


async def test_reads_run_at_the_database_near_their_callers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with three_regions(monkeypatch) as world:
        assert await read(world, 20) == [""] * 20
        assert not world.nodes[NODE].gateway.context.metrics._reads_forwarded


async def test_replies_of_other_nodes_report_the_loads_of_their_databases(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with three_regions(monkeypatch) as world:
        writer = await world.client("session", NODE)
        for number in range(12):
            assert (await writer.run(f"WRITE parcel {number}")).code == ""
        leaders_reader = await world.client("bounded", MEMBERS.index(LEADER))
        for _ in range(10):
            assert (await leaders_reader.run("READ parcel")).code == ""
        assert (await writer.run("WRITE parcel last")).code == ""
        report = targets(world)._reported.find(
            InstanceId(LEADER), asyncio.get_running_loop().time()
        )
        assert report is not None
        assert report.load.usable


async def test_an_unresponsive_database_is_ejected_and_returns_to_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with three_regions(monkeypatch) as world:
        member = world.group.members[NEAR]
        member.fault.unresponsive = True
        assert await read(world, 10) == [""] * 10
        pool = world.nodes[NODE].gateway.context.placement.pools[InstanceId(NEAR)]
        assert targets(world).is_unresponsive(pool)
        assert world.nodes[NODE].gateway.context.metrics._ejections["silent"] >= 1
        member.fault.unresponsive = False

        async with asyncio.timeout(WAIT_TIMEOUT):
            while ejection_state(world, NEAR) is not EjectionState.IN_SERVICE:
                assert await read(world) == [""]


async def test_a_read_forwarded_to_an_unresponsive_database_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The sender can try another database, but not while it waits for an answer."""
    async with three_regions(monkeypatch) as world:
        now = asyncio.get_running_loop().time()
        far = world.nodes[MEMBERS.index(OTHER)].gateway.context
        far_targets = far.placement.targets
        assert far_targets is not None
        pool = far.placement.pools[InstanceId(OTHER)]
        far_targets._ejector.record_unresponsive(InstanceId(OTHER), now, now + 0.001)
        await asyncio.sleep(0.01)
        assert far_targets.is_unresponsive(pool)
        near = targets(world)
        near._ejector.record_unresponsive(InstanceId(NEAR), now, now + 0.001)
        assert await read(world, 5) == [""] * 5


async def test_reads_avoid_replicas_that_are_far_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with three_regions(monkeypatch) as world:
        world.configure(2, bounded={"route_type": "bounded", "max_staleness_ms": 600})
        nodes = world.nodes
        await until(lambda: all(node.gateway.context.table.version == 2 for node in nodes))
        world.group.members[NEAR].replication_cut = True
        writer = await world.client("bounded", MEMBERS.index(LEADER))
        assert (await writer.run("WRITE parcel late")).code == ""
        await asyncio.sleep(0.7)
        reader = await world.client("bounded", NODE)
        answers = [await reader.run("READ parcel") for _ in range(10)]
        assert [answer.rows for answer in answers] == [["late"]] * 10
