"""Tenants and API keys, from the store's table to the connection that runs a statement."""

import asyncio
import json
import logging
from typing import Any

import pytest

from bramblebeam.core.feed.messages import FollowReply
from bramblebeam.core.gateway.routes import Consistency, Route, RouteTable
from bramblebeam.core.identity import GroupId
from bramblebeam.core.tenants import NO_TENANT, RateLimit, Tenant, TenantId, TenantTable, digest_of
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.events.formatting import JsonFormatter
from bramblebeam.platform.sources import parse_route_table
from bramblebeam.platform.tenants import parse_tenants
from bramblebeam.services.feed.peers import pack_routes, route_items
from bramblebeam.services.feed.ports import Versioned
from bramblebeam.services.gateway.refused_keys import RefusedKeys
from bramblebeam.wire.codec import Codec
from bramblebeam.wire.gateway_registry import GATEWAY_NODE_MESSAGES
from platform_standins.world import LineClient, World, configuration, running_world, until
from revisions import at

SECRET = "aj3nr26tta828m82thhk"
OTHER_SECRET = "mgjqnirth5mgjy5rcpih"
ACME, BOLT = TenantId("acme"), TenantId("bolt")


def tenant_entry(name: str, *keys: str, rate: float = 1e6, burst: float = 1e6) -> dict[str, Any]:
    return {"name": name, "api_keys": list(keys), "rate_per_s": rate, "burst_size": burst}


def put_configuration(
    world: World, version: int, tenants: list[dict[str, Any]], **routes: Any
) -> None:
    content = configuration(version, routes, world.connections)
    world.platform.put("config", "main", {**content, "tenants": tenants})


async def open_session(world: World, key: str, database: str = "session") -> LineClient:
    """Open a session at the first node, retrying until the node knows the key."""
    return await open_session_at(world, 0, key, database)


async def open_session_at(
    world: World, node: int, key: str, database: str = "session"
) -> LineClient:
    while True:
        client = await LineClient.connect(world.nodes[node].callers.port)
        if (await client.start(database, key)).state == "I":
            return client
        client.close()
        await asyncio.sleep(0.02)


# The tenant table.


@pytest.mark.parametrize(
    ("tenants", "place"),
    [
        pytest.param({}, "tenants", id="no list"),
        pytest.param(["acme"], "tenants[0]", id="no object"),
        pytest.param([{"api_keys": [SECRET]}], "tenants[0].name", id="no name"),
        pytest.param([{"name": "", "api_keys": []}], "tenants[0].name", id="empty name"),
        pytest.param(
            [tenant_entry("two words", SECRET)], "tenants[0].name", id="name with a blank"
        ),
        pytest.param([{"name": "acme"}], "tenants[0].api_keys", id="no keys"),
        pytest.param([tenant_entry("acme", SECRET, SECRET)], "api_keys", id="duplicate key"),
        pytest.param(
            [tenant_entry("acme", SECRET), tenant_entry("bolt", SECRET)],
            "bolt",
            id="key shared by tenants",
        ),
        pytest.param([tenant_entry("acme"), tenant_entry("acme")], "acme", id="duplicate name"),
        pytest.param(
            [tenant_entry("acme", SECRET, rate=-1)], "tenants[0].rate_per_s", id="rate below 0"
        ),
        pytest.param(
            [{**tenant_entry("acme", SECRET), "rate_per_s": SECRET}],
            "tenants[0].rate_per_s",
            id="rate is no number",
        ),
        pytest.param(
            [{"name": "acme", "api_keys": [SECRET], "rate_per_s": 5}],
            "tenants[0].burst_size",
            id="burst missing",
        ),
        pytest.param(
            [tenant_entry("acme", rate=float("nan"))],
            "tenants[0].rate_per_s",
            id="rate is not a number",
        ),
        pytest.param(
            [tenant_entry("acme", burst=float("inf"))], "tenants[0].burst_size", id="infinite burst"
        ),
    ],
)
def test_error_names_invalid_tenant_without_its_key(tenants: Any, place: str) -> None:
    with pytest.raises(ValueError, match=place.replace("[", r"\[")) as caught:
        parse_tenants(tenants)
    assert SECRET not in repr(caught.value)


