"""Changes of primary around a restore of the store from a backup.

The fencing token of an order used to be the store's revision when the lease was written. A restore
sets the revision back, so later orders had tokens below earlier ones: they were refused until the
revision caught up, or would have been carried out where tokens are not checked.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import IntEnum

import pytest

from bramblebeam.core.failover.decision import Action, Cause, FailoverTiming, Situation, decide
from bramblebeam.core.failover.lease import OrderedChange
from bramblebeam.core.identity import Address, GroupId, InstanceId, NodeId
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.leases import ObjectLeaseStore
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.failover.group_lease import GroupLease
from platform_standins.store import PlatformStandIn
from platform_standins.world import GROUP, LineClient, World, running_world, until

WRITES_SINCE_BACKUP = 40
"""Writes by databases between backup and restore: the revision falls by at least this number."""


async def write(client: LineClient, what: str) -> None:
    """Write until it is accepted."""
    while (await client.run(f"WRITE {what}")).code:
        pass


def register_all(world: World) -> None:
    for name in world.group.members:
        world.register(name)


async def replace_crashed_primary(world: World, client: LineClient) -> None:
    """Crash the primary, and restart it once its successor has accepted a write."""
    former = world.group.primary
    await former.crash()
    await write(client, f"after {former.name}")
    await former.restart()
    register_all(world)


@pytest.mark.parametrize("is_restored", [False, True], ids=["control", "restored"])
async def test_tokens_increase_across_a_restore_of_the_store(is_restored: bool) -> None:
    async with running_world() as world:
        client = await world.client("latest")
        await write(client, "start 1")
        await until(lambda: world.platform.has("leases", GROUP))
        copy = world.platform.copy()
        for _ in range(WRITES_SINCE_BACKUP):
            world.register("db-c")
        await replace_crashed_primary(world, client)
        if is_restored:
            world.platform.restore(copy)
            world.configure(1)
            register_all(world)
        await replace_crashed_primary(world, client)
        tokens = [order.token for order in world.platform.promotions]
        assert tokens == sorted(tokens)


# The lease alone, against the store.

CHANGE = OrderedChange(InstanceId("db-b"), term=2)
LONG_AFTER = 100.0


class Keeper:
    """One node's view of the lease, with a clock that tests control."""

    def __init__(self, name: str, platform: PlatformStandIn) -> None:
        self.node = NodeId(name)
        self.now = LONG_AFTER
        address = Address("127.0.0.1", platform.port)
        store = ObjectLeaseStore(address, StoreCallCounter(), StoreEras())
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


async def test_a_write_whose_condition_matches_a_reused_revision_takes_no_lease() -> None:
    """The revision that the condition names was reused for another node's write."""
    async with bare_store() as platform:
        first, second = Keeper("first", platform), Keeper("second", platform)
        await first.lease.create_or_read()
        copy = platform.copy()
        assert await first.lease.write(None, None) is not None
        number = platform.copy().revision
        platform.restore(copy)
        await second.lease.create_or_read()
        count_up_to(platform, number - 1)
        second.now += LONG_AFTER
        assert await second.lease.write(CHANGE, None) is not None
        assert platform.found("leases", GROUP)["meta"]["revision"] == number
        assert await first.lease.write(None, None) is None
        assert not first.lease.is_own
        await second.lease.write(CHANGE, None)
        await second.lease.create_or_read()
        assert second.lease.known is not None
        assert second.lease.known.holder != first.node
        assert second.lease.known.last_change == CHANGE


async def test_the_last_change_is_written_again_by_a_node_that_knows_it() -> None:
    async with bare_store() as platform:
        holder = Keeper("first", platform)
        await holder.lease.create_or_read()
        copy = platform.copy()
        assert await holder.lease.write(CHANGE, None) is not None
        platform.restore(copy)
        assert await holder.lease.write(CHANGE, None) is None
        known = holder.lease.known
        assert known is not None
        assert known.last_change == CHANGE
        holder.now += LONG_AFTER
        assert await holder.lease.write(known.last_change, known.unsettled) is not None
        spec = platform.found("leases", GROUP)["spec"]
        assert spec["last_change"]["target"] == CHANGE.target


