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

from bramblebeam.core.gateway.witness_uptimes import SETTLED_SECONDS, WitnessUptimes
from bramblebeam.core.identity import GroupId, InstanceId
from bramblebeam.services.failover import paused_members
from bramblebeam.services.failover.member_orders import MemberOrders
from bramblebeam.services.failover.paused_members import PausedMembers
from bramblebeam.services.failover.ports import LeaseStoreUnavailableError
from bramblebeam.services.failover.service import FailoverService
from bramblebeam.services.feed.service import FeedService
from bramblebeam.services.waiting import loop_time
from platform_standins.cuts import cut
from platform_standins.group import LineDatabase
from platform_standins.world import GROUP, World, keep_writing, running_world, until

REPLICAS = [InstanceId("db-b"), InstanceId("db-c")]
PROMOTION_SECONDS = 0.3
"""Time until an order takes effect."""
START_SECONDS = 0.05
"""Downtime of a database that restarts."""
OLD_LIST_SECONDS = 4.0
"""How long a node's list of databases stays old: long enough for a change of primary."""
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


@pytest.mark.parametrize("seconds", [0.0, 0.1, 0.2])
async def test_no_node_uses_the_former_leader_after_the_target_restarts_in_a_group_of_two(
    seconds: float,
) -> None:
    """Here the restarted target is the only member that confirms leases on the former leader."""
    async with world_before_a_change() as world:
        await leave(world, world.group.members["db-b"])
        target = await order_change(world)
        await asyncio.sleep(seconds)
        await restart(world, target)
        assert await commits_at_former_leaders(world) == []


@pytest.mark.parametrize("seconds", [0.0, 0.1])
async def test_no_node_uses_the_former_leader_after_the_target_restarts_beside_a_new_member(
    seconds: float,
) -> None:
    """The new member, which registers after the order, was never paused."""
    async with world_before_a_change() as world:
        await leave(world, world.group.members["db-b"])
        target = await order_change(world)
        await world.group.members["db-b"].restart()
        world.register("db-b")
        await asyncio.sleep(seconds)
        await restart(world, target)
        assert await commits_at_former_leaders(world) == []


@pytest.mark.parametrize("seconds", [0.0, 0.1, 0.2])
@pytest.mark.parametrize("names", [["db-b", "db-c"], ["db-b"], ["db-c"]], ids="+".join)
async def test_no_node_uses_the_former_leader_after_replicas_restart_once_ordered(
    names: list[str], seconds: float
) -> None:
    async with world_before_a_change() as world:
        await order_change(world)
        await asyncio.sleep(seconds)
        await restart(world, *names)
        assert await commits_at_former_leaders(world) == []


@pytest.mark.parametrize("seconds", [0.3, 0.6, 0.8])
async def test_no_node_uses_the_former_leader_after_a_replica_was_up_only_during_the_wait(
    seconds: float,
) -> None:
    """The ordering node sees it neither when it pauses the others nor before the order."""
    async with world_before_a_change() as world:
        replica = world.group.members["db-b"]
        await replica.crash()
        cut(world.nodes[1], "db-a")
        await until(lambda: is_paused(world, "db-c"))
        await replica.restart()
        await asyncio.sleep(seconds)
        await replica.crash()
        assert await commits_at_former_leaders(world) == []


@pytest.mark.parametrize("names", [["db-b"], ["db-c"], ["db-b", "db-c"]], ids="+".join)
async def test_no_node_uses_the_former_leader_after_registrations_lapsed(names: list[str]) -> None:
    """Guards against a node that saw no other member registered, and renewed its lease alone."""
    async with world_before_a_change() as world:
        for name in names:
            world.platform.delete("servers", name)
        await until(lambda: all(has_lapsed(world, node, name) for node in (0, 1) for name in names))
        holder = world.platform.found("leases", GROUP)["spec"]["holder"]
        cut(world.nodes[int(holder == "node-1")], "db-a")
        assert await commits_at_former_leaders(world) == []


