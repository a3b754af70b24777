"""Any value in any field that is read affects nothing but its own object, also after it is read."""

from __future__ import annotations

import copy
import json
import math
from typing import Any

import cbor2
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bramblebeam.core.feed.messages import FollowReply
from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.gateway.owners import GroupSize, NodeLocation, OwnerTable, target_owners
from bramblebeam.core.gateway.registry import Registry
from bramblebeam.core.gateway.routes import RouteTable
from bramblebeam.core.identity import Address, GroupId, NodeId, ZoneId, incarnation_of
from bramblebeam.core.overload.settings import OverloadSettings
from bramblebeam.core.tenants import NO_TENANT
from bramblebeam.platform.database_connection import LineDatabaseConnection, _parse_status
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.leases import _lease_of, _lease_spec
from bramblebeam.platform.lines import LineFormatError, encode_line
from bramblebeam.platform.objects import StoreFormatError, parse_changes, parse_one, parse_page
from bramblebeam.platform.rosters import _roster_of, _roster_spec
from bramblebeam.platform.sources import database_source, route_source
from bramblebeam.platform.statements import format_position, parse_position
from bramblebeam.platform.store import StoreClient
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.failover.ports import (
    LeaseStoreUnavailableError,
    RosterStoreUnavailableError,
)
from bramblebeam.services.feed.peers import (
    ReplyItems,
    database_items,
    pack_databases,
    pack_routes,
    route_items,
)
from bramblebeam.services.feed.ports import Versioned
from bramblebeam.services.gateway.slot_queue import SlotQueue
from bramblebeam.wire.codec import Codec, DecodeError
from bramblebeam.wire.gateway_registry import GATEWAY_NODE_MESSAGES
from platform_standins.store import RAW_TEXTS
from revisions import at
from test_database_entries import ENTRY, stored
from test_odd_entries import LEASE, MEMBER, ROSTER, TABLE, answer

CODEC = Codec(GATEWAY_NODE_MESSAGES)
GROUP = GroupId("g")
LONGEST_TIMER = 366 * 24 * 3_600.0
QUICK = settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TEXTS = st.text(st.characters(exclude_categories=()), max_size=8)
LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | TEXTS
SAMPLES: list[Any] = [
    *RAW_TEXTS,
    10**400,
    -1,
    0,
    1 << 53,
    1 << 63,
    1e308,
    math.nan,
    math.inf,
    {},
    [],
]
SAMPLES += ["a b", "a..b:80", "10.0.0.1:+80", "x" * 5_000, "9" * 5_000 + ".1", "\udc80", "-", "1.1"]
ODD = st.sampled_from(SAMPLES) | st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=6,
)
TENANT = {"name": "t", "api_keys": ["k"], "rate_per_s": 5, "burst_size": 9.5}
WHOLE_TABLE = {**TABLE, "limits": {"tx_idle_ms": 3_000}, "tenants": [TENANT]}


