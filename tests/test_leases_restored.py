"""Changes of primary around a store that comes back from a copy.

The token of an order was the store's count of changes when the lease was written. The count goes
back with a copy: orders after it had tokens below one that was used before, and were refused for as
long as the new count lagged behind; where nobody checks tokens they would have been carried out.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bramblebeam.core.failover.decision import FailoverTiming
from bramblebeam.core.failover.lease import OrderedChange
from bramblebeam.core.identity import Address, GroupId, InstanceId, NodeId
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.leases import ObjectLeaseStore
from bramblebeam.platform.store_calls import StoreCalls
from bramblebeam.services.failover.group_lease import GroupLease
from platform_standins.store import PlatformStandIn
from platform_standins.world import GROUP, LineClient, World, running_world, until

WRITES_SINCE_COPY = 40
"""Writes by databases between the copy and its return: the count falls by so many at least."""


async def write(client: LineClient, what: str) -> None:
    """Write until it is taken."""
    while (await client.run(f"WRITE {what}")).code:
        pass


def register_all(world: World) -> None:
    for name in world.group.members:
        world.register(name)


async def replace_crashed_primary(world: World, client: LineClient) -> None:
    """Crash the primary, and let it come back once another one has taken a write."""
    former = world.group.primary
    await former.crash()
    await write(client, f"after {former.name}")
    await former.restart()
    register_all(world)


@pytest.mark.parametrize("is_restored", [False, True], ids=["control", "restored"])
async def test_tokens_rise_also_after_the_store_came_back_from_a_copy(is_restored: bool) -> None:
    async with running_world() as world:
        client = await world.client("latest")
        await write(client, "start 1")
        await until(lambda: world.platform.has("leases", GROUP))
        copy = world.platform.copy()
        for _ in range(WRITES_SINCE_COPY):
            world.register("db-c")
        await replace_crashed_primary(world, client)
        if is_restored:
            world.platform.go_back(copy)
            world.configure(1)
            register_all(world)
        await replace_crashed_primary(world, client)
        tokens = [order.token for order in world.platform.promotions]
        assert tokens == sorted(tokens)


# The lease itself, before the store alone.

CHANGE = OrderedChange(InstanceId("db-b"), term=2)
FAR_FROM_TROUBLE = 100.0


class Keeper:
    """One node's view of the lease, with a clock that tests turn."""

    def __init__(self, name: str, platform: PlatformStandIn) -> None:
        self.node = NodeId(name)
        self.now = FAR_FROM_TROUBLE
        address = Address("127.0.0.1", platform.port)
        store = ObjectLeaseStore(address, StoreCalls(), StoreEras())
        timing = FailoverTiming()
        self.lease = GroupLease(GroupId(GROUP), self.node, store, timing, False, lambda: self.now)


@asynccontextmanager
async def bare_store() -> AsyncIterator[PlatformStandIn]:
    platform = PlatformStandIn()
    await platform.start()
    try:
        yield platform
    finally:
        await platform.stop()


def count_up_to(platform: PlatformStandIn, number: int) -> None:
    while platform.copy().revision < number:
        platform.put("other", "thing", {})


async def test_a_write_whose_condition_holds_again_by_chance_makes_nobody_the_holder() -> None:
    """The number that the condition names was given out again, to another node's write."""
    async with bare_store() as platform:
        first, second = Keeper("first", platform), Keeper("second", platform)
        await first.lease.create_or_read()
        copy = platform.copy()
        assert await first.lease.write(None, None) is not None
        number = platform.copy().revision
        platform.go_back(copy)
        await second.lease.create_or_read()
        count_up_to(platform, number - 1)
        second.now += FAR_FROM_TROUBLE
        assert await second.lease.write(CHANGE, None) is not None
        assert platform.found("leases", GROUP)["meta"]["revision"] == number
        assert await first.lease.write(None, None) is None
        assert not first.lease.is_own
        await second.lease.write(CHANGE, None)
        await second.lease.create_or_read()
        assert second.lease.known is not None
        assert second.lease.known.holder != first.node
        assert second.lease.known.last_change == CHANGE


async def test_the_last_change_is_written_again_by_who_knows_it() -> None:
    async with bare_store() as platform:
        holder = Keeper("first", platform)
        await holder.lease.create_or_read()
        copy = platform.copy()
        assert await holder.lease.write(CHANGE, None) is not None
        platform.go_back(copy)
        assert await holder.lease.write(CHANGE, None) is None
        known = holder.lease.known
        assert known is not None
        assert known.last_change == CHANGE
        holder.now += FAR_FROM_TROUBLE
        assert await holder.lease.write(known.last_change, known.unsettled) is not None
        spec = platform.found("leases", GROUP)["spec"]
        assert spec["last_change"]["target"] == CHANGE.target


async def test_a_lease_that_came_back_with_the_copy_makes_nobody_the_holder() -> None:
    """Another node may have held it last, and may be about to order a change by it."""
    async with bare_store() as platform:
        former = Keeper("first", platform)
        await former.lease.create_or_read()
        copy = platform.copy()
        other = Keeper("second", platform)
        await other.lease.create_or_read()
        assert await other.lease.write(None, None) is not None
        platform.go_back(copy)
        again = Keeper("first", platform)
        await again.lease.create_or_read()
        assert not again.lease.is_own
