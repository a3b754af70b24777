"""The incident: a change that was confirmed came into force seven seconds late, at every node.

The store had been away for two seconds and had come back from a copy some seconds old. Its count
of revisions fell, and the operator's next three changes got numbers that were given out before.
Each node took the highest number of a name for the newest, and passed them over without a word
until the fourth change overtook what it had seen. Proved by the plays below: they fail with the
restore and pass without it, and a line tells which two numbers decided.
"""

import pytest

from platform_standins.world import World, running_world, until

WRITES_SINCE_COPY = 40
"""Writes by databases between the copy and its return."""


def write_often(world: World, writes: int) -> None:
    for _ in range(writes):
        world.register("db-c")


async def until_in_force(world: World, version: int) -> None:
    await until(lambda: all(node.gateway.context.table.version == version for node in world.nodes))


@pytest.mark.parametrize("nodes", [1, 3])
@pytest.mark.parametrize("is_restored", [False, True], ids=["control", "restored"])
@pytest.mark.parametrize("is_overtaken", [False, True], ids=["count-behind", "count-overtaken"])
async def test_what_is_written_after_a_restore_comes_into_force(
    nodes: int, is_restored: bool, is_overtaken: bool
) -> None:
    """`is_overtaken`: the new count is past the old one before the store is read again.

    No refusal of a watch tells of the restore then, only the era does.
    """
    async with running_world(nodes=nodes, configured=False) as world:
        world.configure(20)
        await until_in_force(world, 20)
        copy = world.platform.copy()
        write_often(world, WRITES_SINCE_COPY)
        world.configure(23)
        await until_in_force(world, 23)
        if is_restored:
            world.platform.fault.status = 503
            world.platform.go_back(copy)
            world.configure(23)
        world.configure(27)
        if is_overtaken:
            write_often(world, WRITES_SINCE_COPY + 1)
        world.platform.fault.status = 0
        await until_in_force(world, 27)
