"""Open connections that stop delivering for good while new ones work, for each kind of connection.

The tests assert the order of events: what is served while the unresponsive connection would still
be waited for, on which connection, and with which verdict. No times are measured.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import pytest
import uvloop

from bramblebeam.core.gateway.budget import ConnectionBudget
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.state import NO_STATE
from bramblebeam.core.gateway.statements import BEGIN, ROLLBACK
from bramblebeam.core.identity import Address, GroupId, InstanceId, ZoneId
from bramblebeam.core.role import Role
from bramblebeam.core.statement import PositionReply
from bramblebeam.core.tenants import NO_TENANT
from bramblebeam.events.catalogue import FAILOVER_STARTED, LEADER_LOST
from bramblebeam.platform.database_connection import LineDatabaseConnection, LineDatabaseConnector
from bramblebeam.platform.http import HttpAnswer, HttpClient, HttpError, HttpServer
from bramblebeam.platform.store import WATCH_MARGIN_SECONDS
from bramblebeam.services.failover.member_orders import MemberOrders
from bramblebeam.services.feed.following import FIRST_RETRY
from bramblebeam.services.feed.service import FeedService
from bramblebeam.services.feed.sources import STORE_WAIT
from bramblebeam.services.gateway.leaders import STALLED_WRITES, LeaderTracker
from bramblebeam.services.gateway.pool import LATE_SECONDS, DatabasePool
from bramblebeam.services.gateway.ports import Command
from bramblebeam.services.transport.messages import PeerFailure, PeerRequest
from platform_standins.group import LineGroup
from platform_standins.proxy import TcpProxy, proxied
from platform_standins.world import (
    GROUP,
    PLATFORM,
    WAIT_TIMEOUT,
    Answer,
    LineClient,
    World,
    proxied_world,
    until,
)
from test_transport import ASK, Peer, introduce, started

MEMBER = InstanceId("db-a")
LONG_ROUTES = {
    "latest": {"route_type": "primary", "timeout_ms": 600_000},
    "bounded": {"route_type": "bounded", "max_staleness_ms": 600_000, "timeout_ms": 600_000},
    "session": {"route_type": "self_managed", "max_staleness_ms": 60_000, "timeout_ms": 600_000},
}
"""Statement timeouts beyond every test, so that no answer results from a timeout."""
SHORTEST_CONTACT = 4.0
"""The shortest `contact_ms` observed (seconds). For this long after a node's connections stopped
delivering, it is not expected to have received configuration changes."""
MISSING_AFTER = 15.0
"""Seconds after which an answer counts as missing; nothing is measured by it."""


# Peers.


@asynccontextmanager
async def peers_through_proxy() -> AsyncIterator[tuple[Peer, Peer, TcpProxy]]:
    """Start two nodes; the first one reaches the second one through a proxy."""
    async with started("a", "b") as (a, b), proxied(b.address.port) as proxy:
        b.address = Address("127.0.0.1", proxy.port)
        introduce(a, b)
        assert isinstance(await a.ask("b"), PositionReply)
        yield a, b, proxy


async def test_a_silent_stream_to_a_peer_is_replaced() -> None:
    """The silence costs one request, not each following one."""
    async with peers_through_proxy() as (a, _b, proxy):
        (struck,) = proxy.silence()
        lost = await a.ask("b", timeout=WAIT_TIMEOUT, silence=0.2)
        assert lost == PeerFailure(sent=True, detail="the peer is silent")
        assert isinstance(await a.ask("b", timeout=WAIT_TIMEOUT, silence=0.2), PositionReply)
        assert proxy.accepted == 2
        await until(lambda: not struck.caller_open)


async def test_a_new_stream_that_is_silent_from_the_start_is_replaced() -> None:
    async with started("a", "b") as (a, b), proxied(b.address.port) as proxy:
        proxy.delay = WAIT_TIMEOUT
        b.address = Address("127.0.0.1", proxy.port)
        introduce(a, b)
        lost = await a.ask("b", timeout=WAIT_TIMEOUT, silence=0.2)
        assert lost == PeerFailure(sent=False, detail="the peer is silent")
        proxy.delay = 0.0
        assert isinstance(await a.ask("b", timeout=WAIT_TIMEOUT, silence=0.2), PositionReply)


async def test_the_other_node_answers_on_the_new_stream() -> None:
    """The second node used the stream that the first one replaced."""
    async with peers_through_proxy() as (a, b, proxy):
        assert isinstance(await b.ask("a"), PositionReply)
        proxy.silence()
        await a.ask("b", timeout=WAIT_TIMEOUT, silence=0.2)
        assert isinstance(await a.ask("b", timeout=WAIT_TIMEOUT, silence=0.2), PositionReply)
        assert isinstance(await b.ask("a", timeout=WAIT_TIMEOUT, silence=0.2), PositionReply)


async def test_streams_without_data_since_then_are_replaced_too() -> None:
    """They stopped delivering together: a second request loses no time on another one."""
    async with (
        started("a", "b", "c") as (a, b, c),
        proxied(b.address.port) as to_b,
        proxied(c.address.port) as to_c,
    ):
        b.address = Address("127.0.0.1", to_b.port)
        c.address = Address("127.0.0.1", to_c.port)
        introduce(a, b, c)
        for peer in ("b", "c"):
            assert isinstance(await a.ask(peer), PositionReply)
        to_b.silence()
        to_c.silence()
        lost = await a.ask("b", timeout=WAIT_TIMEOUT, silence=0.2)
        assert lost == PeerFailure(sent=True, detail="the peer is silent")
        assert isinstance(await a.ask("c", timeout=MISSING_AFTER, silence=0.2), PositionReply)


@pytest.mark.parametrize("repeatable", [True, False], ids=["may be repeated", "may run once only"])
async def test_a_repeatable_request_fails_with_the_stream(repeatable: bool) -> None:
    """A write gains nothing by being in doubt earlier; any other request is sent elsewhere."""
    async with peers_through_proxy() as (a, b, proxy):
        proxy.silence()
        first = asyncio.ensure_future(a.ask("b", timeout=WAIT_TIMEOUT, silence=0.2))
        request = PeerRequest(b.node, ASK, WAIT_TIMEOUT, WAIT_TIMEOUT / 2, repeatable)
        second = asyncio.ensure_future(a.kernel.call("transport", request))
        assert isinstance(await first, PeerFailure)
        for _ in range(10):
            await asyncio.sleep(0)
        assert second.done() is repeatable
        second.cancel()


# Databases: connections in use.


@asynccontextmanager
async def long_world() -> AsyncIterator[World]:
    """Start a node whose statements time out later than any test."""
    async with proxied_world() as world:
        world.configure(2, **LONG_ROUTES)
        node = world.nodes[0]
        await until(lambda: node.gateway.context.table.version == 2)
        yield world


def tracker(world: World) -> LeaderTracker:
    return world.nodes[0].gateway.context.leader(GroupId(GROUP))


def pools(world: World) -> dict[InstanceId, DatabasePool]:
    return world.nodes[0].gateway.context.placement.pools


async def served(client: LineClient, text: str) -> Answer:
    """Return the answer, which must come long before the statement's timeout."""
    async with asyncio.timeout(MISSING_AFTER):
        return await client.run(text)