@pytest.mark.parametrize(
    ("tenants", "expected"),
    [
        pytest.param(None, None, id="a table without tenants"),
        pytest.param([], {}, id="no tenants"),
        pytest.param([tenant_entry("acme")], {ACME: RateLimit(1e6, 1e6)}, id="without keys"),
        pytest.param([tenant_entry("acme", rate=0)], {ACME: RateLimit(0, 1e6)}, id="limit of zero"),
        pytest.param([{"name": "acme", "api_keys": []}], {ACME: None}, id="without a limit"),
    ],
)
def test_valid_tenants(tenants: Any, expected: Any) -> None:
    found = parse_tenants(tenants)
    limits = None
    if found is not None:
        limits = {name: tenant.limit for name, tenant in found.by_name.items()}
    assert limits == expected


def table(tenants: TenantTable | None, public: frozenset[str] = frozenset()) -> RouteTable:
    route = Route("r", "parcels", GroupId("g"), Consistency.LATEST, 1.0, 0.5)
    return RouteTable(1, {"parcels": route}, {}, 3.0, tenants, public)


TENANTS = TenantTable([Tenant(ACME, (digest_of(SECRET),))])


@pytest.mark.parametrize(
    ("configured", "database", "key", "expected"),
    [
        pytest.param(RouteTable(), "parcels", SECRET, Reason.NO_CONFIGURATION, id="no table yet"),
        pytest.param(table(None), "parcels", "anything", NO_TENANT, id="no tenants"),
        pytest.param(table(TENANTS), "parcels", SECRET, ACME, id="known key"),
        pytest.param(table(TENANTS), "parcels", OTHER_SECRET, Reason.UNKNOWN_KEY, id="unknown key"),
        pytest.param(table(TENANTS), "parcels", "", Reason.UNKNOWN_KEY, id="empty key"),
        pytest.param(table(TENANTS), "parcels", "x" * 10_000, Reason.UNKNOWN_KEY, id="10 kB"),
        pytest.param(
            table(TENANTS), "parcels", "\x00\x1b", Reason.UNKNOWN_KEY, id="control characters"
        ),
        pytest.param(table(TENANTS), "nothing", SECRET, Reason.UNKNOWN_DATABASE, id="no database"),
        pytest.param(
            table(TENANTS),
            "nothing",
            OTHER_SECRET,
            Reason.UNKNOWN_KEY,
            id="unknown key, no database",
        ),
        pytest.param(table(TENANTS, frozenset({"parcels"})), "parcels", "", NO_TENANT, id="public"),
        pytest.param(
            table(TENANTS, frozenset({"parcels"})), "parcels", SECRET, ACME, id="public, known key"
        ),
    ],
)
def test_access(configured: RouteTable, database: str, key: str, expected: Any) -> None:
    access = configured.access(database, digest_of(key))
    assert (access.reason if isinstance(access, Refusal) else access.tenant) == expected


def test_forwarded_table_contains_its_tenants() -> None:
    """Without the tenants in the table that nodes forward, only the store's readers know them."""
    content = configuration(7, {}, 32)
    content["routes"][0]["public"] = True
    found = parse_route_table(
        {**content, "tenants": [tenant_entry("acme", SECRET), tenant_entry("bolt")]}
    )
    codec = Codec(GATEWAY_NODE_MESSAGES)
    reported = pack_routes((Versioned("main", at(3), found),)).routes
    received = codec.decode(codec.encode(FollowReply(True, True, 3, 0.0, reported)))
    (item,) = route_items(received)
    assert item.item == found
    assert SECRET not in repr(received)


# Sessions.


async def test_statement_runs_as_its_tenant() -> None:
    async with running_world() as world:
        world.group.tenants = {ACME, BOLT}
        put_configuration(world, 2, [tenant_entry(ACME, SECRET), tenant_entry(BOLT, OTHER_SECRET)])
        clients = {
            ACME: await open_session(world, SECRET),
            BOLT: await open_session(world, OTHER_SECRET),
        }
        sent: dict[str, str] = {}
        for number in range(40):
            for tenant, client in clients.items():
                texts = [f"READ k{number}", f"WRITE k{number} v", "BEGIN", "READ k", "COMMIT"]
                for text in texts:
                    answer = await client.run(text)
                    assert answer.code == "", answer.text
                    sent[client.last_identifier] = tenant
        ran = {run.identifier: run.tenant for run in world.group.runs}
        assert {sent[identifier] == tenant for identifier, tenant in ran.items()} == {True}
        assert set(ran.values()) == {ACME, BOLT}


