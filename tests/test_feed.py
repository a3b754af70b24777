"""Lists of the store merged from several sources, and which nodes read the store."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from bramblebeam.core.feed import plan as plan_module
from bramblebeam.core.feed.plan import FeedPlan, feed_plan
from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.membership.view import MembersView
from bramblebeam.services.feed.followed import MAXIMUM_DELETED, FollowedList
from bramblebeam.services.feed.ports import Batch, HistoryLostError, Versioned
from member_views import nodes_in, view_of
from platform_standins.world import World, joined_world, until
from revisions import at


def make_list() -> tuple[FollowedList[str], list[Versioned[str]]]:
    changes: list[Versioned[str]] = []
    return FollowedList[str](changes.extend), changes


def item(name: str, revision: int, deleted: bool = False) -> Versioned[str]:
    return Versioned(name, at(revision), None if deleted else f"{name}{revision}", deleted)


def test_the_highest_revision_of_a_name_wins_from_any_source() -> None:
    followed, changes = make_list()
    followed.merge(Batch((item("a", 5),), at(5)), True, 0.0)
    followed.merge(Batch((item("a", 4),), at(4)), False, 0.0)
    followed.merge(Batch((item("a", 5),), at(5)), False, 0.0)
    followed.merge(Batch((item("a", 7),), at(7)), False, 0.0)
    assert changes == [item("a", 5), item("a", 7)]
    assert followed.revision == at(7)


def test_an_older_whole_list_removes_no_newer_item() -> None:
    followed, changes = make_list()
    followed.merge(Batch((item("a", 5), item("b", 6)), at(6)), True, 0.0)
    followed.merge(Batch((item("c", 9),), at(9)), False, 0.0)
    changes.clear()
    followed.merge(Batch((item("a", 5),), at(8)), True, 0.0)
    assert changes == [Versioned("b", at(8), None, True)]
    assert {found.name for found in followed.whole().items} == {"a", "c"}


def test_a_deletion_may_come_with_the_last_revision_of_the_item() -> None:
    followed, changes = make_list()
    followed.merge(Batch((item("a", 5),), at(5)), True, 0.0)
    followed.merge(Batch((item("a", 5, deleted=True),), at(8)), False, 0.0)
    assert changes[-1] == item("a", 8, deleted=True)
    assert followed.since(at(6)).items == (item("a", 8, deleted=True),)
    followed.merge(Batch((item("a", 5),), at(6)), False, 0.0)
    assert followed.whole().items == ()


def test_an_item_deleted_and_created_again_exists() -> None:
    followed, _ = make_list()
    followed.merge(Batch((item("a", 5),), at(5)), True, 0.0)
    followed.merge(Batch((item("a", 5, deleted=True), item("a", 7)), at(9)), False, 0.0)
    assert followed.whole().items == (item("a", 7),)


def test_changes_since_a_revision_include_deletions() -> None:
    followed, _ = make_list()
    followed.merge(Batch((item("a", 5), item("b", 6)), at(6)), True, 0.0)
    followed.merge(Batch((item("a", 7, deleted=True),), at(7)), False, 0.0)
    assert followed.since(at(6)) == Batch((item("a", 7, deleted=True),), at(7))
    assert followed.since(at(7)).items == ()


def test_the_history_before_a_discarded_deletion_is_lost() -> None:
    followed, _ = make_list()
    count = MAXIMUM_DELETED + 1
    for number in range(1, count + 1):
        followed.merge(Batch((item(f"n{number}", number, True),), at(number)), False, 0.0)
    with pytest.raises(HistoryLostError):
        followed.since(at(0))
    assert len(followed.since(at(1)).items) == count - 1


async def test_a_waiting_caller_is_woken_by_a_change() -> None:
    followed, _ = make_list()
    followed.merge(Batch((item("a", 5),), at(5)), True, 0.0)
    waiting = asyncio.ensure_future(followed.wait_for_change(at(5), 60.0))
    await asyncio.sleep(0)
    assert not waiting.done()
    followed.merge(Batch((item("a", 6),), at(6)), False, 0.0)
    await waiting


def test_a_list_is_as_recent_as_its_source() -> None:
    followed, _ = make_list()
    followed.merge(Batch((), at(5), age=2.0), True, 10.0)
    assert followed.confirmed_at == 8.0
    followed.merge(Batch((), at(5), age=4.0), False, 11.0)
    assert followed.confirmed_at == 8.0


# Which nodes read the store.


def test_few_nodes_all_read_the_store() -> None:
    view = view_of(nodes_in(3, 4), int)
    for node, member in view.members.items():
        place = NodeLocation(node, member.spec.zone, member.spec.region)
        assert feed_plan(place, view) == FeedPlan(reads_store=True)


def test_two_readers_per_region_are_followed_by_the_others() -> None:
    view = view_of(nodes_in(3, 20), int)
    plans = {
        node: feed_plan(NodeLocation(node, member.spec.zone, member.spec.region), view)
        for node, member in view.members.items()
    }
    readers = {node for node, plan in plans.items() if plan.reads_store}
    assert len(readers) == 6
    for node, plan in plans.items():
        regions_followed = {view.members[peer].spec.region for peer in plan.peers}
        own = view.members[node].spec.region
        assert set(plan.peers) <= readers - {node}
        assert regions_followed == (
            {own} if node not in readers else set(view_regions(view)) - {own}
        )
        assert len(plan.peers) == 2


def view_regions(view: MembersView) -> list[str]:
    return sorted({member.spec.region for member in view.members.values()})


# Nodes that follow each other.


def follower_index(world: World) -> int | None:
    """Return the index of a node that does not read the store, once the plans are settled."""
    plans = [node.kernel._services["feed"]._plan for node in world.nodes]  # type: ignore[attr-defined]
    if sum(plan.reads_store for plan in plans) != plan_module.READERS_PER_REGION:
        return None
    return next(index for index, plan in enumerate(plans) if not plan.reads_store)


@pytest.fixture
async def follower_world(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[tuple[World, int]]:
    """Four nodes, and the index of one that does not read the store."""
    monkeypatch.setattr(plan_module, "MAX_DIRECT_READERS", 3)
    async with joined_world(4, 36) as world:
        await until(lambda: follower_index(world) is not None)
        index = follower_index(world)
        assert index is not None
        yield world, index


async def test_a_node_that_does_not_read_the_store_gets_its_changes(
    follower_world: tuple[World, int],
) -> None:
    world, index = follower_world
    context = world.nodes[index].gateway.context
    for version in (5, 9):
        world.configure(version, newer={"route_type": "primary"})
        await until(lambda version=version: context.table.version == version)  # type: ignore[misc]
    world.register("db-c", "draining")
    await until(lambda: any(pool.entry.leaving for pool in context.placement.pools.values()))


async def test_a_node_whose_readers_have_stopped_reads_the_store_itself(
    follower_world: tuple[World, int],
) -> None:
    world, index = follower_world
    for node in world.nodes[:index] + world.nodes[index + 1 :]:
        await node.stop()
    world.configure(5, newer={"route_type": "primary"})
    context = world.nodes[index].gateway.context
    await until(lambda: context.table.version == 5)
