"""When a node reads the store, and how it handles unreadable or possibly outdated answers."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest

from bramblebeam.core.feed.messages import ListName
from bramblebeam.core.feed.plan import FeedPlan
from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.revision import NO_REVISION, Revision
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.objects import StoredObject
from bramblebeam.platform.sources import StoreSource, database_source, route_source
from bramblebeam.platform.store import StoreClient
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.feed.followed import FollowedList
from bramblebeam.services.feed.ports import UNKNOWN_AGE, Batch, SourceUnavailableError, Versioned
from bramblebeam.services.feed.sources import ListSources
from platform_standins.world import WAIT_TIMEOUT, World, running_world, until
from revisions import at

PEER = NodeId("reader")
NOWHERE = Address("127.0.0.1", 1)


class Source:
    """A source of a list. `calls`: the calls it received; `silent`: it gives no answer."""

    def __init__(self, revision: int) -> None:
        self.revision = revision
        self.silent = False
        self.calls: list[str] = []

    async def list(self) -> Batch[str]:
        return self._answer("list")

    async def list_cached(self) -> Batch[str]:
        found = self._answer("list cached")
        return found._replace(revision=NO_REVISION, age=UNKNOWN_AGE)

    async def changes(self, revision: Revision, wait: float) -> Batch[str]:
        found = self._answer("changes")
        await asyncio.sleep(WAIT_TIMEOUT)
        return found

    def _answer(self, call: str) -> Batch[str]:
        self.calls.append(call)
        if self.silent:
            raise SourceUnavailableError("made up")
        return Batch((Versioned("a", at(self.revision), f"a{self.revision}"),), at(self.revision))


class Parts:
    """A followed list with a store and one peer as its sources."""

    def __init__(self) -> None:
        self.store, self.peer = Source(5), Source(7)
        self.applied: list[Versioned[str]] = []
        self.settled = asyncio.Event()
        self.followed = FollowedList[str](self.applied.extend)
        self.tasks: list[asyncio.Task[None]] = []
        self.sources = ListSources(
            ListName.ROUTES,
            self.store,
            lambda node: self.peer,
            self.followed,
            self._spawn,
            self.settled,
        )

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        self.tasks.append(asyncio.ensure_future(work))
        return self.tasks[-1]

    def follow(self, plan: FeedPlan) -> None:
        self.sources.follow(plan, asyncio.get_running_loop().time())

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


@pytest.mark.parametrize(
    ("plan", "settles", "at_store"),
    [
        pytest.param(FeedPlan(), False, ["list cached"], id="who reads is not known yet"),
        pytest.param(FeedPlan(), True, ["list cached", "list", "changes"], id="a reader"),
        pytest.param(FeedPlan(False, (PEER,)), True, ["list cached"], id="told by a reader"),
    ],
)
async def test_a_starting_node_makes_few_calls_to_the_store(
    plan: FeedPlan, settles: bool, at_store: list[str]
) -> None:
    """In a run of 195 nodes, each made four calls at its start, before it knew the readers."""
    parts = Parts()
    parts.follow(FeedPlan())
    await until(lambda: parts.applied != [])
    parts.follow(plan)
    if settles:
        parts.settled.set()
    source = parts.peer if plan.peers else parts.store
    await until(lambda: not settles or "changes" in source.calls)
    assert parts.store.calls == at_store
    parts.stop()


async def test_a_cached_list_confirms_nothing_and_is_replaced_by_any_other() -> None:
    parts = Parts()
    parts.follow(FeedPlan())
    await until(lambda: parts.applied != [])
    assert parts.followed.revision == NO_REVISION
    assert parts.followed.confirmed_at == float("-inf")
    parts.follow(FeedPlan(False, (PEER,)))
    parts.settled.set()
    await until(lambda: parts.followed.revision == at(7))
    assert parts.applied[-1].item == "a7"
    parts.stop()


async def test_a_node_that_cannot_reach_the_store_waits_for_its_readers() -> None:
    parts = Parts()
    parts.store.silent = True
    parts.follow(FeedPlan())
    await until(lambda: parts.store.calls != [])
    parts.follow(FeedPlan(False, (PEER,)))
    parts.settled.set()
    await until(lambda: parts.followed.revision == at(7))
    assert set(parts.store.calls) == {"list cached"}
    parts.stop()


# Objects that can't be read.

DATABASE = {
    "service": "g",
    "address": "10.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "sequence": 1,
}
ROUTE = {"name": "r", "host": "h", "route_type": "primary", "timeout_ms": 1, "target_ms": 1}
TABLE = {"version": 4, "routes": [{**ROUTE, "service": "g"}], "services": [{"name": "g"}]}


def without(content: dict[str, Any], key: str) -> dict[str, Any]:
    return {name: value for name, value in content.items() if name != key}


def client() -> StoreClient:
    return StoreClient(NOWHERE, StoreCallCounter(), StoreEras())


@pytest.mark.parametrize(
    ("source", "spec"),
    [
        pytest.param(database_source(client()), None, id="nothing"),
        pytest.param(database_source(client()), ["a list"], id="a list"),
        pytest.param(database_source(client()), without(DATABASE, "service"), id="no group"),
        pytest.param(database_source(client()), {**DATABASE, "address": "nowhere"}, id="no port"),
        pytest.param(database_source(client()), {**DATABASE, "capacity": "many"}, id="no number"),
        pytest.param(route_source(client()), "text", id="a text"),
        pytest.param(route_source(client()), without(TABLE, "version"), id="no version"),
        pytest.param(route_source(client()), {**TABLE, "routes": [ROUTE]}, id="no service"),
        pytest.param(
            route_source(client()),
            {**TABLE, "routes": [{**ROUTE, "service": "g", "route_type": "other"}]},
            id="an unknown kind of route",
        ),
    ],
)
def test_an_object_that_cannot_be_read_is_reported(
    source: StoreSource[Any], spec: Any, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.INFO):
        found = source._versioned(StoredObject("odd", at(9), spec, None), deleted=False)
    assert found == Versioned("odd", at(9), None)
    (line,) = [record for record in caplog.records if record.event_number == 1519]  # type: ignore[attr-defined]
    assert "odd" in line.getMessage()


def test_objects_that_can_be_read_are_not_reported(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        for source, spec in (
            (database_source(client()), DATABASE),
            (route_source(client()), TABLE),
        ):
            assert (
                source._versioned(StoredObject("well", at(9), spec, None), False).item is not None
            )
    assert not [record for record in caplog.records if record.event_number == 1519]  # type: ignore[attr-defined]


def test_followers_keep_the_last_good_content_too() -> None:
    """A reader kept a database whose entry became unreadable, but left it out of its whole list, so
    that its followers considered it deleted."""
    reader, follower = (
        FollowedList[str](lambda applied: None),
        FollowedList[str](lambda applied: None),
    )
    reader.merge(Batch((Versioned("a", at(5), "a5"),), at(5)), True, 0.0)
    follower.merge(reader.whole(), True, 0.0)
    reader.merge(Batch((Versioned("a", at(6), None),), at(6)), False, 1.0)
    follower.merge(reader.whole(), True, 1.0)
    assert follower.whole().items == (Versioned("a", at(6), "a5"),)
    reader.merge(Batch((Versioned("a", at(7), "a7"),), at(7)), False, 2.0)
    follower.merge(reader.since(at(6)), False, 2.0)
    assert follower.whole().items == (Versioned("a", at(7), "a7"),)


def test_an_item_that_was_never_readable_is_absent() -> None:
    followed = FollowedList[str](lambda applied: None)
    followed.merge(Batch((Versioned("a", at(6), None),), at(6)), True, 0.0)
    assert [item for item in followed.whole().items if item.item is not None] == []


# Entries of databases in the store.


@pytest.mark.parametrize(
    ("change", "is_used"),
    [
        pytest.param({"sequence": 9}, True, id="only its sequence changed"),
        pytest.param({"capacity": "many"}, False, id="it can't be read now"),
        pytest.param({"state": "draining"}, False, id="it leaves"),
    ],
)
async def test_a_changed_entry(change: dict[str, Any], is_used: bool) -> None:
    async with running_world() as world:
        context = world.nodes[0].gateway.context
        await until(lambda: len(context.placement.pools) == 3)
        before = context.placement.pools
        pools = dict(before)
        content = {**world.platform.found("servers", "db-c")["spec"], **change}
        world.platform.put("servers", "db-c", content)
        await _changes_applied(world)
        assert dict(before) == pools
        assert pools["db-c"].entry.leaving is not is_used  # type: ignore[index]


async def test_a_database_whose_entry_is_deleted_keeps_serving_until_it_is_back() -> None:
    async with running_world() as world:
        context = world.nodes[0].gateway.context
        await until(lambda: len(context.placement.pools) == 3)
        pools = dict(context.placement.pools)
        content = world.platform.found("servers", "db-c")["spec"]
        world.platform.delete("servers", "db-c")
        await until(lambda: pools["db-c"].entry.lapsed)  # type: ignore[index]
        assert dict(context.placement.pools) == pools
        world.platform.put("servers", "db-c", content)
        await until(lambda: not pools["db-c"].entry.lapsed)  # type: ignore[index]
        assert dict(context.placement.pools) == pools


async def _changes_applied(world: World) -> None:
    """Wait until the node has applied all changes that were made in the store so far."""
    feed = world.nodes[0].kernel._services["feed"]
    last = world.platform._revision
    await until(lambda: (feed._databases.revision or at(0)) >= at(last))  # type: ignore[attr-defined]
    await asyncio.sleep(0)
