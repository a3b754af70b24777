"""Connections are always released, and a slow reply alone costs no caller its connection."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from bramblebeam.core.gateway.messages import ForwardedStatement
from bramblebeam.core.gateway.state import NO_STATE
from bramblebeam.core.gateway.statements import BEGIN, ROLLBACK, Action, Statement
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, Position
from bramblebeam.core.tenants import NO_TENANT, TenantId
from bramblebeam.core.verdict import Reason
from bramblebeam.services.failover.change import ChangeRunner
from bramblebeam.services.gateway import reads
from bramblebeam.services.gateway.member_probes import MemberAnswer, MemberProbes
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.pooled import PooledConnection
from bramblebeam.services.gateway.ports import (
    Command,
    ConnectError,
    ConnectionLostError,
    MemberStatus,
)
from bramblebeam.services.gateway.slot_queue import Permit, unlimited_permit
from platform_standins import world as worlds
from platform_standins.world import GROUP, WAIT_TIMEOUT, World, running_world, until
from test_gateway_pool import OpenConnection, make_pool
from test_silent_connections import MEMBER, long_world, pools, served, tracker, warm

REMOTE_DELAY = 0.03
"""One-way delay to a database in another region (seconds)."""
NEVER_USED = -1e6
"""Last use of a group that keeps its tracker from sending queries (monotonic clock, seconds)."""


def suspects(pool: DatabasePool) -> list[PooledConnection]:
    return [pooled for pooled in pool._checked_out if pool.is_suspect(pooled)]


def closed_but_in_use(world: World) -> list[PooledConnection]:
    pooled = [found for pool in pools(world).values() for found in pool._checked_out]
    return [found for found in pooled if found.connection.closed]


@pytest.mark.parametrize(
    ("texts", "last"),
    [(["BEGIN"], "READ x"), (["BEGIN", "WRITE x 2"], "COMMIT")],
    ids=["at its BEGIN", "at its COMMIT"],
)
async def test_a_connection_is_released_if_its_caller_disconnects_in_a_transaction(
    texts: list[str], last: str
) -> None:
    """A connection that isn't released is lost to the node until it restarts."""
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        caller = await world.client("latest")
        for text in texts:
            assert (await served(caller, text)).code == ""
        await until(lambda: tracker(world).may_use(MEMBER))
        world.proxies[MEMBER].delay = 0.1
        caller.send(f"QUERY left {last}")
        await until(
            lambda: any(pooled.waiting_since for pooled in pools(world)[MEMBER]._checked_out)
        )
        caller.close()
        world.proxies[MEMBER].delay = 0.0
        await until(lambda: len(world.nodes[0].gateway.listener.connections) == 1)
        await until(lambda: closed_but_in_use(world) == [])


async def test_a_transaction_that_is_abandoned_while_it_begins_is_rolled_back() -> None:
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        context = world.nodes[0].gateway.context
        host = world.nodes[0].gateway.host
        route = context.table.route("latest")
        assert route is not None
        read = Statement(Action.READ, "", "x")
        message = ForwardedStatement(
            route, "first", read, None, {}, time_left=route.timeout, transaction=77, opens=True
        )
        await until(lambda: tracker(world).may_use(MEMBER))
        world.proxies[MEMBER].delay = 0.1
        requested = asyncio.ensure_future(host.serve(NodeId("n"), message))
        await until(
            lambda: any(pooled.waiting_since for pooled in pools(world)[MEMBER]._checked_out)
        )
        host.abandon(NodeId("n"), 77)
        assert (await requested).reply.refusal is not None
        world.proxies[MEMBER].delay = 0.0
        member = world.group.members[MEMBER]
        await until(lambda: not any(session.transaction for session in member.connections))


async def test_a_short_timeout_makes_no_connection_suspect() -> None:
    """Statements that are close to their deadline have such short timeouts."""
    async with long_world() as world:
        client = await world.client("latest")
        await served(client, "BEGIN")
        assert (await served(client, "WRITE x 1")).code == ""
        pool = pools(world)[MEMBER]
        pooled = await pool.acquire(NO_TENANT, NO_STATE, WAIT_TIMEOUT)
        await asyncio.sleep(REMOTE_DELAY)
        world.proxies[MEMBER].delay = REMOTE_DELAY
        with pytest.raises(ConnectionLostError):
            await pooled.run_at_once([Command(BEGIN), Command(ROLLBACK)], REMOTE_DELAY / 3)
        pooled.release()
        assert suspects(pool) == []
        world.proxies[MEMBER].delay = 0.0
        assert (await served(client, "COMMIT")).code == ""


async def test_a_proof_with_a_short_timeout_rejects_no_leader() -> None:
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        leaders = tracker(world)
        await until(lambda: leaders.may_use(MEMBER))
        losses = leaders._losses
        world.proxies[MEMBER].delay = REMOTE_DELAY
        await leaders._prove(MEMBER, REMOTE_DELAY / 3)
        assert leaders._losses == losses


