"""The lists of the store, as several sources tell of them, and who reads the store."""

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
    news: list[Versioned[str]] = []
    return FollowedList[str](news.extend), news


def item(name: str, revision: int, deleted: bool = False) -> Versioned[str]:
    return Versioned(name, at(revision), None if deleted else f"{name}{revision}", deleted)


def test_of_one_name_the_highest_revision_counts_whoever_tells_it() -> None:
    followed, news = make_list()
    followed.merge(Batch((item("a", 5),), at(5)), True, 0.0)
    followed.merge(Batch((item("a", 4),), at(4)), False, 0.0)
    followed.merge(Batch((item("a", 5),), at(5)), False, 0.0)
    followed.merge(Batch((item("a", 7),), at(7)), False, 0.0)
    assert news == [item("a", 5), item("a", 7)]
    assert followed.revision == at(7)


def test_a_whole_list_that_is_older_removes_nothing_newer() -> None:
    followed, news = make_list()
    followed.merge(Batch((item("a", 5), item("b", 6)), at(6)), True, 0.0)
    followed.merge(Batch((item("c", 9),), at(9)), False, 0.0)
    news.clear()
    followed.merge(Batch((item("a", 5),), at(8)), True, 0.0)
    assert news == [Versioned("b", at(8), None, True)]
    assert {found.name for found in followed.whole().items} == {"a", "c"}


def test_a_deletion_may_come_with_the_last_revision_of_the_item() -> None:
    followed, news = make_list()
    followed.merge(Batch((item("a", 5),), at(5)), True, 0.0)
    followed.merge(Batch((item("a", 5, deleted=True),), at(8)), False, 0.0)
    assert news[-1] == item("a", 8, deleted=True)
    assert followed.since(at(6)).items == (item("a", 8, deleted=True),)
    followed.merge(Batch((item("a", 5),), at(6)), False, 0.0)
    assert followed.whole().items == ()


def test_an_item_that_was_deleted_and_made_again_is_there() -> None:
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


def test_deletions_that_were_forgotten_lose_the_history() -> None:
    followed, _ = make_list()
    count = MAXIMUM_DELETED + 1
    for number in range(1, count + 1):
        followed.merge(Batch((item(f"n{number}", number, True),), at(number)), False, 0.0)
    with pytest.raises(HistoryLostError):
        followed.since(at(0))
    assert len(followed.since(at(1)).items) == count - 1


async def test_who_waits_for_news_is_woken_by_it() -> None:
    followed, _ = make_list()
    followed.merge(Batch((item("a", 5),), at(5)), True, 0.0)
    waiting = asyncio.ensure_future(followed.wait_news(at(5), 60.0))
    await asyncio.sleep(0)
    assert not waiting.done()
    followed.merge(Batch((item("a", 6),), at(6)), False, 0.0)
    await waiting


def test_a_list_is_as_fresh_as_its_source() -> None:
    followed, _ = make_list()
    followed.merge(Batch((), at(5), age=2.0), True, 10.0)
    assert followed.confirmed_at == 8.0
    followed.merge(Batch((), at(5), age=4.0), False, 11.0)
    assert followed.confirmed_at == 8.0


# The plan.


def test_few_nodes_all_read_the_store() -> None:
    view = view_of(nodes_in(3, 4), int)
    for node, member in view.members.items():
        place = NodeLocation(node, member.spec.zone, member.spec.region)
        assert feed_plan(place, view) == FeedPlan(reads_store=True)


def test_two_readers_a_region_tell_the_others() -> None:
    view = view_of(nodes_in(3, 20), int)
    plans = {
        node: feed_plan(NodeLocation(node, member.spec.zone, member.spec.region), view)
        for node, member in view.members.items()
    }
    readers = {node for node, plan in plans.items() if plan.reads_store}
    assert len(readers) == 6
    for node, plan in plans.items():
        told_by = {view.members[peer].spec.region for peer in plan.peers}
        own = view.members[node].spec.region
        assert set(plan.peers) <= readers - {node}
        assert told_by == ({own} if node not in readers else set(view_regions(view)) - {own})
        assert len(plan.peers) == 2


def view_regions(view: MembersView) -> list[str]:
    return sorted({member.spec.region for member in view.members.values()})


# Nodes that tell each other.


def follower(world: World) -> int | None:
    """The place of a node that does not read the store."""
    plans = [node.kernel._services["feed"]._plan for node in world.nodes]  # type: ignore[attr-defined]
    if sum(plan.reads_store for plan in plans) != plan_module.READERS_A_REGION:
        return None
    return next(place for place, plan in enumerate(plans) if not plan.reads_store)


@pytest.fixture
async def told(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[tuple[World, int]]:
    """Four nodes, and the place of one that does not read the store."""
    monkeypatch.setattr(plan_module, "ALL_READ", 3)
    async with joined_world(4, 36) as world:
        await until(lambda: follower(world) is not None)
        place = follower(world)
        assert place is not None
        yield world, place


async def test_a_node_that_does_not_read_the_store_has_its_news(told: tuple[World, int]) -> None:
    world, place = told
    context = world.nodes[place].gateway.context
    for version in (5, 9):
        world.configure(version, newer={"route_type": "primary"})
        await until(lambda version=version: context.table.version == version)  # type: ignore[misc]
    world.register("db-c", "draining")
    await until(lambda: any(pool.entry.leaving for pool in context.placement.pools.values()))


async def test_a_node_whose_readers_are_gone_reads_the_store_itself(
    told: tuple[World, int],
) -> None:
    world, place = told
    for node in world.nodes[:place] + world.nodes[place + 1 :]:
        await node.stop()
    world.configure(5, newer={"route_type": "primary"})
    context = world.nodes[place].gateway.context
    await until(lambda: context.table.version == 5)
