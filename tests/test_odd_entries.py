"""Tests that an odd value of another writer in the store affects nothing but its own object."""

from __future__ import annotations

import asyncio
import gc
import logging
import math
from typing import Any

import pytest

from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.identity import (
    Address,
    GroupId,
    InstanceId,
    NodeId,
    Position,
    incarnation_of,
)
from bramblebeam.platform import http
from bramblebeam.platform.database_connection import _parse_status
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.http import HttpAnswer, HttpClient, HttpError
from bramblebeam.platform.leases import ObjectLeaseStore, _lease_spec, _parse_lease
from bramblebeam.platform.lines import LineFormatError
from bramblebeam.platform.objects import StoredObject, StoreFormatError, parse_changes, parse_page
from bramblebeam.platform.rosters import ObjectRosterStore
from bramblebeam.platform.sources import StoreSource, database_source, route_source
from bramblebeam.platform.statements import StatementFormatError, parse_position
from bramblebeam.platform.store import StoreClient
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.failover.ports import (
    LeaseStoreUnavailableError,
    RosterStoreUnavailableError,
)
from bramblebeam.services.feed.ports import Versioned
from platform_standins.store import RAW_TEXTS, as_json
from platform_standins.world import ROUTES, configuration, registration, running_world, until
from revisions import at
from test_database_entries import ENTRY, LONGEST_LINE, lines, stored

EXCESSIVE = ["<deep lists>", "<deep objects>", "<long integer>", "<not a number>"]
"""Values for which `json.loads` rejects the whole text, or that aren't JSON."""


def source() -> StoreSource[Any]:
    return database_source(StoreClient(Address("127.0.0.1", 1), StoreCallCounter(), StoreEras()))


def answer(content: Any) -> HttpAnswer:
    return HttpAnswer(200, as_json(content).encode())


def read_page(*odd: Any) -> list[Versioned[Any]]:
    items = [stored("a", ENTRY), *odd, stored("c", ENTRY)]
    reader = source()
    return [
        reader._versioned(found, False)
        for found in parse_page(answer({"items": items, "timestamp": 9})).items
    ]


def read_watch(*odd: Any) -> list[Versioned[Any]]:
    items = [stored("a", ENTRY), *odd, stored("c", ENTRY)]
    events = [{"object": item, "deleted": False} for item in items]
    watched = parse_changes(answer({"events": events, "timestamp": 9}))
    assert watched.revision == at(9)
    reader = source()
    return [reader._versioned(change.stored, change.deleted) for change in watched.changes]


READERS = pytest.mark.parametrize("read", [read_page, read_watch])


def readable(found: list[Versioned[Any]]) -> list[str]:
    return [item.name for item in found if item.item is not None]


# One odd entry made the whole list unreadable: nodes that started with it there never became ready.
@READERS
@pytest.mark.parametrize("odd", EXCESSIVE)
@pytest.mark.parametrize("name", [*ENTRY, "born", "unknown"])
def test_entry_with_an_excessive_value_does_not_affect_the_others(
    name: str, odd: str, read: Any, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.INFO):
        found = read(stored("odd", {**ENTRY, name: odd}))
    assert [item.name for item in found] == ["a", "odd", "c"]
    assert readable(found) == ["a", "c"]
    (line,) = lines(caplog)
    assert "odd" in line
    assert len(line) < LONGEST_LINE


ODD_OBJECTS = [
    *EXCESSIVE,
    *(stored(odd, ENTRY) for odd in [*RAW_TEXTS, "x" * 100_000]),
    *(stored("odd", ENTRY, revision=odd) for odd in [*RAW_TEXTS, -1, 1 << 40]),
    *({"meta": odd, "spec": ENTRY} for odd in RAW_TEXTS),
]


# A name with a lone surrogate ended the reader of the list that asked for what follows it.
@READERS
@pytest.mark.parametrize("odd", ODD_OBJECTS)
def test_object_with_odd_meta_does_not_affect_the_others(
    odd: Any, read: Any, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.INFO):
        found = read(odd)
    assert readable(found) == ["a", "c"]
    for item in found:
        item.name.encode()
    assert len(lines(caplog)) == 1


@pytest.mark.parametrize("odd", EXCESSIVE)
def test_deletion_of_an_excessive_object_is_read(odd: str) -> None:
    events = [{"object": stored("odd", odd), "deleted": True}]
    (change,) = parse_changes(answer({"events": events, "timestamp": 9})).changes
    assert change.stored.name == "odd"
    assert change.deleted


