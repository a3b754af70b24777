"""The pool service against the lab's stand-in database."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from bramblebeam.core.identity import NodeId
from bramblebeam.core.statement import PositionRequest, StatementKind, SubscribeRequest
from bramblebeam.core.verdict import Reason, Verdict
from bramblebeam.edges.backend import BackendConnection
from bramblebeam.lab.database.member import DatabaseMember, MemberSettings
from pool_harness import INSTANCE, Harness, wait_for

SLOTS = 2


class DatabaseHarness(Harness):
    """Nodes that share a group of one member, its primary."""

    member: DatabaseMember

    @property
    def peak(self) -> int:
        return self.member.journal.highest_of_user["bramblebeam"]


@pytest.fixture
async def harness() -> AsyncIterator[DatabaseHarness]:
    member = DatabaseMember(MemberSettings(INSTANCE))
    await member.start()
    control = await BackendConnection.connect(member.address, "bramblebeam_control", "")
    await control.execute("CALL bramblebeam.promise(1)")
    members = f"{INSTANCE}={member.address.host}:{member.address.port}"
    await control.execute(f"CALL bramblebeam.promote(1, '{members}')")
    harness = DatabaseHarness(member.address.port)
    harness.member = member
    harness.slots = SLOTS
    for name in ("a", "b"):
        await harness.add(name)
    harness.set_owners("a")
    await harness.wait_until_owned_by("a")
    created = await harness.write("a", "CREATE TABLE stops (id INTEGER PRIMARY KEY, state TEXT)")
    assert created.refusal is None
    yield harness
    for kernel in harness.nodes.values():
        await kernel.stop()
    await control.close()
    await member.stop()


async def test_session_reads_what_it_wrote(harness: DatabaseHarness) -> None:
    written = await harness.write("a", "INSERT INTO stops VALUES (1, 'done')")
    assert written.affected_rows == 1
    read = await harness.read("a", "SELECT state FROM stops", floor=written.position)
    assert read.rows == (("done",),)
    assert read.position >= written.position


async def test_position_is_confirmed(harness: DatabaseHarness) -> None:
    written = await harness.write("a", "INSERT INTO stops VALUES (1, 'done')")
    reply = await harness.call("a", PositionRequest(INSTANCE))
    assert reply.position >= written.position


async def test_rolled_back_transaction_leaves_nothing(harness: DatabaseHarness) -> None:
    await harness.run("a", "BEGIN", StatementKind.BEGIN, transaction="t")
    await harness.write("a", "INSERT INTO stops VALUES (1, 'done')", transaction="t")
    ended = await harness.run("a", "ROLLBACK", StatementKind.ROLLBACK, transaction="t")
    assert not ended.in_transaction
    assert (await harness.read("a", "SELECT * FROM stops")).rows == ()


async def test_caller_request_survives_a_change_of_owner(harness: DatabaseHarness) -> None:
    sql = "INSERT INTO stops VALUES (1, 'done')"
    first = await harness.write("a", sql, caller_request="stop-17")
    assert first.refusal is None
    harness.set_owners("b")
    await harness.wait_until_owned_by("b")
    again = await harness.write("b", sql, caller_request="stop-17")
    assert (again.refusal, again.affected_rows) == (None, 1)
    assert again.position >= first.position
    other = await harness.write("b", "DELETE FROM stops", caller_request="stop-17")
    assert other.refusal.verdict is Verdict.RAN
    assert len((await harness.read("b", "SELECT * FROM stops")).rows) == 1


async def test_caller_request_sent_twice_at_once_runs_once(harness: DatabaseHarness) -> None:
    await harness.write("a", "INSERT INTO stops VALUES (1, 'x')", caller_request="stop-1")
    sql = "UPDATE stops SET state = CONCAT(state, 'y')"
    replies = await asyncio.gather(
        *(harness.write("a", sql, caller_request="stop-2") for _ in range(4))
    )
    assert [reply.refusal for reply in replies] == [None] * 4
    assert (await harness.read("a", "SELECT state FROM stops")).rows == (("xy",),)


async def test_failed_write_with_a_request_id_may_be_sent_again(harness: DatabaseHarness) -> None:
    failed = await harness.write("a", "INSERT INTO nothing VALUES (1)", caller_request="stop-3")
    assert failed.refusal.verdict is Verdict.NOT_RUN
    again = await harness.write("a", "INSERT INTO stops VALUES (3, '')", caller_request="stop-3")
    assert again.refusal is None


async def test_cut_off_back_end_is_refused_as_unreachable(harness: DatabaseHarness) -> None:
    running = asyncio.ensure_future(harness.read("a", "SELECT SLEEP(0.1)"))
    await asyncio.sleep(0.02)
    harness.member.reachable.clear()

    async def unreachable() -> bool:
        status = (await harness.call("a", SubscribeRequest(INSTANCE))).status
        return status is not None and not status.reachable

    await wait_for(unreachable)
    refused = await harness.read("a", "SELECT 1")
    assert refused.refusal.reason is Reason.UNREACHABLE
    assert (await running).refusal.verdict is Verdict.NOT_RUN
    harness.member.reachable.set()
    await wait_for(lambda: harness.serves("a"))


async def test_repeated_handovers_keep_the_slot_limit_and_cut_no_statement(
    harness: DatabaseHarness,
) -> None:
    refusals = []

    async def load(stop: asyncio.Event) -> None:
        while not stop.is_set():
            for node in ("a", "b"):
                reply = await harness.read(node, "SELECT SLEEP(0.002)", wait_ms=200)
                if reply.refusal is not None:
                    refusals.append(reply.refusal)

    stop = asyncio.Event()
    loads = [asyncio.ensure_future(load(stop)) for _ in range(6)]
    for number in range(10):
        owner = "ab"[number % 2]
        harness.set_owners(owner)
        await harness.wait_until_owned_by(owner)
    stop.set()
    await asyncio.gather(*loads)
    assert harness.peak <= SLOTS
    assert {refusal.verdict for refusal in refusals} <= {Verdict.NOT_RUN}
    allowed = {Reason.NOT_OWNER, Reason.QUEUE_TIMEOUT}
    assert [refusal for refusal in refusals if refusal.reason not in allowed] == []
    assert NodeId("a") in harness.nodes


async def test_rows_of_old_caller_requests_are_cleared(harness: DatabaseHarness) -> None:
    await harness.write("a", "INSERT INTO stops VALUES (1, '')", caller_request="new")
    await harness.write("a", "INSERT INTO bramblebeam_requests VALUES ('old', 'x', 0, 0, 1)")

    async def cleared() -> bool:
        left = await harness.read("a", "SELECT id FROM bramblebeam_requests")
        return left.rows == (("new",),)

    await wait_for(cleared)