@pytest.mark.parametrize(
    "tenants",
    [
        pytest.param([tenant_entry(ACME, OTHER_SECRET)], id="key removed"),
        pytest.param([tenant_entry(ACME)], id="all keys of the tenant removed"),
        pytest.param([tenant_entry(BOLT, OTHER_SECRET)], id="tenant removed"),
        pytest.param([], id="all tenants removed"),
    ],
)
@pytest.mark.parametrize("opened", ["", "BEGIN"], ids=["idle", "in transaction"])
async def test_open_session_ends_when_its_key_is_removed(tenants: list[Any], opened: str) -> None:
    async with running_world() as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET)])
        client = await open_session(world, SECRET)
        if opened:
            await client.run(opened)
            assert (await client.run("WRITE parcel lost")).code == ""
        put_configuration(world, 3, tenants)
        context = world.nodes[0].gateway.context
        await until(lambda: context.table.version == 3)
        answer = await client.run("COMMIT" if opened else "READ parcel")
        assert answer.code == "NOAUTH"
        assert "retry" not in answer.text
        assert (await client.reader.read()) == b""
        assert world.group.primary.read("parcel") == ""


async def test_key_moved_to_another_tenant_works_for_that_tenant() -> None:
    async with running_world() as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET), tenant_entry(BOLT)])
        client = await open_session(world, SECRET)
        await client.run("BEGIN")
        await client.run("READ parcel")
        put_configuration(world, 3, [tenant_entry(ACME), tenant_entry(BOLT, SECRET)])
        context = world.nodes[0].gateway.context
        await until(lambda: context.table.version == 3)
        answer = await client.run("READ parcel")
        assert (answer.code, answer.state) == ("ABORTED", "E")
        assert (await client.run("ROLLBACK")).state == "I"
        assert (await client.run("READ parcel")).code == ""
        assert [run.tenant for run in world.group.runs] == [ACME, BOLT]


async def test_node_without_table_does_not_reject_key_as_unknown() -> None:
    async with running_world(configured=False) as world:
        client = await LineClient.connect(world.nodes[0].callers.port)
        answer = await client.start("session", SECRET)
        assert answer.code == "BUSY"


async def test_invalid_table_leaves_previous_one_in_force(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    async with running_world() as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET)])
        client = await open_session(world, SECRET)
        put_configuration(world, 3, [tenant_entry(ACME, SECRET, rate=-5)])
        await until(lambda: any(_number(record) == 1519 for record in caplog.records))
        assert (await client.run("READ parcel")).code == ""
        put_configuration(world, 4, [tenant_entry(ACME, OTHER_SECRET)])
        await until(lambda: world.nodes[0].gateway.context.table.version == 4)
        assert (await client.run("READ parcel")).code == "NOAUTH"


# Keys stay secret.


async def test_keys_do_not_appear_in_logs_metrics_or_replies(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.DEBUG)
    async with running_world() as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET)])
        client = await open_session(world, SECRET)
        refused = await client.run("EXEC nothing 1")
        other_client = await LineClient.connect(world.nodes[0].callers.port)
        unknown_key = await other_client.start("session", OTHER_SECRET)
        put_configuration(world, 3, [tenant_entry(ACME, SECRET, SECRET)])
        await until(lambda: any(_number(record) == 1519 for record in caplog.records))
        await until(lambda: any(_number(record) == 1125 for record in caplog.records))
        metrics = world.nodes[0].gateway.context.metrics.text().decode()
    lines = [JsonFormatter().format(record) for record in caplog.records]
    for text in (*lines, metrics, refused.text, unknown_key.text):
        assert SECRET not in text
        assert OTHER_SECRET not in text


def test_many_unknown_keys_log_one_line_per_second(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    refused = RefusedKeys()
    for step in range(40):
        for _ in range(100):
            refused.record(digest_of(f"wrong {step}"))
        refused.report(step * 0.05)
    lines = [json.loads(JsonFormatter().format(record)) for record in caplog.records]
    assert [line["fields"]["sessions"] for line in lines] == [100, 2_000]


def _number(record: logging.LogRecord) -> int:
    return getattr(record, "event_number", 0)