# A list with an odd entry was given up, or cut short, at the page that ends with that entry.
@pytest.mark.parametrize("odd", ["<lone surrogate>", "x" * 100_000])
async def test_list_goes_on_after_a_page_that_ends_with_an_odd_name(odd: str) -> None:
    async with running_world(nodes=0) as world:
        world.platform.page_size = 2
        world.platform.put("servers", "db-aa", {})
        world.platform.found("servers", "db-aa")["meta"]["name"] = odd
        eras = StoreEras()
        client = StoreClient(Address("127.0.0.1", world.platform.port), StoreCallCounter(), eras)
        found, _ = await client.list("servers")
        client.close()
        assert {item.name for item in found} == {"db-a", "db-b", "db-c"}


# The rest of the list was left out without a word: its databases counted as gone.
async def test_list_with_a_page_without_any_readable_name_is_unavailable() -> None:
    async with running_world(nodes=0) as world:
        world.platform.page_size = 1
        world.platform.found("servers", "db-b")["meta"]["name"] = 7
        eras = StoreEras()
        client = StoreClient(Address("127.0.0.1", world.platform.port), StoreCallCounter(), eras)
        with pytest.raises(StoreFormatError):
            await client.list("servers")
        client.close()


# Nodes stopped following the list, and those that started meanwhile served nothing.
@pytest.mark.parametrize("odd", EXCESSIVE)
async def test_nodes_follow_the_list_and_start_beside_an_excessive_entry(odd: str) -> None:
    async with running_world(nodes=1) as world:
        world.platform.put("servers", "odd", {**ENTRY, "unknown": odd})
        world.platform.put("config", "odd", {"unknown": odd})
        await world.start_node()
        for number, node in enumerate(world.nodes):
            client = await world.client(node=number)
            world.exits.callback(client.close)
            assert (await client.run("WRITE parcel 1")).code == ""
            world.register("db-a", "draining")
            pools = node.gateway.context.placement.pools
            await until(lambda pools=pools: pools["db-a"].entry.leaving)
            world.register("db-a")
            await until(lambda pools=pools: not pools["db-a"].entry.leaving)
            assert set(pools) == {"db-a", "db-b", "db-c"}


# An entry with a capacity of 400 digits ended all nodes; one with a host that no name may have
# (UnicodeError) ended the tasks that connected to it. Nodes that started then ended, too.
@pytest.mark.parametrize(
    "odd",
    [
        {"capacity": "<400 digits>"},
        {"capacity": 1 << 62},
        {"address": "a..b:80"},
        {"address": "x" * 64 + ":80"},
        {"address": "127.0.0.1:99999"},
        {"zone": "<lone surrogate>"},
    ],
)
async def test_nodes_go_on_and_start_beside_an_odd_entry_of_their_group(
    odd: dict[str, Any],
) -> None:
    failures: list[dict[str, Any]] = []
    async with running_world(nodes=1) as world:
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: failures.append(context)
        )
        content = registration(world.group, "db-b", "ready")
        world.platform.put("servers", "odd", {**content, **odd})
        await world.start_node()
        for number, node in enumerate(world.nodes):
            client = await world.client(node=number)
            world.exits.callback(client.close)
            for _ in range(10):
                assert (await client.run("WRITE parcel 1")).code == ""
                assert (await client.run("READ parcel")).rows == ["1"]
            assert set(node.gateway.context.placement.pools) == {"db-a", "db-b", "db-c"}
    gc.collect()
    assert not failures


ODD_ADDRESSES = ["10.0.0.1:+80", "10.0.0.1:8_0", "10.0.0.1:\uff18\uff10", "10.0.0.1: 80"]
ODD_ADDRESSES += ["10.0.0.1:\u00b2", "10.0.0.1:80 ", "10.0.0.1:80:80", "localhost:80", "10.1:80"]
ODD_ADDRESSES += ["\uff11.0.0.1:80", "10.0.0.1\x00:80", "::g:80", "10.0.0.256:80"]
ODD_ADDRESSES += ["x" * 100_000 + ":80", "10.0.0.1:" + "8" * 5_000]


# "+80", "1_0" and full-width digits were read as ports, and host names would be looked up.
@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_address_that_is_not_an_ip_number_and_a_port_is_rejected(address: str) -> None:
    assert readable(read_page(stored("odd", {**ENTRY, "address": address}))) == ["a", "c"]