async def warm(world: World, count: int) -> None:
    """Leave `count` idle connections in the pool of each database."""
    for pool in pools(world).values():
        pool.kept_idle = count
        connections = [await pool.acquire(NO_TENANT, NO_STATE, WAIT_TIMEOUT) for _ in range(count)]
        for connection in connections:
            connection.release()


@pytest.mark.parametrize(
    ("route", "text"),
    [
        pytest.param("latest", "READ x", id="latest read"),
        pytest.param("bounded", "READ x", id="bounded read"),
        pytest.param("session", "READ x", id="session's read"),
    ],
)
async def test_a_read_is_served_although_every_idle_connection_is_silent(
    route: str, text: str
) -> None:
    """Five pooled connections per database stop delivering at once; the read costs one timeout."""
    async with long_world() as world:
        client = await world.client(route)
        assert (await served(client, text)).code == ""
        await warm(world, 5)
        world.silence()
        assert (await served(client, text)).code == ""


@pytest.mark.parametrize("route", ["latest", "bounded"])
async def test_a_transaction_begins_although_every_idle_connection_is_silent(route: str) -> None:
    async with long_world() as world:
        client = await world.client(route)
        assert (await served(client, "READ x")).code == ""
        await warm(world, 5)
        world.silence()
        begin = "BEGIN" if route == "latest" else "BEGIN READ"
        assert (await served(client, begin)).code == ""
        assert (await served(client, "READ x")).code == ""
        assert (await served(client, "COMMIT")).code == ""


