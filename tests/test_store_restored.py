"""An incident in which a confirmed change came into force seven seconds late, at every node.

The store was down for two seconds and was restored from a backup that was some seconds old. Its
revisions went back, so the operator's next three changes got revisions that had been used before.
Nodes took the highest revision of a name for the newest, and silently ignored these changes until
the fourth one passed the revision they knew. The tests reproduced this: they failed with the
restore and passed without it, and a log line shows the two revisions that were compared.
"""

from collections.abc import AsyncIterator

import pytest

from bramblebeam.core.feed import plan as plan_module
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.registry import Registry
from bramblebeam.core.gateway.routes import RouteTable
from bramblebeam.core.identity import Address, GroupId, InstanceId, ZoneId, instance_id
from bramblebeam.core.revision import Revision
from bramblebeam.core.role import Role
from bramblebeam.platform.node import PlatformNode
from bramblebeam.services.feed.ports import Batch, SourceUnavailableError
from bramblebeam.services.feed.service import FeedService
from platform_standins.store import StoreSnapshot
from platform_standins.world import GROUP, World, joined_world, running_world, until
from revisions import at

WRITES_SINCE_COPY = 40
"""Writes by databases between the backup and the restore."""


def write_often(world: World, writes: int) -> None:
    for _ in range(writes):
        world.register("db-c")


async def until_in_force(world: World, version: int) -> None:
    await until(lambda: all(node.gateway.context.table.version == version for node in world.nodes))


async def backup_before_23(world: World) -> StoreSnapshot:
    """Return a backup of the store at version 20, after many writes and with 23 in force."""
    world.configure(20)
    await until_in_force(world, 20)
    copy = world.platform.copy()
    write_often(world, WRITES_SINCE_COPY)
    world.configure(23)
    await until_in_force(world, 23)
    return copy


@pytest.mark.parametrize("nodes", [1, 3])
@pytest.mark.parametrize("is_restored", [False, True], ids=["control", "restored"])
@pytest.mark.parametrize("is_overtaken", [False, True], ids=["count-behind", "count-overtaken"])
async def test_what_is_written_after_a_restore_comes_into_force(
    nodes: int, is_restored: bool, is_overtaken: bool
) -> None:
    """`is_overtaken`: the new revisions pass the old ones before the store is read again.

    Then no watch is refused, and only the era shows the restore.
    """
    async with running_world(nodes=nodes, configured=False) as world:
        copy = await backup_before_23(world)
        if is_restored:
            world.platform.fault.status = 503
            world.platform.restore(copy)
            world.configure(23)
        world.configure(27)
        if is_overtaken:
            write_often(world, WRITES_SINCE_COPY + 1)
        world.platform.fault.status = 0
        await until_in_force(world, 27)


async def test_other_content_of_the_same_version_is_used_if_it_is_written_later() -> None:
    """What the operator writes after a restore may differ from what was lost."""
    async with running_world() as world:
        world.configure(23)
        await until_in_force(world, 23)
        world.platform.restore(world.platform.copy())
        world.configure(23, other={"route_type": "primary"})
        table = world.nodes[0].gateway.context
        await until(lambda: table.table.route("other") is not None)


# Databases.

LEAVING = DatabaseEntry(
    InstanceId("db-b"),
    GroupId(GROUP),
    Address("127.0.0.1", 1),
    ZoneId("zone"),
    Role.REPLICA,
    leaving=True,
    slots=3,
)
READY = LEAVING._replace(leaving=False)
GRACE = 5.0
LONG_ENOUGH = 10.0
"""More than three heartbeats; the store has dropped an entry that is not renewed by then."""


def offered(registry: Registry, now: float) -> bool:
    """Return whether the database may get new work."""
    entry = registry.directory(now).entries.get(READY.instance)
    return entry is not None and not entry.leaving


def test_a_leaving_database_stays_leaving_over_a_restore() -> None:
    """The backup has its earlier entry; new work would go to a database that is ending."""
    registry = Registry(GRACE)
    registry.put(READY, at(3), now=0.0)
    registry.put(LEAVING, at(9), now=1.0)
    registry.put(READY, at(3, era=1), now=2.0)
    assert not offered(registry, 2.0)
    assert registry.expire(1.0 + GRACE)
    assert not offered(registry, 1.0 + GRACE)