async def test_no_node_uses_the_former_leader_after_a_change_by_a_node_with_an_old_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a member that the ordering node does not know, and so does not pause."""
    async with world_before_a_change() as world:
        replica = world.group.members["db-b"]
        await leave(world, replica)
        with monkeypatch.context() as patch:
            patch.setattr(feed_of(world, 1)._registry, "put", lambda *_: False)
            await replica.restart()
            world.register("db-b")
            await until(lambda: knows(world, 0, replica))
            cut(world.nodes[1], "db-a")
            await asyncio.sleep(OLD_LIST_SECONDS)
            assert all(commit.by_newest_leader for commit in world.group.commits)
        world.register("db-b", "draining")
        assert await commits_at_former_leaders(world) == []


async def test_no_node_uses_the_former_leader_on_the_side_without_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a replica that confirms leases there, and is ignored as it looks ended."""
    async with world_before_a_change() as world:
        cut_from_store(world, 0, monkeypatch)
        world.group.members["db-c"].partition = 1
        cut(world.nodes[0], "db-c")
        cut(world.nodes[1], "db-a", "db-b")
        await asyncio.sleep(START_SECONDS)
        for name in ("db-a", "db-b"):
            world.platform.delete("servers", name)
        assert await commits_at_former_leaders(world) == []


@pytest.mark.parametrize("names", [["db-b"], ["db-b", "db-c"]], ids="+".join)
async def test_no_node_uses_the_former_leader_after_departed_replicas_are_back(
    names: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node without the store that takes "none is listed" for "none runs"."""
    async with world_before_a_change() as world:
        for name in set(REPLICAS) - set(names):
            await leave(world, world.group.members[name])
        replicas = [world.group.members[name] for name in names]
        for replica in replicas:
            world.platform.delete("servers", replica.name)
            await replica.crash()
        await until(lambda: not any(knows(world, 0, replica) for replica in replicas))
        cut_from_store(world, 0, monkeypatch)
        for replica in replicas:
            await replica.restart()
            world.register(replica.name)
        await until(lambda: all(knows(world, 1, replica) for replica in replicas))
        cut(world.nodes[1], "db-a")
        assert await commits_at_former_leaders(world) == []


async def test_no_node_uses_the_former_leader_after_a_departed_replica_is_back_beside_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a list without the target, for which one member's word was that of all."""
    async with world_before_a_change() as world:
        target = world.group.members["db-c"]
        world.platform.delete("servers", target.name)
        await target.crash()
        await until(lambda: not any(knows(world, node, target) for node in range(2)))
        cut_from_store(world, 0, monkeypatch)
        await target.restart()
        world.register(target.name)
        await until(lambda: knows(world, 1, target))
        world.group.members["db-b"].partition = 1
        cut(world.nodes[1], "db-a", "db-b")
        for name in ("db-a", "db-b"):
            world.platform.delete("servers", name)
        assert await commits_at_former_leaders(world) == []


async def test_no_order_is_sent_if_the_members_were_queried_too_long_ago(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a replica that meanwhile ran for long enough to be trusted."""
    delay = 0.0
    monkeypatch.setattr(paused_members, "loop_time", lambda: loop_time() + delay)
    async with world_before_a_change() as world:
        orders = MemberOrders(world.nodes[0].gateway.context.placement)
        paused = PausedMembers(GroupId(GROUP), orders)
        await paused.statuses(REPLICAS)
        await paused.pause(REPLICAS, 2)
        members = world.nodes[0].gateway.context.leader(GroupId(GROUP)).members()
        assert await paused.all_still_paused(members, InstanceId("db-a"))
        delay = SETTLED_SECONDS
        assert not await paused.all_still_paused(members, InstanceId("db-a"))


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


async def order_change(world: World) -> str:
    """Cut node 1 off from the primary, and return the target once its promotion is ordered."""
    cut(world.nodes[1], "db-a")
    await until(lambda: bool(world.platform.promotions))
    return world.platform.promotions[0].target


async def restart(world: World, *names: str) -> None:
    for name in names:
        await world.group.members[name].crash()
    await asyncio.sleep(START_SECONDS)
    for name in names:
        await world.group.members[name].restart()


def cut_from_store(world: World, node: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a node keep its list of databases as it is, and read or write no lease."""
    registry = feed_of(world, node)._registry
    monkeypatch.setattr(registry, "put", lambda *_: False)
    monkeypatch.setattr(registry, "remove", lambda *_: False)
    failover = world.nodes[node].kernel._services["failover"]
    assert isinstance(failover, FailoverService)
    monkeypatch.setattr(failover.leases, "_call", fail_call)


async def fail_call(*_: object) -> None:
    raise LeaseStoreUnavailableError("cut off")


def feed_of(world: World, node: int) -> FeedService:
    feed = world.nodes[node].kernel._services["feed"]
    assert isinstance(feed, FeedService)
    return feed


def has_lapsed(world: World, node: int, name: str) -> bool:
    pools = world.nodes[node].gateway.context.placement.pools
    return pools[InstanceId(name)].entry.lapsed


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
