"""Replicas that restart or rejoin while a change of primary is in progress.

Guards against a former leader being used beside its successor. Two nodes do not know each other;
node 1 alone is cut off from the primary and replaces it, while node 0 still reaches it. A database
that restarts has forgotten that it was paused, and one that had left was never paused.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from bramblebeam.core.gateway.witness_uptimes import WitnessUptimes
from platform_standins.cuts import cut
from platform_standins.group import LineDatabase
from platform_standins.world import GROUP, World, keep_writing, running_world, until

PROMOTION_SECONDS = 0.3
"""Time until an order takes effect."""
START_SECONDS = 0.05
"""Downtime of a database that restarts."""
USE_SECONDS = 1.0
"""How long after the promotion the former leader is observed."""


@pytest.mark.parametrize("seconds", [0.0, 0.2, 0.4, 0.7, 0.85, 1.0])
async def test_no_node_uses_the_former_leader_after_a_paused_replica_restarts(
    seconds: float,
) -> None:
    async with world_before_a_change() as world:
        await restart_while_paused(world, seconds)
        assert await commits_at_former_leaders(world) == []


@pytest.mark.parametrize("seconds", [0.05, 0.3, 0.6, 0.85, 1.0])
async def test_no_node_uses_the_former_leader_after_a_replica_rejoins(
    seconds: float,
) -> None:
    async with world_before_a_change() as world:
        replica = world.group.members["db-b"]
        await leave(world, replica)
        cut(world.nodes[1], "db-a")
        await until(lambda: is_paused(world, "db-c"))
        await asyncio.sleep(seconds)
        await replica.restart()
        world.register("db-b")
        assert await commits_at_former_leaders(world) == []


@pytest.mark.parametrize("seconds", [0.0, 0.2, 0.4, 0.7])
async def test_a_change_waits_again_for_a_replica_that_restarted_before_the_order(
    seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the ordering node's side alone: here every member's confirmation is valid."""
    monkeypatch.setattr(WitnessUptimes, "has_outlasted_changes", lambda *_: True)
    async with world_before_a_change() as world:
        await restart_while_paused(world, seconds)
        assert await commits_at_former_leaders(world) == []


@asynccontextmanager
async def world_before_a_change() -> AsyncIterator[World]:
    """Start two nodes with writers and a group whose former primaries keep leading."""
    async with AsyncExitStack() as stack:
        world = await stack.enter_async_context(running_world(nodes=2))
        world.group.deposes = False
        world.platform.promotion_seconds = PROMOTION_SECONDS
        for node in range(2):
            client = await world.client("latest", node)
            while (await client.run(f"WRITE start {node}")).code:
                pass
            await stack.enter_async_context(keep_writing(client))
        await until(lambda: world.platform.has("leases", GROUP))
        yield world


async def restart_while_paused(world: World, seconds: float) -> None:
    """Cut node 1 off from the primary, and restart a replica some time after it is paused."""
    replica = world.group.members["db-b"]
    cut(world.nodes[1], "db-a")
    await until(lambda: is_paused(world, "db-b") and is_paused(world, "db-c"))
    await asyncio.sleep(seconds)
    await replica.crash()
    await asyncio.sleep(START_SECONDS)
    await replica.restart()


def is_paused(world: World, name: str) -> bool:
    return world.group.members[name].held_term > 0


async def leave(world: World, replica: LineDatabase) -> None:
    """Let a database leave as planned, and wait until every node knows."""
    world.register(replica.name, "draining")
    await asyncio.sleep(START_SECONDS)
    world.platform.delete("servers", replica.name)
    await replica.crash()
    await until(lambda: all(not knows(world, node, replica) for node in range(2)))


def knows(world: World, node: int, replica: LineDatabase) -> bool:
    pools = world.nodes[node].gateway.context.placement.pools
    return any(pool.entry.instance == replica.name for pool in pools.values())


async def commits_at_former_leaders(world: World) -> list[str]:
    """Return the members other than the newest leader that committed, after the change is over."""
    await until(lambda: bool(world.group.promotions))
    await asyncio.sleep(USE_SECONDS)
    return [commit.member for commit in world.group.commits if not commit.by_newest_leader]
