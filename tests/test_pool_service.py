"""The pool service against a fake back end on loopback."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from bramblebeam.core.configuration.view import ConfigurationChanged, ConfigurationView
from bramblebeam.core.identity import NodeId, Position
from bramblebeam.core.ownership.rendezvous import instance_key, ranked_owners
from bramblebeam.core.role import Role
from bramblebeam.core.statement import (
    AbandonRequest,
    FetchRequest,
    PositionRequest,
    StatementKind,
    SubscribeRequest,
)
from bramblebeam.core.verdict import Reason, Verdict
from bramblebeam.edges.backend import BackendConnection
from bramblebeam.services.pool import status as status_module
from pool_backend import FakeBackend
from pool_harness import INSTANCE, BackendHarness, running_harness, wait_for


class FakeHarness(BackendHarness):
    """Nodes that share a fake back end, with helpers of these tests."""

    async def has_sessions(self, count: int) -> bool:
        return len(self.backend.slot_sessions()) == count

    async def executes(self) -> bool:
        """Whether a statement has reached the back end."""
        return bool(self.backend.executed)

    async def become_replica(self, node: str, applied: int, lag_ms: int = 0) -> None:
        """Turn the back end into a replica and wait until the owner reports it."""
        self.backend.role, self.backend.lag_ms = "replica", lag_ms
        self.backend.applied = applied

        async def reported() -> bool:
            status = (await self.call(node, SubscribeRequest(INSTANCE))).status
            return status is not None and status.role is Role.REPLICA

        await wait_for(reported)


class StoppingHarness(FakeHarness):
    """Nodes whose transactions end soon after their stop begins."""

    drain_seconds = 0.6


@pytest.fixture
async def harness() -> AsyncIterator[FakeHarness]:
    async with running_harness(FakeBackend(), FakeHarness) as harness:
        yield harness


async def test_write_and_read_run_on_the_owner(harness: FakeHarness) -> None:
    written = await harness.write("a")
    assert (written.refusal, written.affected_rows, written.last_insert_id) == (None, 1, 7)
    assert written.status is not None and written.status.reachable
    assert written.position == Position(1, 1)
    read = await harness.read("a", floor=written.position)
    assert read.refusal is None
    assert [column.name for column in read.columns] == ["id"]
    assert read.position >= written.position


async def test_node_that_does_not_own_refuses_as_not_run(harness: FakeHarness) -> None:
    await harness.add("b")
    reply = await harness.read("b")
    assert reply.refusal.reason is Reason.NOT_OWNER
    assert reply.refusal.verdict is Verdict.NOT_RUN


async def test_connections_stay_within_the_slots(harness: FakeHarness) -> None:
    replies = await asyncio.gather(*(harness.read("a", "SELECT sleep 20") for _ in range(8)))
    assert [reply.refusal for reply in replies] == [None] * 8
    assert harness.backend.peak == 2


async def test_changed_limits_apply_without_a_restart(harness: FakeHarness) -> None:
    harness.slots = 4
    harness.nodes[NodeId("a")].publish(ConfigurationChanged(harness.view()))
    await asyncio.gather(*(harness.read("a", "SELECT sleep 20") for _ in range(8)))
    assert harness.backend.peak == 4
    harness.slots = 1
    harness.nodes[NodeId("a")].publish(ConfigurationChanged(harness.view()))
    await wait_for(lambda: harness.has_sessions(1))
    assert (await harness.read("a")).refusal is None


async def test_transaction_has_exclusive_use_of_its_connection(harness: FakeHarness) -> None:
    begun = await harness.run("a", "BEGIN", StatementKind.BEGIN, transaction="t")
    assert begun.in_transaction
    own = await harness.read("a", "SELECT 1", transaction="t")
    others = [await harness.read("a") for _ in range(3)]
    assert all(other.rows != own.rows for other in others)
    again = await harness.read("a", "SELECT 1", transaction="t")
    assert again.rows == own.rows
    committed = await harness.run("a", "COMMIT", StatementKind.COMMIT, transaction="t")
    assert not committed.in_transaction and committed.position == Position(1, 1)
    lost = await harness.write("a", transaction="t")
    assert lost.refusal.reason is Reason.TRANSACTION_LOST


async def test_abandoned_transaction_frees_its_slot(harness: FakeHarness) -> None:
    for name in ("t1", "t2"):
        await harness.run("a", "BEGIN", StatementKind.BEGIN, transaction=name)
    refused = await harness.read("a", wait_ms=20)
    assert refused.refusal.reason is Reason.QUEUE_TIMEOUT
    await harness.call("a", AbandonRequest("s", INSTANCE))
    assert (await harness.read("a")).refusal is None
    assert not any(session.in_transaction for session in harness.backend.slot_sessions())


async def test_write_cut_at_its_deadline_is_in_doubt_and_leaves_no_stray_result(
    harness: FakeHarness,
) -> None:
    cut = await harness.write("a", "INSERT sleep 5000", deadline_ms=50)
    assert (cut.refusal.verdict, cut.refusal.reason) == (Verdict.UNKNOWN, Reason.DEADLINE)
    replies = await asyncio.gather(*(harness.read("a") for _ in range(4)))
    assert [reply.refusal for reply in replies] == [None] * 4
    assert harness.backend.peak <= 2


async def test_error_of_the_back_end_keeps_its_code(harness: FakeHarness) -> None:
    reply = await harness.write("a", "INSERT fail")
    assert (reply.refusal.verdict, reply.refusal.code) == (Verdict.NOT_RUN, 1064)


async def test_repeat_after_a_lost_reply_gets_the_first_reply(harness: FakeHarness) -> None:
    request = harness.request("INSERT sleep 30", StatementKind.WRITE)
    first = asyncio.ensure_future(harness.call("a", request))
    await asyncio.sleep(0)
    joined = await harness.call(
        "a", harness.request(request.sql, request.kind, request=request.request, repeat=True)
    )
    later = await harness.call(
        "a", harness.request(request.sql, request.kind, request=request.request, repeat=True)
    )
    assert joined.position == later.position == (await first).position == Position(1, 1)
    assert len(harness.backend.executed) == 1


async def test_repeat_of_an_unknown_request_is_in_doubt(harness: FakeHarness) -> None:
    reply = await harness.write("a", repeat=True)
    assert reply.refusal.verdict is Verdict.UNKNOWN
    assert harness.backend.executed == []


async def test_caller_request_runs_once_and_returns_the_same_outcome(harness: FakeHarness) -> None:
    first = await harness.write("a", caller_request="stop-17")
    again = await harness.write("a", caller_request="stop-17")
    assert (first.affected_rows, first.last_insert_id) == (1, 7)
    assert (again.affected_rows, again.last_insert_id) == (1, 7)
    assert again.position >= first.position
    assert len(harness.backend.executed) == 1


async def test_caller_request_id_of_another_statement_is_refused(harness: FakeHarness) -> None:
    await harness.write("a", caller_request="stop-17")
    other = await harness.write("a", "INSERT 2", caller_request="stop-17")
    assert (other.refusal.verdict, other.refusal.reason) == (
        Verdict.RAN,
        Reason.DUPLICATE_REQUEST,
    )


async def test_large_result_is_fetched_in_portions(harness: FakeHarness) -> None:
    reply = await harness.read("a", "SELECT numbers")
    rows = list(reply.rows)
    while reply.more:
        reply = await harness.call("a", FetchRequest(reply.request, INSTANCE))
        rows.extend(reply.rows)
    assert [row[0] for row in rows] == list(range(2_000))
    assert (await harness.read("a")).refusal is None


async def test_slot_is_free_after_a_row_larger_than_a_portion(harness: FakeHarness) -> None:
    for _ in range(3):
        reply = await harness.read("a", "SELECT large", wait_ms=200)
        assert (reply.refusal, reply.more, len(reply.rows[0][0])) == (None, False, 2_000_000)


async def test_read_waits_for_a_replica_behind_the_floor(harness: FakeHarness) -> None:
    harness.backend.offset = 5
    await harness.become_replica("a", applied=3)
    behind = await harness.read("a", floor=Position(1, 4), wait_ms=20)
    assert behind.refusal.reason is Reason.REPLICA_BEHIND
    waiting = asyncio.ensure_future(harness.read("a", floor=Position(1, 4)))
    await asyncio.sleep(0.02)
    harness.backend.applied = 4
    assert (await waiting).refusal is None


async def test_stale_read_is_refused(harness: FakeHarness) -> None:
    await harness.become_replica("a", applied=0, lag_ms=5_000)
    reply = await harness.read("a", staleness_ms=1_000, wait_ms=20)
    assert reply.refusal.reason is Reason.REPLICA_BEHIND


async def test_write_needs_a_primary_of_the_term(harness: FakeHarness) -> None:
    stale = await harness.write("a", minimum_term=2, wait_ms=20)
    assert stale.refusal.reason is Reason.STALE_TERM
    harness.backend.role = "replica"
    replica = await harness.write("a")
    assert replica.refusal.verdict is Verdict.NOT_RUN


async def test_leaving_or_drained_back_end_gets_no_new_work(harness: FakeHarness) -> None:
    await harness.run("a", "BEGIN", StatementKind.BEGIN, transaction="t")
    harness.nodes[NodeId("a")].publish(ConfigurationChanged(harness.view(drain=True)))
    refused = await harness.read("a")
    assert refused.refusal.reason is Reason.LEAVING
    ended = await harness.run("a", "COMMIT", StatementKind.COMMIT, transaction="t")
    assert ended.refusal is None


async def test_positions_are_confirmed_in_shared_rounds(harness: FakeHarness) -> None:
    requests = (harness.call("a", PositionRequest(INSTANCE)) for _ in range(20))
    replies = await asyncio.gather(*requests)
    assert {reply.refusal for reply in replies} == {None}
    assert harness.backend.confirmations <= 2


async def test_handover_retains_a_transaction_and_keeps_the_limit(harness: FakeHarness) -> None:
    await harness.add("b")
    await harness.run("a", "BEGIN", StatementKind.BEGIN, transaction="t")
    harness.set_owners("b")
    await harness.wait_until_owned_by("b")
    replies = await asyncio.gather(*(harness.read("b", "SELECT sleep 10") for _ in range(4)))
    assert [reply.refusal for reply in replies] == [None] * 4
    committed = await harness.run("a", "COMMIT", StatementKind.COMMIT, transaction="t")
    assert committed.refusal is None
    assert harness.backend.peak <= 2


async def test_former_owner_forwards_requests_to_its_successor(harness: FakeHarness) -> None:
    await harness.add("b")
    harness.set_owners("b")
    await harness.wait_until_owned_by("b")
    written = await harness.write("a")
    assert (written.refusal, written.position) == (None, Position(1, 1))
    rows = await harness.read("a", "SELECT numbers")
    more = await harness.call("a", FetchRequest(rows.request, INSTANCE))
    assert more.rows[0] == (len(rows.rows),)
    subscribed = await harness.call("a", SubscribeRequest(INSTANCE))
    assert not subscribed.owned and subscribed.status.owner == "b"
    begun = await harness.run("a", "BEGIN", StatementKind.BEGIN, transaction="t")
    assert begun.refusal.reason is Reason.NOT_OWNER


async def test_node_that_is_refused_an_instance_forwards_requests_to_its_owner(
    harness: FakeHarness,
) -> None:
    await harness.add("b")
    best, other = ranked_owners(instance_key(INSTANCE), harness.nodes)
    harness.set_owners(best)
    await harness.wait_until_owned_by(best)
    harness.set_owners(other, seen_by=other)

    async def forwarded() -> bool:
        return (await harness.read(other)).refusal is None

    await wait_for(forwarded)
    assert (await harness.write(other)).refusal is None
    assert harness.backend.peak <= 2


async def test_unresponsive_holder_is_evicted_and_opens_no_more_connections(
    harness: FakeHarness,
) -> None:
    await harness.add("b")
    await asyncio.gather(*(harness.read("a", "SELECT sleep 10") for _ in range(2)))
    lost = harness.nodes.pop(NodeId("a"))
    for session in harness.backend.sessions.values():
        session.used_at -= 60.0
    harness.set_owners("b")
    await harness.wait_until_owned_by("b")
    busy = [asyncio.ensure_future(harness.read("b", "SELECT sleep 100")) for _ in range(2)]
    await wait_for(lambda: harness.has_sessions(2))
    late = (harness.request("SELECT 1", StatementKind.READ) for _ in range(4))
    stale = await asyncio.gather(*(lost.call("pool", request, 5.0) for request in late))
    assert {reply.refusal.verdict for reply in stale} == {Verdict.NOT_RUN}
    assert [reply.refusal for reply in await asyncio.gather(*busy)] == [None] * 2
    assert harness.backend.peak == 2
    await lost.stop()


async def test_planned_stop_hands_over_without_cutting_statements(harness: FakeHarness) -> None:
    await harness.add("b")
    running = asyncio.ensure_future(harness.write("a", "INSERT sleep 100"))
    await asyncio.sleep(0.03)
    harness.set_owners("b")
    await harness.nodes[NodeId("a")].drain()
    assert (await running).refusal is None
    await harness.wait_until_owned_by("b")
    assert (await harness.write("b")).refusal is None


# Guards against the cut of another node's statement: the drain of a node without a successor in its
# zone ended before the instance was released, and so before anything was known to be in use.
async def test_planned_stop_without_a_successor_waits_for_statements(harness: FakeHarness) -> None:
    running = asyncio.ensure_future(harness.write("a", "INSERT sleep 300"))
    await wait_for(harness.executes)
    await harness.nodes[NodeId("a")].drain()
    assert running.done()
    assert running.result().refusal is None
    assert (await harness.write("a")).refusal.reason is Reason.NOT_OWNER


# Guards against the cut of a statement that a former owner passed on: it uses no connection there.
async def test_planned_stop_waits_for_statements_passed_on(harness: FakeHarness) -> None:
    await harness.add("b")
    harness.set_owners("b")
    await harness.wait_until_owned_by("b")
    running = asyncio.ensure_future(harness.write("a", "INSERT sleep 300"))
    await wait_for(harness.executes)
    await harness.nodes[NodeId("a")].drain()
    assert running.done()
    assert running.result().refusal is None


# Guards against another node's transaction that goes on at the stopping owner to the end of the
# drain's bound, where a statement or the COMMIT of it is cut.
@pytest.mark.parametrize("kind", [StatementKind.WRITE, StatementKind.COMMIT])
async def test_planned_stop_ends_transactions_between_statements(kind: StatementKind) -> None:
    async with running_harness(FakeBackend(), StoppingHarness) as harness:
        await harness.run("a", "BEGIN", StatementKind.BEGIN, transaction="t")
        drain = asyncio.create_task(harness.nodes[NodeId("a")].drain())
        await asyncio.sleep(0)
        assert (await harness.write("a", transaction="t")).refusal is None
        await asyncio.wait_for(drain, 5)
        lost = await harness.run("a", kind.name, kind, transaction="t")
        assert lost.refusal.verdict is Verdict.NOT_RUN
        assert lost.refusal.reason is Reason.TRANSACTION_LOST
        assert harness.backend.offset == 0


# Guards against a transaction that is ended while a statement of it runs or its rows are fetched.
@pytest.mark.parametrize(
    ("sql", "kind"),
    [
        pytest.param("INSERT sleep 900", StatementKind.WRITE, id="it runs"),
        pytest.param("SELECT numbers", StatementKind.READ, id="its rows are fetched"),
    ],
)
async def test_planned_stop_ends_a_transaction_after_the_statement_in_progress(
    sql: str, kind: StatementKind
) -> None:
    async with running_harness(FakeBackend(), StoppingHarness) as harness:
        await harness.run("a", "BEGIN", StatementKind.BEGIN, transaction="t")
        running = asyncio.ensure_future(harness.run("a", sql, kind, transaction="t"))
        await wait_for(harness.executes)
        drain = asyncio.create_task(harness.nodes[NodeId("a")].drain())
        await asyncio.sleep(StoppingHarness.drain_seconds)
        assert not drain.done()
        reply = await running
        while reply.more:
            reply = await harness.call("a", FetchRequest(reply.request, INSTANCE))
            assert reply.refusal is None
        await asyncio.wait_for(drain, 5)
        commit = await harness.run("a", "COMMIT", StatementKind.COMMIT, transaction="t")
        assert commit.refusal.verdict is Verdict.NOT_RUN


async def test_instance_removed_from_the_configuration_is_given_up(harness: FakeHarness) -> None:
    await harness.read("a")
    harness.nodes[NodeId("a")].publish(ConfigurationChanged(ConfigurationView(2)))
    await wait_for(lambda: harness.has_sessions(0))
    assert (await harness.read("a")).refusal.reason is Reason.NOT_OWNER
    assert harness.backend.lock_holder is None


async def test_abandoned_session_ends_its_reads_and_not_its_writes(harness: FakeHarness) -> None:
    read = asyncio.ensure_future(harness.read("a", "SELECT sleep 5000"))
    write = asyncio.ensure_future(harness.write("a", "INSERT sleep 50"))
    await asyncio.sleep(0.03)
    await harness.call("a", AbandonRequest("s", INSTANCE))
    assert (await read).refusal.verdict is Verdict.NOT_RUN
    assert (await write).refusal is None
    assert (await harness.read("a")).refusal is None


async def test_lock_taken_by_a_callers_statement_is_reclaimed(harness: FakeHarness) -> None:
    await harness.run("a", "BEGIN", StatementKind.BEGIN, transaction="t")
    (session,) = harness.backend.slot_sessions()
    control = harness.backend.lock_holder
    harness.backend.lock_holder = session.id
    harness.backend.server.kill(control, False)

    async def reclaimed() -> bool:
        return harness.backend.lock_holder not in (None, session.id, control)

    await wait_for(reclaimed)
    await harness.wait_until_owned_by("a")
    assert (await harness.read("a")).refusal is None


async def test_read_waits_while_the_back_end_is_full(harness: FakeHarness) -> None:
    address = harness.backend.server.address
    stray = await BackendConnection.connect(address, "bramblebeam", "")
    harness.backend.maximum_user_connections = 1
    waiting = asyncio.ensure_future(harness.read("a"))
    await asyncio.sleep(0.02)
    assert not waiting.done()
    await stray.close()
    assert (await waiting).refusal is None


async def test_restarted_service_claims_its_instances_again(harness: FakeHarness) -> None:
    first = harness.backend.lock_holder
    harness.nodes[NodeId("a")].report_failure("pool", RuntimeError("fault"))

    async def claimed_again() -> bool:
        return harness.backend.lock_holder not in (None, first)

    await wait_for(claimed_again)
    await harness.wait_until_owned_by("a")
    assert (await harness.read("a")).refusal is None


async def test_read_that_waits_for_a_status_ends_with_the_control_connection(
    harness: FakeHarness,
) -> None:
    await harness.become_replica("a", applied=0, lag_ms=5_000)
    waiting = asyncio.ensure_future(harness.read("a", staleness_ms=1_000, wait_ms=2_000))
    await asyncio.sleep(0.05)
    harness.backend.server.kill(harness.backend.lock_holder, False)
    assert (await waiting).refusal.verdict is Verdict.NOT_RUN
    await harness.wait_until_owned_by("a")


async def test_use_of_an_unused_instance_refreshes_its_status(
    harness: FakeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(status_module, "UNUSED_AFTER", 0.0)
    monkeypatch.setattr(status_module, "UNUSED_POLL_INTERVAL", 3_600.0)
    await harness.read("a")
    harness.backend.leaving = True

    async def leaving() -> bool:
        status = (await harness.call("a", SubscribeRequest(INSTANCE))).status
        return status is not None and bool(status.leaving)

    await wait_for(leaving)