def places(content: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all values within a value."""
    keys: Any = ()
    if isinstance(content, dict):
        keys = list(content)
    elif isinstance(content, list):
        keys = range(len(content))
    return [path, *(found for key in keys for found in places(content[key], (*path, key)))]


@st.composite
def with_odd_value(draw: st.DrawFn, content: Any) -> Any:
    """Draw a copy of a value in which an odd one stands somewhere."""
    *path, last = draw(st.sampled_from(places(content)[1:]))
    changed = inner = copy.deepcopy(content)
    for key in path:
        inner = inner[key]
    inner[last] = draw(ODD)
    return changed


def read_beside_others(kind: str, odd: Any, spec: Any, name: str) -> list[Versioned[Any]]:
    """Return what is read of an odd object and its neighbours, on a page and in a watch."""
    client = StoreClient(Address("127.0.0.1", 1), StoreCallCounter(), StoreEras())
    source: Any = database_source(client) if kind == "servers" else route_source(client)
    objects = [stored("a", spec), odd, stored(name, spec)]
    events = [{"object": item, "deleted": False} for item in objects]
    page = parse_page(answer({"items": objects, "timestamp": 9})).items
    changes = parse_changes(answer({"events": [*events, odd], "timestamp": 9})).changes
    found = [source._versioned(item, False) for item in page]
    found += [source._versioned(change.stored, change.deleted) for change in changes]
    good = [item.name for item in found if item.item is not None]
    assert good.count("a") >= 2
    assert good.count(name) >= 2
    return found


@QUICK
@given(with_odd_value(stored("odd", ENTRY)))
def test_any_value_in_an_entry(odd: Any) -> None:
    for found in read_beside_others("servers", odd, ENTRY, "c"):
        assert_sendable(found, pack_databases((found,)))
        if found.item is not None:
            use_database(found.item)


@QUICK
@given(with_odd_value(stored("main", WHOLE_TABLE)))
def test_any_value_in_a_configuration(odd: Any) -> None:
    for found in read_beside_others("config", odd, WHOLE_TABLE, "main"):
        assert_sendable(found, pack_routes((found,)))
        if found.item is not None:
            use_table(found.item)


def assert_sendable(found: Versioned[Any], items: ReplyItems) -> None:
    """Check that other nodes read the same."""
    reply = FollowReply(True, True, 9, 0.0, items.routes, items.databases, items.starts)
    received = CODEC.decode(CODEC.encode(reply))
    if found.item is not None:
        assert [*database_items(received), *route_items(received)] == [found]


def use_database(entry: DatabaseEntry) -> None:
    """Compute what a node computes of an entry."""
    owners = OwnerTable(NodeLocation(NodeId("n"), ZoneId("z"), "r"), True)
    registry = Registry(1.0)
    registry.put(entry, at(9), 0.0)
    registry.is_former(entry.instance)
    owners.update_databases(DatabaseDirectory(1, {entry.instance: entry}))
    size = GroupSize(36, entry.slots)
    assert math.isfinite(owners.slots_per_node(entry.group, size, entry.slots))
    assert target_owners(size, 2) >= 1
    SlotQueue(entry.instance, OverloadSettings(enabled=True), entry.slots)
    assert incarnation_of(entry.instance) < 1 << 64
    encode_line("START", entry.group, NO_TENANT, entry.instance)
    assert json.dumps(entry)


def use_table(table: RouteTable) -> None:
    """Compute what a node computes of a configuration."""
    for route in table.routes.values():
        for seconds in (route.timeout, route.target, route.staleness, table.transaction_idle):
            assert 0 <= seconds <= LONGEST_TIMER
        encode_line("START", route.group, route.database, route.name)
    for group in table.groups.values():
        assert target_owners(GroupSize(group.maximum_connections), 2) >= 1


@QUICK
@given(with_odd_value(stored("g", LEASE)))
def test_any_value_in_a_lease(odd: Any) -> None:
    try:
        lease = _lease_of(GROUP, parse_one(answer(odd)))
    except (StoreFormatError, LeaseStoreUnavailableError):
        return
    assert lease is not None
    assert str(lease.token.as_number)
    written = stored("g", json.loads(json.dumps(_lease_spec(lease, lease.era))))
    read_back = _lease_of(GROUP, parse_one(answer({**odd, "spec": written["spec"]})))
    assert read_back == lease


@QUICK
@given(with_odd_value(stored("g", {**ROSTER, "covered": [MEMBER]})))
def test_any_value_in_a_roster(odd: Any) -> None:
    try:
        roster = _roster_of(GROUP, parse_one(answer(odd)))
    except (StoreFormatError, RosterStoreUnavailableError):
        return
    assert roster is not None
    for member in roster.members:
        use_database(member.as_departed(GROUP))
    assert _roster_of(GROUP, parse_one(answer({**odd, "spec": _roster_spec(roster)}))) == roster


WORDS = st.sampled_from(["ROW", "DONE", "ERR", "READY", "I", "T", "3.1209", "-", "primary", "BUSY"])
NUMBERS = st.sampled_from(["12", "-5", "+8", "1_0", "\uff18", "9" * 400, "9" * 5_000, "1e9"])
ROWS = st.lists(WORDS | NUMBERS | TEXTS, max_size=8).map(" ".join)


@QUICK
@given(st.lists(ROWS | st.sampled_from(["READY I 3.1209"]), max_size=5))
def test_any_answer_of_a_database(rows: list[str]) -> None:
    connection = LineDatabaseConnection()
    data = "\r\n".join([*rows, ""]).encode(errors="replace")
    connection.data_received(data)
    assert parse_position(format_position(connection.position)) == connection.position
    for row in rows:
        try:
            status = _parse_status(row)
        except LineFormatError:
            continue
        assert math.isfinite(status.lag)
        assert max(status.term, status.held_term, *status.received) < 1 << 63


def reply_of_a_node() -> Any:
    """Return a reply with a database and a route table, as plain arrays."""
    found = read_beside_others("servers", stored("b", {**ENTRY, "born": 5}), ENTRY, "c")
    tables = read_beside_others("config", stored("main", WHOLE_TABLE), WHOLE_TABLE, "main")
    packed = pack_databases(tuple(found[:3]))
    routes = pack_routes(tuple(tables[:1])).routes
    reply = FollowReply(True, True, 9, 0.5, routes, packed.databases, packed.starts)
    return cbor2.loads(CODEC.encode(reply))


@QUICK
@given(with_odd_value(reply_of_a_node()))
def test_any_value_in_a_list_of_another_node(body: Any) -> None:
    try:
        reply = CODEC.decode(cbor2.dumps(body))
    except (DecodeError, UnicodeEncodeError):
        return
    if not isinstance(reply, FollowReply):
        return
    for found in database_items(reply):
        if found.item is not None:
            use_database(found.item)
    for found in route_items(reply):
        CODEC.encode(FollowReply(True, routes=pack_routes((found,)).routes))
