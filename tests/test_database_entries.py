"""Tests that an invalid database entry is ignored and does not affect the valid ones."""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest

from bramblebeam.core.identity import Address
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.http import HttpAnswer
from bramblebeam.platform.objects import StoredObject, StoreFormatError, parse_changes, parse_page
from bramblebeam.platform.sources import StoreSource, database_source
from bramblebeam.platform.store import StoreClient
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.feed.followed import FollowedList
from bramblebeam.services.feed.ports import Batch, Versioned
from platform_standins.world import World, running_world, until
from revisions import at

UNREADABLE = 1519
LONGEST_LINE = 1_000
ENTRY = {
    "service": "g",
    "address": "10.0.0.1:8080",
    "zone": "z",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "sequence": 4,
}
TEXTS = ("service", "address", "zone", "version", "state", "db_role")
NUMBERS = ("capacity", "cold_left_ms", "sequence")
INVALID_TEXTS: list[Any] = [None, 7, True, 1.5, ["a"], {"a": 1}, "", "a\r\nQUIT", "a b", "\udc80"]
INVALID_NUMBERS: list[Any] = [None, "3", True, 1.5, ["a"], {"a": 1}, -1]


def source() -> StoreSource[Any]:
    return database_source(StoreClient(Address("127.0.0.1", 1), StoreCallCounter(), StoreEras()))


def read(spec: Any, name: str = "odd") -> Versioned[Any]:
    return source()._versioned(StoredObject(name, at(9), spec, None), deleted=False)


def lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    found = [
        record
        for record in caplog.records
        if record.event_number == UNREADABLE  # type: ignore[attr-defined]
    ]
    return [record.getMessage() for record in found]