def test_a_later_incarnation_of_a_leaving_database_is_not_leaving() -> None:
    registry = Registry(GRACE)
    registry.put(LEAVING._replace(instance=instance_id("db-b", 5)), at(9), now=1.0)
    again = READY._replace(instance=instance_id("db-b", 6))
    registry.put(again, at(3, era=1), now=2.0)
    assert not registry.directory(2.0).entries[again.instance].leaving


@pytest.mark.parametrize("is_forgotten", [False, True], ids=["lately", "a while ago"])
def test_a_database_that_left_stays_gone_until_it_writes_again(is_forgotten: bool) -> None:
    """The backup has an entry that was deleted since: its database has ended or is about to."""
    registry = Registry(GRACE)
    registry.put(READY, at(3), now=0.0)
    registry.remove("db-b", now=1.0)
    now = 2.0
    if is_forgotten:
        registry.expire(1.0 + GRACE)
        now += GRACE
    registry.put(READY, at(3, era=1), now=now)
    assert not offered(registry, now)
    registry.put(READY, at(12, era=1), now=now + 1.0)
    assert offered(registry, now + 1.0)


def test_a_database_that_is_still_registered_after_a_while_is_offered() -> None:
    """Its registration had lapsed by mistake. A renewal without a change has no new revision."""
    registry = Registry(GRACE)
    registry.put(READY, at(3), now=0.0)
    registry.remove("db-b", now=1.0)
    registry.put(READY, at(3, era=1), now=2.0)
    assert not offered(registry, 2.0)
    assert registry.expire(2.0 + LONG_ENOUGH)
    assert offered(registry, 2.0 + LONG_ENOUGH)


def test_a_database_that_the_backup_lacks_is_kept_for_a_while() -> None:
    registry = Registry(GRACE)
    registry.put(READY, at(9), now=0.0)
    registry.remove("db-b", now=2.0, revision=at(6, era=1))
    assert READY.instance in registry.directory(2.0 + GRACE / 2).entries
    registry.put(READY, at(7, era=1), now=2.0 + GRACE / 2)
    assert offered(registry, 2.0 + GRACE / 2)


# Through readers.


@pytest.fixture
async def followed_world(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[World]:
    """Six nodes, two of which read the store and are followed by the others."""
    monkeypatch.setattr(plan_module, "MAX_DIRECT_READERS", 3)
    async with joined_world(6, 36) as world:
        await until(lambda: len(readers(world)) == plan_module.READERS_PER_REGION)
        yield world


def readers(world: World) -> list[PlatformNode]:
    return [node for node in world.nodes if feed_of(node)._plan.reads_store]


def feed_of(node: PlatformNode) -> FeedService:
    service = node.kernel._services["feed"]
    assert isinstance(service, FeedService)
    return service


class LostList:
    """A list of a store that is unreachable."""

    async def list(self) -> Batch[RouteTable]:
        raise SourceUnavailableError("made up")

    async def list_cached(self) -> Batch[RouteTable]:
        raise SourceUnavailableError("made up")

    async def changes(self, revision: Revision, wait: float) -> Batch[RouteTable]:
        raise SourceUnavailableError("made up")


@pytest.mark.parametrize("restores", [1, 2])
@pytest.mark.parametrize("is_cut_off", [False, True], ids=["both read on", "one is cut off"])
async def test_followers_of_readers_follow_over_restores(
    followed_world: World, restores: int, is_cut_off: bool
) -> None:
    copy = await backup_before_23(followed_world)
    if is_cut_off:
        cut_off = feed_of(readers(followed_world)[0])
        for sources in cut_off._sources:
            for loop, _ in sources._loops.values():
                loop._source = LostList()
    for _ in range(restores):
        followed_world.platform.restore(copy)
    followed_world.configure(27)
    others = [
        node for node in followed_world.nodes if not is_cut_off or feed_of(node) is not cut_off
    ]
    await until(lambda: all(node.gateway.context.table.version == 27 for node in others))
