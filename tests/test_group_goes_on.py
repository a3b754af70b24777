"""A group whose primary works goes on, whoever else can't finish a change of it.

Guards against: no write at any node for as long as a dead replica stays registered. A node that is
cut off from the primary paused the replica that lives, could not make sure of the dead one, gave
the change up and tried again at once, while the paused one confirmed no lease to anybody.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from platform_standins.cuts import cut
from platform_standins.group import LineDatabase
from platform_standins.world import GROUP, World
from test_restarts_during_changes import world_before_a_change

LONGEST_GAP = 5.0
"""Seconds without a write that a caller may meet."""
WATCHED_SECONDS = 12.0


def make_dark(replica: LineDatabase) -> None:
    replica.deaf = True
    replica.fault.silent = True


def reset(replica: LineDatabase) -> None:
    make_dark(replica)
    for connection in list(replica.connections):
        connection.abort()


@pytest.mark.parametrize("harm", [make_dark, reset], ids=["dark", "dark, connections lost"])
async def test_a_dead_replica_that_stays_registered_does_not_stop_the_group(
    harm: Callable[[LineDatabase], None],
) -> None:
    async with world_before_a_change() as world:
        cut(world.nodes[1], "db-a")
        harm(world.group.members["db-b"])
        assert await longest_gap(world) < LONGEST_GAP
        assert all(commit.by_newest_leader for commit in world.group.commits)


async def test_a_replica_that_ended_without_a_word_does_not_stop_the_group() -> None:
    async with world_before_a_change() as world:
        cut(world.nodes[1], "db-a")
        await world.group.members["db-b"].crash()
        assert await longest_gap(world) < LONGEST_GAP
        assert all(commit.by_newest_leader for commit in world.group.commits)


async def test_a_node_that_reaches_only_the_leader_does_not_keep_others_from_changing_it() -> None:
    """The lease's holder wrote its lease anew for each try that could come to nothing only."""
    async with world_before_a_change() as world:
        world.group.members["db-a"].deaf = True
        near, far = world.nodes
        if world.platform.found("leases", GROUP)["spec"]["holder"] == "node-1":
            near, far = far, near
        cut(near, "db-b", "db-c")
        cut(far, "db-a")
        assert await longest_gap(world) < LONGEST_GAP
        assert all(commit.by_newest_leader for commit in world.group.commits)


async def longest_gap(world: World) -> float:
    """Return for how long nothing was committed at most, while the group is watched (seconds)."""
    now = asyncio.get_running_loop().time
    end = now() + WATCHED_SECONDS
    known, since, longest = len(world.group.commits), now(), 0.0
    while now() < end:
        await asyncio.sleep(0.01)
        if len(world.group.commits) != known:
            known, since = len(world.group.commits), now()
        longest = max(longest, now() - since)
    return longest