async def test_a_write_in_flight_is_in_doubt_and_the_next_one_takes_a_new_connection() -> None:
    """The first write may have run, so that it is never sent again."""
    async with proxied_world() as world:
        world.configure(2, latest={"route_type": "primary", "timeout_ms": 1_500})
        await until(lambda: world.nodes[0].gateway.context.table.version == 2)
        first, second = await world.client("latest"), await world.client("latest")
        assert (await served(first, "WRITE x 1")).code == ""
        await warm(world, 5)
        world.silence()
        doubt = await served(first, "WRITE x 2")
        assert doubt.code in ("INDOUBT", "")
        assert (await served(second, "WRITE x 3")).code == ""
        primary = world.group.primary
        assert primary.runs[first.last_identifier] == (0 if doubt.code else 1)


async def test_one_silent_write_costs_no_other_write() -> None:
    """The other idle connections stopped delivering as well: nothing was received on them since."""
    async with long_world() as world:
        first, second = await world.client("latest"), await world.client("latest")
        assert (await served(first, "WRITE x 1")).code == ""
        await warm(world, 5)
        idle = set(pools(world)[MEMBER]._idle)
        world.silence()
        stuck = asyncio.ensure_future(first.run("WRITE x 2"))
        await until(lambda: not idle & set(pools(world)[MEMBER]._idle))
        assert (await served(second, "WRITE x 3")).code == ""
        assert not stuck.done()
        stuck.cancel()


@pytest.mark.parametrize(
    ("statement", "code"),
    [
        pytest.param("READ x", "ABORTED", id="read"),
        pytest.param("WRITE x 2", "ABORTED", id="write"),
        pytest.param("COMMIT", "ABORTED", id="commit"),
    ],
)
async def test_an_idle_transaction_on_a_silent_connection_ends_as_not_run(
    statement: str, code: str
) -> None:
    """Its COMMIT was never sent, so that none of it is kept and the caller may retry at once."""
    async with long_world() as world:
        client = await world.client("latest")
        await served(client, "BEGIN")
        assert (await served(client, "WRITE x 1")).code == ""
        await warm(world, 3)
        pool = pools(world)[MEMBER]
        world.silence()
        await until(lambda: any(pool.is_suspect(pooled) for pooled in pool._checked_out))
        lost = await served(client, statement)
        assert lost.code == code
        if statement != "COMMIT":
            await served(client, "ROLLBACK")
        await served(client, "BEGIN")
        assert (await served(client, "WRITE x 3")).code == ""
        assert (await served(client, "COMMIT")).code == ""
        assert world.group.primary.read("x") == "3"


async def test_a_statement_in_flight_in_a_transaction_fails_with_its_connection() -> None:
    """The database answers on other connections, which shows that this one is dead."""
    async with long_world() as world:
        client = await world.client("latest")
        await served(client, "BEGIN")
        assert (await served(client, "WRITE x 1")).code == ""
        world.silence()
        assert (await served(client, "WRITE x 2")).code == "ABORTED"
        await served(client, "ROLLBACK")
        assert (await served(client, "WRITE x 3")).code == ""


