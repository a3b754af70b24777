"""A former primary that comes back while another member is promoted.

Guards against a write that commits at the old primary after another member was promoted. Primary
and a replica were unresponsive, every node promised not to use the primary, the replica's
registration lapsed, and the third member was ordered to lead. Before the order took effect, both
were back. The replica, which had not been paused, confirmed a node's lease on the old primary, and
the node wrote there: the promise was valid only when it was given, not until the order took effect.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from platform_standins.group import LineDatabase
from platform_standins.world import GROUP, World, keep_writing, running_world, until

PROMOTION_SECONDS = 0.8
"""Time until an order takes effect: enough for nodes to find the former primary again."""


async def test_a_former_primary_that_is_back_before_the_order_takes_effect_gets_no_writes() -> None:
    async with undeposed_primary_world() as world:
        former, replica = (world.group.members[name] for name in ("db-a", "db-b"))
        async with keep_writing(await world.client("latest")):
            make_unresponsive(former)
            make_unresponsive(replica)
            world.platform.delete("servers", replica.name)
            await until(lambda: bool(world.platform.promotions))
            former.fault.unresponsive = replica.fault.unresponsive = False
            world.register(replica.name)
            await until(lambda: bool(world.group.promotions))
            length = world.group.log_lengths_at_promotion[former.name]
            promoted = world.group.members["db-c"]
            await until(lambda: bool(promoted.runs) or len(former.log) > length)
        assert len(former.log) == length


@asynccontextmanager
async def undeposed_primary_world() -> AsyncIterator[World]:
    """Run a node with a lease, and a group whose former primaries keep leading, after a write."""
    async with running_world() as world:
        world.group.deposes = False
        world.platform.promotion_seconds = PROMOTION_SECONDS
        client = await world.client("latest")
        while (await client.run("WRITE start 1")).code:
            pass
        await until(lambda: world.platform.has("leases", GROUP))
        yield world


def make_unresponsive(member: LineDatabase) -> None:
    """Make a member unresponsive, and unaware of any other leader from now on."""
    member.replication_cut = True
    member.fault.unresponsive = True
    for connection in list(member.connections):
        connection.abort()
