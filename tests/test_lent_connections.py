"""Lent connections come back, and what looks like silence and is none costs nobody a connection."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from bramblebeam.core.failover.target import CandidateStatus
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

FAR = 0.03
"""One way to a database in another region (seconds)."""
NEVER_USED = -1e6
"""Has a tracker ask nothing by itself (steady clock, seconds)."""


def silent_ones(pool: DatabasePool) -> list[PooledConnection]:
    return [lent for lent in pool._lent if pool.is_silent(lent)]


def closed_and_lent(world: World) -> list[PooledConnection]:
    lent = [found for pool in pools(world).values() for found in pool._lent]
    return [found for found in lent if found.connection.closed]


@pytest.mark.parametrize(
    ("texts", "last"),
    [(["BEGIN"], "READ x"), (["BEGIN", "WRITE x 2"], "COMMIT")],
    ids=["at its BEGIN", "at its COMMIT"],
)
async def test_a_caller_that_leaves_in_a_transaction_leaves_no_connection_lent(
    texts: list[str], last: str
) -> None:
    """Each one that stays lent is lost to the node until it starts again."""
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        caller = await world.client("latest")
        for text in texts:
            assert (await served(caller, text)).code == ""
        await until(lambda: tracker(world).may_use(MEMBER))
        world.proxies[MEMBER].delay = 0.1
        caller.send(f"QUERY left {last}")
        await until(lambda: any(lent.asked_at for lent in pools(world)[MEMBER]._lent))
        caller.close()
        world.proxies[MEMBER].delay = 0.0
        await until(lambda: len(world.nodes[0].gateway.listener.connections) == 1)
        await until(lambda: closed_and_lent(world) == [])


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
        asked = asyncio.ensure_future(host.serve(NodeId("n"), message))
        await until(lambda: any(lent.asked_at for lent in pools(world)[MEMBER]._lent))
        host.abandon(NodeId("n"), 77)
        assert (await asked).reply.refusal is not None
        world.proxies[MEMBER].delay = 0.0
        member = world.group.members[MEMBER]
        await until(lambda: not any(session.transaction for session in member.connections))


async def test_a_short_bound_without_an_answer_shows_no_silence() -> None:
    """As at the end of the time for which a statement may wait."""
    async with long_world() as world:
        client = await world.client("latest")
        await served(client, "BEGIN")
        assert (await served(client, "WRITE x 1")).code == ""
        pool = pools(world)[MEMBER]
        lent = await pool.acquire(NO_TENANT, NO_STATE, WAIT_TIMEOUT)
        await asyncio.sleep(FAR)
        world.proxies[MEMBER].delay = FAR
        with pytest.raises(ConnectionLostError):
            await lent.run_at_once([Command(BEGIN), Command(ROLLBACK)], FAR / 3)
        lent.give_back()
        assert silent_ones(pool) == []
        world.proxies[MEMBER].delay = 0.0
        assert (await served(client, "COMMIT")).code == ""


async def test_a_proof_that_had_no_time_loses_no_leader() -> None:
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        leaders = tracker(world)
        await until(lambda: leaders.may_use(MEMBER))
        losses = leaders._losses
        world.proxies[MEMBER].delay = FAR
        await leaders._prove(MEMBER, FAR / 3)
        assert leaders._losses == losses


async def test_no_room_for_a_second_question_shows_no_silence() -> None:
    """The first one is answered late, and the database takes no further connection."""
    async with long_world() as world:
        client = await world.client("latest")
        await served(client, "BEGIN")
        assert (await served(client, "WRITE x 1")).code == ""
        await warm(world, 1)
        pool = pools(world)[MEMBER]
        tracker(world)._used_at = NEVER_USED
        await until(lambda: len(pool._lent) == 1)
        acquire, asked = pool.acquire, []

        async def acquire_once(*args: Any, **named: Any) -> PooledConnection:
            asked.append(args)
            if len(asked) > 1:
                raise ConnectError(Reason.TOO_MANY_CONNECTIONS, "full")
            return await acquire(*args, **named)

        pool.acquire = acquire_once  # type: ignore[method-assign]
        world.proxies[MEMBER].delay = 0.11
        await MemberProbes(world.nodes[0].gateway.context.placement).prove(MEMBER, 0.45)
        assert silent_ones(pool) == []


async def test_a_connection_that_opens_after_its_pool_was_closed_is_closed() -> None:
    pool = make_pool(1)
    may_open = asyncio.Event()
    opened = OpenConnection()

    async def connect(entry: object, tenant: TenantId, timeout: float) -> OpenConnection:
        await may_open.wait()
        return opened

    pool._connector = SimpleNamespace(connect=connect)  # type: ignore[assignment]
    asked = asyncio.ensure_future(pool.acquire(NO_TENANT, NO_STATE, WAIT_TIMEOUT))
    await until(lambda: bool(pool._opening))
    pool.close()
    may_open.set()
    await asyncio.gather(asked, return_exceptions=True)
    await until(lambda: opened.closed)


async def test_a_waiter_gets_a_connection_beside_a_silent_one_after_a_refusal() -> None:
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        tracker(world)._used_at = NEVER_USED
        pool = pools(world)[MEMBER]
        lent = await pool.acquire(NO_TENANT, NO_STATE, WAIT_TIMEOUT)
        for idle in pool._resting:
            idle.connection.close()
        now = asyncio.get_running_loop().time()
        pool._silent_before = now + WAIT_TIMEOUT
        pool._refused_until = now + 0.1
        async with asyncio.timeout(WAIT_TIMEOUT):
            other = await pool.acquire(NO_TENANT, NO_STATE, WAIT_TIMEOUT)
        other.give_back()
        lent.give_back()


async def test_a_second_database_that_lags_leaves_a_read_its_third_try(
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
        silent = {"patience": 0.01, "unresponsive": False, "heard_at": 0.0, "enter": enter}
        return SimpleNamespace(entry=entry, was_silent=lambda: None, **silent)

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
async def test_a_leader_that_nobody_knew_may_register_late(synchronous: int) -> None:
    """Registrations come back one by one after the store was out of order: a node that starts
    meanwhile sees replicas only, and with synchronous ones perhaps not the longest log."""
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


async def test_a_commit_that_a_newer_term_gave_up_holds_no_planned_change() -> None:
    """The new leader has committed nothing of its own yet."""
    async with long_world() as world:
        client = await world.client("latest")
        assert (await served(client, "WRITE x 1")).code == ""
        leaders = tracker(world)
        leaders.acknowledged(Position(1, 100))
        leaders.refused(MEMBER, "lost")
        now = asyncio.get_running_loop().time()
        kept = Position(1, 95)
        status = MemberStatus(True, 2, kept, 0.0, 0)
        leaders.take(MemberAnswer(InstanceId("db-b"), now, now, True, kept, status))
        assert leaders.leader == "db-b"
        context = world.nodes[0].gateway.context
        runner = ChangeRunner(context, None, None, GroupId(GROUP))  # type: ignore[arg-type]
        assert not runner._lacks_commits(CandidateStatus(False, 2, kept, True))