@pytest.mark.parametrize(
    ("address", "host"), [("127.0.0.1:1", "127.0.0.1"), ("fe80::1:65535", "fe80::1")]
)
def test_address_of_an_ip_number_and_a_port_is_read(address: str, host: str) -> None:
    found = read_page(stored("odd", {**ENTRY, "address": address}))[1].item
    assert found.address.host == host


TABLE = configuration(7, {}, 36)
ROUTE, SERVICE = TABLE["routes"][0], TABLE["services"][0]
ODD_VALUES: list[Any] = [
    10**400,
    math.inf,
    math.nan,
    -1,
    True,
    [1],
    {"host": 1},
    "\udc80",
    "x" * 9_999,
]
ROUTE_FIELDS = ["name", "host", "service", "route_type", "timeout_ms", "target_ms"]
ROUTE_FIELDS += ["max_staleness_ms", "priority"]


def odd_tables() -> list[Any]:
    """Return configurations with one odd value each."""
    limits = {"name": "t", "api_keys": ["k"], "rate_per_s": 1, "burst_size": 1}
    cases: list[Any] = [{**TABLE, "version": 0}]
    for odd in [*ODD_VALUES, 1e308]:
        tables = [{**TABLE, name: odd} for name in ("version", "routes", "services")]
        tables += [{**TABLE, "routes": [ROUTE, {**ROUTE, name: odd}]} for name in ROUTE_FIELDS]
        fields = ("name", "max_conns", "sync_replicas")
        tables += [{**TABLE, "services": [{**SERVICE, name: odd}]} for name in fields]
        tables += [{**TABLE, "tenants": [{**limits, name: odd}]} for name in limits]
        tables += [{**TABLE, "limits": limit} for limit in ([odd], {"tx_idle_ms": odd})]
        tables += [{**TABLE, "tenants": odd}]
        tables += [{**TABLE, "routes": [odd]}, {**TABLE, "services": [odd]}]
        cases += [*tables, odd]
    return cases


# Odd values in a configuration passed the parser, or raised what ended the reader of the list
# (OverflowError, AttributeError, RecursionError).
@pytest.mark.parametrize("content", odd_tables(), ids=lambda content: str(content)[:99])
def test_configuration_with_an_odd_value_is_rejected_as_a_whole(content: Any) -> None:
    assert read_table(content) is None


def test_configuration_that_is_nested_too_deeply_is_rejected() -> None:
    nested: list[Any] = []
    for _ in range(3_000):
        nested = [nested]
    assert read_table({**TABLE, "unknown": nested}) is None
    assert read_table(TABLE) is not None


def read_table(content: Any) -> Any:
    reader = route_source(StoreClient(Address("127.0.0.1", 1), StoreCallCounter(), StoreEras()))
    return reader._versioned(StoredObject("main", at(9), content, None), deleted=False).item


# A table of another writer beside config/main came into force if its version was higher.
async def test_odd_configuration_leaves_the_last_good_one_in_force() -> None:
    async with running_world(nodes=1) as world:
        client = await world.client()
        world.exits.callback(client.close)
        world.platform.put("config", "odd", configuration(99, {"other": ROUTES["latest"]}, 36))
        world.platform.put("config", "main", {**TABLE, "limits": "<400 digits>"})
        world.configure(8, added={"route_type": "primary"})
        await world.start_node()
        for number, node in enumerate(world.nodes):
            client = await world.client("added", number)
            world.exits.callback(client.close)
            assert (await client.run("WRITE parcel 1")).code == ""
            assert node.gateway.context.table.version == 8


# Leases, rosters and answers of databases.

CHANGE = {"target": "db-a", "term": 3, "cut": "2.7", "born": 5}
LEASE = {"era": 0, "holder": "n", "write": "f", "last_change": CHANGE, "unsettled": None}
MEMBER = {"name": "db-a", "born": 5, "host": "127.0.0.1", "port": 80}
ROSTER = {"members": [MEMBER], "covered": [], "leader": MEMBER, "loss_accepted": False}
ODD_IN_OBJECTS = [*RAW_TEXTS, -1, True, 1 << 62, [1], {"a": 1}, "a b", "a..b", "x" * 9_999, 1.5]