async def test_a_commit_in_flight_is_in_doubt() -> None:
    async with proxied_world() as world:
        world.configure(2, latest={"route_type": "primary", "timeout_ms": 1_500})
        await until(lambda: world.nodes[0].gateway.context.table.version == 2)
        client = await world.client("latest")
        await served(client, "BEGIN")
        assert (await served(client, "WRITE x 1")).code == ""
        world.silence()
        doubt = await served(client, "COMMIT")
        assert doubt.code == "INDOUBT"
        assert (await served(client, "WRITE x 3")).code == ""


async def test_silent_connections_do_not_count_as_a_lost_leader(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A failed probe is repeated on a new connection before the leader counts as lost."""
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        await warm(world, 5)
        before = world.proxies["db-a"].accepted
        with caplog.at_level(logging.INFO):
            world.silence()
            assert (await served(client, "READ x")).code == ""
            assert world.proxies["db-a"].accepted > before
            await until(lambda: tracker(world).may_use(MEMBER))
        numbers = {getattr(record, "event_number", 0) for record in caplog.records}
        assert not numbers & {LEADER_LOST.number, FAILOVER_STARTED.number}
        assert world.platform.promotions == []


@pytest.mark.parametrize(
    ("answered", "stalled"),
    [pytest.param(True, False, id="others answered"), pytest.param(False, True, id="none")],
)
async def test_writes_on_silent_connections_do_not_count_as_a_stalled_leader(
    answered: bool, stalled: bool
) -> None:
    """Two writes got no answer together; the writes after them were acknowledged."""
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        leaders = tracker(world)
        queried_at = leaders.watermarks.newest.queried_at + 1_000.0 * (not answered)
        for _ in range(STALLED_WRITES):
            leaders.record_write_timeout(MEMBER, queried_at)
        assert (leaders.stalled_since is not None) is stalled


async def test_an_order_to_a_database_is_repeated_on_a_new_connection() -> None:
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        await warm(world, 5)
        world.silence()
        orders = MemberOrders(world.nodes[0].gateway.context.placement)
        status = await orders.status(MEMBER)
        assert status is not None
        assert status.is_primary


# The platform's store.


async def test_a_call_on_a_silent_kept_connection_fails_and_the_next_opens_a_new_one() -> None:
    async def answer(method: str, path: str) -> HttpAnswer:
        return HttpAnswer(200, path.encode())

    server = HttpServer(Address("127.0.0.1", 0), answer)
    address = await server.start()
    async with proxied(address.port) as proxy:
        client = HttpClient(Address("127.0.0.1", proxy.port))
        assert (await client.call("GET", "/one", WAIT_TIMEOUT)).status == 200
        proxy.silence()
        with pytest.raises(HttpError) as lost:
            await client.call("GET", "/two", 0.05)
        assert lost.value.sent
        assert (await client.call("GET", "/three", WAIT_TIMEOUT)).body == b"/three"
        assert proxy.accepted == 2
        client.close()
    server.close()


async def test_a_silent_watch_is_replaced_and_misses_nothing() -> None:
    async with proxied_world() as world:
        context = world.nodes[0].gateway.context
        await until(lambda: context.table.version == 1)
        world.proxies[PLATFORM].silence()
        world.configure(2)
        await until(lambda: context.table.version == 2)


def test_a_silent_watch_is_detected_within_the_shortest_contact_time() -> None:
    """The bound includes the pause before the next request, and that request."""
    pause = FIRST_RETRY * 2 * 1.3
    answer = 0.1
    assert STORE_WAIT + WATCH_MARGIN_SECONDS + pause + answer < SHORTEST_CONTACT


async def test_leases_and_promotions_use_no_pooled_connection() -> None:
    async with proxied_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        await until(lambda: world.platform.has("leases", GROUP))
        world.proxies[PLATFORM].silence()
        await world.group.members["db-a"].crash()
        await until(lambda: bool(world.platform.promotions))
        answer = await served(client, "WRITE x 2")
        while answer.code:
            answer = await served(client, "WRITE x 2")


# Callers.


async def test_a_silent_callers_transaction_ends_by_the_idle_timeout() -> None:
    async with long_world() as world:
        port = world.nodes[0].callers.port
        async with proxied(port) as proxy:
            client = await LineClient.connect(proxy.port)
            await client.start("latest")
            await served(client, "BEGIN")
            assert (await served(client, "WRITE x 1")).code == ""
            proxy.silence()
            await until(lambda: not any(pool._checked_out for pool in pools(world).values()))
        assert world.group.primary.read("x") == ""


@pytest.mark.parametrize("kind", ["caller", "database", "store", "peer"])
async def test_the_operating_system_probes_the_peer_of_every_stream(kind: str) -> None:
    """Keep-alive probes, and a bound for unacknowledged bytes."""
    if kind == "peer":
        async with peers_through_proxy() as (a, b, _proxy):
            for peer in (a, b):
                for stream in peer.transport._all:
                    assert_keepalive(stream._transport)
        return
    async with proxied_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        for transport in transports(world, kind):
            assert_keepalive(transport)
        client.close()


def transports(world: World, kind: str) -> list[asyncio.BaseTransport | None]:
    node = world.nodes[0]
    found: list[asyncio.BaseTransport | None] = []
    if kind == "caller":
        found = [one._transport for one in node.listener.connections]
    elif kind == "database":
        idle = [one for pool in pools(world).values() for one in pool._idle]
        found = [cast(LineDatabaseConnection, one.connection)._transport for one in idle]
    elif kind == "store":
        feed = cast(FeedService, node.kernel._services["feed"])
        clients = [
            cast(Any, source)._client
            for source in (feed._store_routes._store, feed._store_databases)
        ]
        found = [one._http._writer.transport for one in clients]
    assert found
    return found


def assert_keepalive(transport: asyncio.BaseTransport | None) -> None:
    assert transport is not None
    connected = transport.get_extra_info("socket")
    assert connected.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    assert connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) > 0
    assert connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) <= 15


# This process.


def test_a_suspended_process_does_not_miss_answers() -> None:
    """Its timers fire before the answers that arrived meanwhile are read (uvloop's order)."""

    async def scenario() -> tuple[int, int]:
        group = LineGroup(GROUP)
        await group.start([MEMBER])
        pool = pool_of(group)
        pooled = [await pool.acquire(NO_TENANT, NO_STATE, MISSING_AFTER) for _ in range(3)]
        pooled.pop().release()
        pooled.pop().release()
        heard_at = max(idle.received_at for idle in pool._idle)
        await until(lambda: asyncio.get_running_loop().time() > heard_at)
        commands = [Command(BEGIN), Command(ROLLBACK)]
        asked = asyncio.ensure_future(pooled[0].run(commands, MISSING_AFTER))
        await asyncio.sleep(0)
        block_process()
        answers = len(await asked)
        idle = len(pool._idle)
        pool.close()
        await group.members[MEMBER].crash()
        return answers, idle

    assert uvloop.run(scenario()) == (2, 2)


def pool_of(group: LineGroup) -> DatabasePool:
    address = Address("127.0.0.1", group.members[MEMBER].port)
    zone = ZoneId("zone")
    entry = DatabaseEntry(MEMBER, GroupId(GROUP), address, zone, Role.PRIMARY, False, slots=3)
    return DatabasePool(entry, LineDatabaseConnector(), ConnectionBudget(5, 5))


def block_process() -> None:
    time.sleep(3 * LATE_SECONDS)
