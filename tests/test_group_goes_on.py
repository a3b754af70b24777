"""A group with a working primary stays available while a node fails to change that primary.

Guards against a group without writes for as long as a dead replica stays registered. A node that
was cut off from the primary paused the live replica, could not pause the dead one, gave up and
retried at once. Meanwhile the paused replica confirmed no leases to any node.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from bramblebeam.core.gateway.leader_lease import LEASE_SECONDS
from bramblebeam.core.gateway.routes import RouteTable
from platform_standins.cuts import cut
from platform_standins.group import LineDatabase
from platform_standins.world import GROUP, World
from test_restarts_during_changes import world_before_a_change

LONGEST_GAP = 5.0
"""Maximum time without a successful write (seconds)."""
WATCHED_SECONDS = 12.0
CHANGE_SECONDS = 6.0
"""Time in which a node that misses the leader has replaced it, if it may (seconds)."""


def make_unresponsive(replica: LineDatabase) -> None:
    replica.replication_cut = True
    replica.fault.unresponsive = True


def make_unresponsive_and_drop_connections(replica: LineDatabase) -> None:
    make_unresponsive(replica)
    for connection in list(replica.connections):
        connection.abort()


@pytest.mark.parametrize(
    "fail",
    [make_unresponsive, make_unresponsive_and_drop_connections],
    ids=["dark", "dark, connections lost"],
)
async def test_a_dead_replica_that_stays_registered_does_not_block_the_group(
    fail: Callable[[LineDatabase], None],
) -> None:
    async with world_before_a_change() as world:
        cut(world.nodes[1], "db-a")
        fail(world.group.members["db-b"])
        assert await longest_gap(world) < LONGEST_GAP
        assert all(commit.by_newest_leader for commit in world.group.commits)


@pytest.mark.parametrize(
    "fail",
    [make_unresponsive, make_unresponsive_and_drop_connections],
    ids=["dark", "dark, connections lost"],
)
async def test_a_dark_replica_stops_no_writes(fail: Callable[[LineDatabase], None]) -> None:
    """The other replica confirms the leader, and the store shows that no change is pending."""
    async with world_before_a_change() as world:
        fail(world.group.members["db-b"])
        assert await longest_gap(world) < LEASE_SECONDS


async def test_a_crashed_replica_does_not_block_the_group() -> None:
    async with world_before_a_change() as world:
        cut(world.nodes[1], "db-a")
        await world.group.members["db-b"].crash()
        assert await longest_gap(world) < LONGEST_GAP
        assert all(commit.by_newest_leader for commit in world.group.commits)


async def test_a_node_that_reaches_only_the_leader_does_not_keep_others_from_replacing_it() -> None:
    """Guards against a lease holder that renewed its lease for each attempt, all bound to fail."""
    async with world_before_a_change() as world:
        world.group.members["db-a"].replication_cut = True
        leader_only, replicas_only = world.nodes
        if world.platform.found("leases", GROUP)["spec"]["holder"] == "node-1":
            leader_only, replicas_only = replicas_only, leader_only
        cut(leader_only, "db-b", "db-c")
        cut(replicas_only, "db-a")
        assert await longest_gap(world) < LONGEST_GAP
        assert all(commit.by_newest_leader for commit in world.group.commits)


@pytest.mark.parametrize("is_configured", [True, False])
async def test_a_node_whose_configuration_lacks_the_group_does_not_replace_its_leader(
    is_configured: bool,
) -> None:
    """Guards against a lost commit: it would take synchronous replicas for asynchronous ones."""
    async with world_before_a_change() as world:
        if not is_configured:
            world.nodes[1].gateway.context.configure(RouteTable())
        cut(world.nodes[1], "db-a")
        await asyncio.sleep(CHANGE_SECONDS)
        assert bool(world.platform.promotions) is is_configured


async def longest_gap(world: World) -> float:
    """Observe the group for WATCHED_SECONDS; return the longest time without a commit (seconds)."""
    now = asyncio.get_running_loop().time
    end = now() + WATCHED_SECONDS
    known, since, longest = len(world.group.commits), now(), 0.0
    while now() < end:
        await asyncio.sleep(0.01)
        if len(world.group.commits) != known:
            known, since = len(world.group.commits), now()
        longest = max(longest, now() - since)
    return longest
