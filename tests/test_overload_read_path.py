"""Reads past a database that is ejected, behind or silent: three nodes, each near a database.

The trouble that this answers: a replica that hangs or fails takes its region's reads with it, and a
replica that is far behind sends all of them to the leader, which is needed for writes.
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
    FAR_TOO_LONG,
    GROUP,
    MEMBERS,
    World,
    joined_world,
    node_settings,
    until,
)

CONNECTIONS = 49
LEADER, NEAR, OTHER = MEMBERS
"""The callers' node is near the second one."""
NODE = MEMBERS.index(NEAR)


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a busy machine a node may be silent for long; here only a closed stream is a loss."""
    monkeypatch.setattr(forwarding, "PEER_SILENCE_TIMEOUT", FAR_TOO_LONG)


def settings_near(name: str, platform_port: int) -> dict[str, Any]:
    """Each node is in a region of its own, in the zone of one of the databases."""
    member = MEMBERS[int(name.rpartition("-")[2])]
    place = {"zone": f"zone-{member}", "region": f"region-{member}", "policies": ["pool"]}
    return {**node_settings(name, platform_port), **place}


@asynccontextmanager
async def three_regions(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[World]:
    """Nodes that know each other and their databases, after a read at each region."""
    monkeypatch.setattr(world_module, "node_settings", settings_near)
    async with joined_world(len(MEMBERS), CONNECTIONS) as world:
        await until(lambda: all(knows_all(node) for node in world.nodes))
        for place in range(len(MEMBERS)):
            reader = await world.client("bounded", place)
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


def standing(world: World, name: str) -> EjectionState:
    """Return how a database stands at the callers' node."""
    now = asyncio.get_running_loop().time()
    return targets(world)._ejector.state(InstanceId(name), now)


async def read(world: World, times: int = 1) -> list[str]:
    """Return the codes of reads at the callers' node, one after the other."""
    reader = await world.client("bounded", NODE)
    return [(await reader.run("READ parcel")).code for _ in range(times)]


async def test_reads_run_at_the_database_near_their_callers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with three_regions(monkeypatch) as world:
        assert await read(world, 20) == [""] * 20
        assert not world.nodes[NODE].gateway.context.metrics._reads_passed_on


async def test_answers_of_other_nodes_tell_the_loads_of_their_databases(
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
        told = targets(world)._told.find(InstanceId(LEADER), asyncio.get_running_loop().time())
        assert told is not None
        assert told.load.usable


async def test_a_silent_database_is_passed_over_and_comes_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with three_regions(monkeypatch) as world:
        member = world.group.members[NEAR]
        member.fault.silent = True
        assert await read(world, 10) == [""] * 10
        pool = world.nodes[NODE].gateway.context.placement.pools[InstanceId(NEAR)]
        assert targets(world).is_unresponsive(pool)
        assert world.nodes[NODE].gateway.context.metrics._ejections["silent"] >= 1
        member.fault.silent = False

        async with asyncio.timeout(FAR_TOO_LONG):
            while standing(world, NEAR) is not EjectionState.IN_SERVICE:
                assert await read(world) == [""]


async def test_a_read_that_was_passed_on_to_a_silent_database_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its sender turns to another database, which it can't do while it waits for an answer."""
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


async def test_replicas_that_are_far_behind_leave_reads_to_those_that_are_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with three_regions(monkeypatch) as world:
        world.configure(2, bounded={"route_type": "bounded", "max_staleness_ms": 600})
        nodes = world.nodes
        await until(lambda: all(node.gateway.context.table.version == 2 for node in nodes))
        world.group.members[NEAR].deaf = True
        writer = await world.client("bounded", MEMBERS.index(LEADER))
        assert (await writer.run("WRITE parcel late")).code == ""
        await asyncio.sleep(0.7)
        reader = await world.client("bounded", NODE)
        answers = [await reader.run("READ parcel") for _ in range(10)]
        assert [answer.rows for answer in answers] == [["late"]] * 10