def leases(odd: Any) -> list[Any]:
    changes = [{**CHANGE, name: odd} for name in CHANGE]
    return [
        odd,
        *({**LEASE, name: odd} for name in LEASE),
        *({**LEASE, name: change} for name in ("last_change", "unsettled") for change in changes),
    ]


def rosters(odd: Any) -> list[Any]:
    members = [{**MEMBER, name: odd} for name in MEMBER]
    return [
        odd,
        *({**ROSTER, name: odd} for name in ROSTER),
        *({**ROSTER, "members": [member]} for member in [odd, *members]),
        *({**ROSTER, "covered": [member]} for member in [odd, *members]),
        *({**ROSTER, "leader": member} for member in members),
    ]


# An odd lease or roster raised what no caller handles, and numbers of any size were accepted. What
# is accepted can be written back, and its databases' start times be told.
@pytest.mark.parametrize("odd", ODD_IN_OBJECTS, ids=lambda odd: str(odd)[:20])
@pytest.mark.parametrize("kind", ["leases", "rosters"])
async def test_odd_lease_or_roster_counts_as_unavailable(kind: str, odd: Any) -> None:
    async with running_world(nodes=0) as world:
        where = Address("127.0.0.1", world.platform.port)
        is_lease = kind == "leases"
        store: Any = (ObjectLeaseStore if is_lease else ObjectRosterStore)(
            where, StoreCallCounter(), StoreEras()
        )
        for spec in leases(odd) if is_lease else rosters(odd):
            world.platform.put(kind, "g", spec)
            try:
                found = await store.read("g", 5.0)
            except (LeaseStoreUnavailableError, RosterStoreUnavailableError) as error:
                assert len(str(error)) < LONGEST_LINE
                continue
            changes = [found.last_change, found.unsettled] if is_lease else []
            databases = [change.target for change in changes if change is not None]
            databases += [] if is_lease else [member.instance for member in found.members]
            for database in databases:
                assert incarnation_of(database) < 1 << 53
            written = await (store.write(found, found, 5.0) if is_lease else store.write(found, 5))
            assert written is not None


# The term that follows the highest one of a database was above what a lease was read with.
def test_lease_on_the_highest_term_and_position_of_a_database_is_read_as_it_was() -> None:
    highest = "9" * 18
    status = _parse_status(f"replica {highest} {highest}.{highest} 0 1")
    change = OrderedChange(InstanceId("db-a"), status.term + 1, status.received)
    lease = Lease(GroupId("g"), NodeId("n"), at(9), unsettled=change)
    assert _parse_lease(lease.group, StoredObject("g", at(9), _lease_spec(lease, 0), None)) == lease


@pytest.mark.parametrize(
    "text", ["9" * 5_000 + ".1", "1." + "9" * 19, "9" * 19 + ".1", "\uff11.1", "1.\u00b2"]
)
def test_position_with_odd_digits_is_rejected(text: str) -> None:
    with pytest.raises(StatementFormatError):
        parse_position(text)


STATUS = ["replica", "3", "3.1209", "0", "12", "2", "17"]
ODD_WORDS = ["+8", "1_0", "\uff18", "\u00b2", "9" * 400, "9" * 5_000, "nan", "1e9", "0x1", "-1.0"]


# A lag of 400 digits raised OverflowError, which no caller handles; "+8" and "1_0" were read.
@pytest.mark.parametrize("odd", ODD_WORDS)
@pytest.mark.parametrize("index", range(1, 5))
def test_status_with_an_odd_word_is_rejected(index: int, odd: str) -> None:
    with pytest.raises(LineFormatError) as caught:
        _parse_status(" ".join([*STATUS[:index], odd, *STATUS[index + 1 :]]))
    assert len(str(caught.value)) < 200
    assert _parse_status(" ".join(STATUS)).received == Position(3, 1209)


# An answer without an end filled the memory of a node.
async def test_answer_that_is_too_long_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "MAX_ANSWER_BYTES", 1_000, raising=False)
    async with running_world(nodes=0) as world:
        client = HttpClient(Address("127.0.0.1", world.platform.port))
        world.platform.put("servers", "odd", "x" * 2_000)
        with pytest.raises(HttpError):
            await client.call("GET", "/bramblebeam/objects/servers", 5.0)
        world.platform.delete("servers", "odd")
        world.platform.delete("servers", "db-a")
        assert (await client.call("GET", "/bramblebeam/objects/servers", 5.0)).status == 200
        client.close()