async def test_a_restored_lease_makes_no_node_its_holder() -> None:
    """Another node may have held it last, and may be about to order a change with it."""
    async with bare_store() as platform:
        former = Keeper("first", platform)
        await former.lease.create_or_read()
        copy = platform.copy()
        other = Keeper("second", platform)
        await other.lease.create_or_read()
        assert await other.lease.write(None, None) is not None
        platform.restore(copy)
        again = Keeper("first", platform)
        await again.lease.create_or_read()
        assert not again.lease.is_own


async def test_a_lease_created_after_a_restore_is_not_used_at_once() -> None:
    """The store may have lost a lease whose holder has just ordered a change."""
    async with bare_store() as platform:
        platform.era = 1
        keeper = Keeper("first", platform)
        await keeper.lease.create_or_read()
        assert keeper.lease.is_own
        actions = {}
        for seconds in (0.0, FailoverTiming().lease_observation):
            known, quiet = keeper.lease.known, keeper.lease.quiet_until
            since = LONG_AFTER - 10.0
            situation = Situation(keeper.node, 0, None, Cause.LOST, since, known, quiet)
            actions[seconds] = decide(situation, LONG_AFTER + seconds, FailoverTiming())
        assert list(actions.values()) == [Action.NONE, Action.CHANGE]


async def test_the_former_holder_takes_the_lease_again_after_a_restore() -> None:
    async with running_world() as world:
        client = await world.client("latest")
        await write(client, "start 1")
        await until(lambda: world.platform.has("leases", GROUP))
        world.platform.restore(world.platform.copy())
        await until(lambda: world.platform.found("leases", GROUP)["spec"]["era"] == 1)
        assert world.platform.found("leases", GROUP)["spec"]["holder"] == "node-0"


class Moment(IntEnum):
    """When the primary crashes relative to the restore."""

    BEFORE = 1
    WHILE_AWAY = 2
    AFTER = 3


@pytest.mark.parametrize("moment", list(Moment), ids=[found.name for found in Moment])
@pytest.mark.parametrize("has_lease", [True, False], ids=["lease in the copy", "no lease there"])
async def test_a_primary_that_crashes_around_a_restore_is_replaced(
    moment: Moment, has_lease: bool
) -> None:
    """`has_lease`: the backup was made after the lease was; otherwise the store has no lease."""
    async with running_world() as world:
        copies = [world.platform.copy()]
        client = await world.client("latest")
        await write(client, "start 1")
        await until(lambda: world.platform.has("leases", GROUP))
        copies.append(world.platform.copy())
        former = world.group.primary
        if moment is Moment.BEFORE:
            await former.crash()
        world.platform.fault.status = 503
        if moment is Moment.WHILE_AWAY:
            await former.crash()
        world.platform.restore(copies[has_lease])
        world.platform.fault.status = 0
        world.configure(1)
        if moment is Moment.AFTER:
            await former.crash()
        await write(client, "after 1")
        assert world.group.primary is not former
        tokens = [order.token for order in world.platform.promotions]
        assert tokens == sorted(tokens)


async def test_a_holder_abandons_a_change_when_it_learns_of_a_restore() -> None:
    """Found by the soak test (seed 704 with restores): the service failed, as the lease was dropped
    while a change was using it."""
    async with bare_store() as platform:
        holder = Keeper("first", platform)
        await holder.lease.create_or_read()
        copy = platform.copy()
        claimed = await holder.lease.write(None, None)
        assert claimed is not None
        platform.restore(copy)
        holder.lease.record_era(1)
        assert holder.lease.known is not None
        assert not holder.lease.is_own
        assert await holder.lease.ensure_held() is None
        assert await holder.lease.write(None, CHANGE) is None
        await holder.lease.release()
        holder.now += LONG_AFTER
        await holder.lease.create_or_read()
        assert holder.lease.must_reclaim
        holder.now += LONG_AFTER
        await holder.lease.reclaim()
        assert holder.lease.is_own
        assert not holder.lease.must_reclaim