async def test_a_second_probe_without_a_connection_makes_no_connection_suspect() -> None:
    """The reply to the first probe is late, and the database accepts no further connection."""
    async with long_world() as world:
        client = await world.client("latest")
        await served(client, "BEGIN")
        assert (await served(client, "WRITE x 1")).code == ""
        await warm(world, 1)
        pool = pools(world)[MEMBER]
        tracker(world)._used_at = NEVER_USED
        await until(lambda: len(pool._checked_out) == 1)
        acquire, requested = pool.acquire, []

        async def acquire_once(*args: Any, **named: Any) -> PooledConnection:
            requested.append(args)
            if len(requested) > 1:
                raise ConnectError(Reason.TOO_MANY_CONNECTIONS, "full")
            return await acquire(*args, **named)

        pool.acquire = acquire_once  # type: ignore[method-assign]
        world.proxies[MEMBER].delay = 0.11
        await MemberProbes(world.nodes[0].gateway.context.placement).prove(MEMBER, 0.45)
        assert suspects(pool) == []


async def test_a_connection_that_opens_after_its_pool_was_closed_is_closed() -> None:
    pool = make_pool(1)
    may_open = asyncio.Event()
    opened = OpenConnection()

    async def connect(entry: object, tenant: TenantId, timeout: float) -> OpenConnection:
        await may_open.wait()
        return opened

    pool._connector = SimpleNamespace(connect=connect)  # type: ignore[assignment]
    requested = asyncio.ensure_future(pool.acquire(NO_TENANT, NO_STATE, WAIT_TIMEOUT))
    await until(lambda: bool(pool._opening))
    pool.close()
    may_open.set()
    await asyncio.gather(requested, return_exceptions=True)
    await until(lambda: opened.closed)


async def test_a_waiter_gets_a_connection_beside_a_suspect_one_after_a_refusal() -> None:
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        tracker(world)._used_at = NEVER_USED
        pool = pools(world)[MEMBER]
        pooled = await pool.acquire(NO_TENANT, NO_STATE, WAIT_TIMEOUT)
        for idle in pool._idle:
            idle.connection.close()
        now = asyncio.get_running_loop().time()
        pool._suspect_before = now + WAIT_TIMEOUT
        pool._refused_until = now + 0.1
        async with asyncio.timeout(WAIT_TIMEOUT):
            other = await pool.acquire(NO_TENANT, NO_STATE, WAIT_TIMEOUT)
        other.release()
        pooled.release()


async def test_a_second_database_that_is_behind_leaves_a_read_its_third_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tried: list[str] = []

    async def read_once(context: object, request: object, pool: Any, permit: Any) -> str | None:
        tried.append(pool.entry.instance)
        if len(tried) == 1:
            await asyncio.Event().wait()
        return None if len(tried) == 2 else "answer"

    async def enter(work: object) -> Permit:
        return unlimited_permit()

    def a_pool(name: str) -> Any:
        entry = SimpleNamespace(instance=name)
        values = {"late_after": 0.01, "unresponsive": False, "received_at": 0.0, "enter": enter}
        return SimpleNamespace(entry=entry, record_unresponsive=lambda: None, **values)

    monkeypatch.setattr(reads, "_read_once", read_once)
    monkeypatch.setattr(reads, "ANSWER_SECONDS", 0.01)
    second = a_pool("b")
    placement = SimpleNamespace(choose=lambda group, tenant, excluded: second)
    table = SimpleNamespace(tenants=None)
    load = SimpleNamespace(
        most_attempts=lambda request, own: own, may_try_again=lambda request: True
    )
    context: Any = SimpleNamespace(placement=placement, now=lambda: 0.0, table=table, load=load)
    route = SimpleNamespace(group="g")
    request: Any = SimpleNamespace(
        route=route, tenant=NO_TENANT, work=lambda: None, withdrawn=False
    )
    async with asyncio.timeout(WAIT_TIMEOUT):
        answer: Any = await reads._read_with_retries(context, request, a_pool("a"), set())
    assert answer == "answer"
    assert tried == ["a", "b", "a"]


# Changes of primary.


@pytest.mark.parametrize("synchronous", [0, 1])
async def test_no_change_is_ordered_while_an_unknown_leader_may_still_register(
    synchronous: int,
) -> None:
    """After an outage of the store, databases are registered again one by one. A node that starts
    meanwhile sees only replicas, and with synchronous ones perhaps not the longest log."""
    async with running_world() as world:
        context = world.nodes[0].gateway.context
        world.platform.delete("servers", "db-a")
        content = worlds.configuration(2, {}, world.connections)
        content["services"][0]["sync_replicas"] = synchronous
        world.platform.put("config", "main", content)
        await until(lambda: context.table.version == 2)
        tracked = context.leader(GroupId(GROUP))
        await until(lambda: "db-a" not in context.placement.pools)
        tracked.last_leader = tracked.leader = None
        tracked.suspected_since = context.now()
        runner = ChangeRunner(context, None, None, GroupId(GROUP))  # type: ignore[arg-type]
        assert await runner.prepare(None, None, None) is None


async def test_a_commit_rolled_back_by_a_newer_term_blocks_no_planned_change() -> None:
    """The new leader has not committed anything in its own term yet."""
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        leaders = tracker(world)
        leaders.record_commit(Position(1, 100))
        leaders.reject(MEMBER, "lost")
        now = asyncio.get_running_loop().time()
        kept = Position(1, 95)
        status = MemberStatus(True, 2, kept, 0.0, 0)
        leaders.handle_answer(MemberAnswer(InstanceId("db-b"), now, now, True, kept, status))
        assert leaders.leader == "db-b"
        context = world.nodes[0].gateway.context
        runner = ChangeRunner(context, None, None, GroupId(GROUP))  # type: ignore[arg-type]
        assert not runner._acknowledged.lacks_own_commits(kept)