def invalid_entries() -> list[Any]:
    """Return entries with one missing or invalid field each, and values that are no objects."""
    cases: list[Any] = [
        pytest.param({key: ENTRY[key] for key in ENTRY if key != name}, id=f"no {name}")
        for name in ENTRY
    ]
    for names, values in (
        (TEXTS, INVALID_TEXTS),
        (NUMBERS, INVALID_NUMBERS),
        (("born",), INVALID_NUMBERS),
    ):
        cases += [
            pytest.param({**ENTRY, name: value}, id=f"{name} {value!r}")
            for name in names
            for value in values
        ]
    others = [
        ("address", "nowhere"),
        ("address", ":8080"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:65536"),
        ("address", "10.0.0.1:x"),
        ("capacity", 0),
        ("state", "asleep"),
        ("db_role", "witness"),
    ]
    cases += [pytest.param({**ENTRY, name: value}, id=f"{name} {value}") for name, value in others]
    return [*cases, *(pytest.param(spec, id=repr(spec)) for spec in (None, [], "text", 5, {}))]


@pytest.mark.parametrize("spec", invalid_entries())
def test_invalid_entry_has_no_database(spec: Any, caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        assert read(spec) == Versioned("odd", at(9), None)
    (line,) = lines(caplog)
    assert "odd" in line


@pytest.mark.parametrize("name", ["", "a b", "a\r\nQUIT", "\udc80"])
def test_name_that_the_protocol_cannot_carry_has_no_database(name: str) -> None:
    assert read(ENTRY, name).item is None


def test_entry_with_unknown_fields_is_read() -> None:
    assert read({**ENTRY, "mood": ["fair"]}).item is not None


def test_huge_entry_is_logged_once_in_a_short_line(caplog: pytest.LogCaptureFixture) -> None:
    """Its writer may update it many times a second."""
    reader = source()
    with caplog.at_level(logging.INFO):
        for revision in range(5):
            huge = StoredObject("odd", at(revision), {**ENTRY, "address": "x" * 1_000_000}, None)
            reader._versioned(huge, deleted=False)
    (line,) = lines(caplog)
    assert len(line) < LONGEST_LINE
    reader._versioned(StoredObject("odd", at(6), ENTRY, None), deleted=False)
    with caplog.at_level(logging.INFO):
        reader._versioned(StoredObject("odd", at(7), None, None), deleted=False)
    assert len(lines(caplog)) == 2


# Objects and bytes that cannot be read.


def stored(name: Any, spec: Any, revision: Any = 4) -> dict[str, Any]:
    return {"meta": {"name": name, "revision": revision}, "spec": spec, "status": None}


UNREADABLE_OBJECTS = [
    pytest.param(None, id="nothing"),
    pytest.param("text", id="a text"),
    pytest.param([1], id="a list"),
    pytest.param({}, id="no meta"),
    pytest.param({"meta": None}, id="a meta that is none"),
    pytest.param({"meta": {"revision": 3}}, id="no name"),
    pytest.param(stored(7, ENTRY), id="a name that is a number"),
    pytest.param(stored("b", ENTRY, revision="x"), id="a revision that is a text"),
    pytest.param(stored("b", ENTRY, revision=None), id="no revision"),
    pytest.param(stored("b", ENTRY, revision=True), id="a revision that is a truth value"),
]


@pytest.mark.parametrize("odd", UNREADABLE_OBJECTS)
def test_unreadable_object_does_not_affect_the_others(
    odd: Any, caplog: pytest.LogCaptureFixture
) -> None:
    content = {"items": [stored("a", ENTRY), odd, stored("c", ENTRY)], "timestamp": 9}
    with caplog.at_level(logging.INFO):
        page = parse_page(HttpAnswer(200, json.dumps(content).encode()))
        found = [source()._versioned(item, False) for item in page.items]
    assert [item.name for item in found if item.item is not None] == ["a", "c"]
    assert len(lines(caplog)) == 1


@pytest.mark.parametrize("odd", UNREADABLE_OBJECTS)
def test_unreadable_change_does_not_affect_the_others(
    odd: Any, caplog: pytest.LogCaptureFixture
) -> None:
    events = [{"object": found, "deleted": False} for found in (stored("a", ENTRY), odd)]
    content = {"events": [*events, "text", {"object": stored("c", ENTRY)}], "timestamp": 9}
    with caplog.at_level(logging.INFO):
        watched = parse_changes(HttpAnswer(200, json.dumps(content).encode()))
        found = [source()._versioned(change.stored, False) for change in watched.changes]
    assert watched.revision == at(9)
    assert [item.name for item in found if item.item is not None] == ["a"]
    assert len(lines(caplog)) == 3


def test_invalid_utf8_invalidates_only_its_own_entry() -> None:
    content = {"items": [stored("a", ENTRY), stored("b", {**ENTRY, "zone": "@"})], "timestamp": 9}
    body = json.dumps(content).encode().replace(b'"@"', b'"z\xff\xfe"')
    page = parse_page(HttpAnswer(200, body))
    found = [read(item.spec, item.name) for item in page.items]
    assert [item.name for item in found if item.item is not None] == ["a"]


@pytest.mark.parametrize("body", [b"", b"{", b"[" * 200_000, b"\xff", b'{"items": 5}', b"[]"])
def test_body_that_is_not_a_list_is_rejected(body: bytes) -> None:
    with pytest.raises(StoreFormatError):
        parse_page(HttpAnswer(200, body))


# A known database whose entry becomes unreadable.


def test_known_database_with_unreadable_entry_is_removed_at_the_reader_and_its_followers() -> None:
    reader = FollowedList[str](lambda update: None, keeps_last_good=False)
    follower = FollowedList[str](lambda update: None, keeps_last_good=False)
    good = (Versioned("a", at(5), "a5"), Versioned("b", at(5), "b5"))
    reader.merge(Batch(good, at(5)), True, 0.0)
    follower.merge(reader.whole(), True, 0.0)
    reader.merge(Batch((Versioned("a", at(6), None),), at(8)), False, 1.0)
    follower.merge(reader.since(at(5)), False, 1.0)
    assert follower.whole().items == reader.whole().items == (Versioned("b", at(5), "b5"),)
    reader.merge(
        Batch((Versioned("a", at(6), None), Versioned("b", at(5), "b5")), at(8)), True, 2.0
    )
    reader.merge(Batch((Versioned("a", at(9), "a9"),), at(9)), False, 3.0)
    follower.merge(reader.since(at(8)), False, 3.0)
    assert Versioned("a", at(9), "a9") in follower.whole().items


async def test_known_database_with_unreadable_entry_gets_no_work() -> None:
    async with running_world() as world:
        pools = world.nodes[0].gateway.context.placement.pools
        await until(lambda: len(pools) == 3)
        overwrite(world, "db-c", {"capacity": "many"})
        await until(lambda: any(pool.entry.lapsed for pool in pools.values()))
        assert [name for name, pool in pools.items() if not pool.entry.leaving] == ["db-a", "db-b"]
        overwrite(world, "db-c", {})
        await until(lambda: not any(pool.entry.leaving for pool in pools.values()))


def overwrite(world: World, name: str, change: dict[str, Any]) -> None:
    world.register(name)
    spec = world.platform.found("servers", name)["spec"]
    world.platform.put("servers", name, {**spec, **change})
