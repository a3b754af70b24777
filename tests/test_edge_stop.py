"""What callers of a node get while it stops as planned, with real MySQL clients and a fake pool."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pymysql
import pytest

from bramblebeam.core.statement import ExecuteReply
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.edges.mysql.connection import Interruption
from bramblebeam.edges.mysql.stream import PacketStream
from bramblebeam.services.edge.drain import DrainPhase, EdgeDrain
from edge_harness import HELD, Harness, start_harness

DRAIN_SECONDS = 1.2
"""The node's bound; transactions have its first half."""
ARRIVALS_OVER = 0.35
"""Time after the stop signal at which new statements are refused (seconds)."""
DONE = "done"
NOT_RUN, MAY_HAVE_RUN = "not run", "may have run"
UNREAD_BYTES = 64 * 1024 * 1024
"""Output that doesn't fit into the buffers of the system."""
WAITS = Refusal(Verdict.NOT_RUN, Reason.STALE_TERM)
"""Reply after which the edge waits for another primary."""


@asynccontextmanager
async def stopping_harness() -> AsyncIterator[Harness]:
    harness = await start_harness(queue_wait_ms=5_000, drain_seconds=DRAIN_SECONDS)
    try:
        yield harness
    finally:
        harness.pool.may_fetch.set()
        await harness.kernel.stop()


def query(connection: Any, sql: str) -> Any:
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return cursor.fetchall()


def outcome(connection: Any, sql: str) -> str:
    """Return the rows of a statement, `DONE` if it has none, or its error's text."""
    try:
        return str(query(connection, sql) or DONE)
    except pymysql.MySQLError as error:
        return str(error.args[1])


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


# Guards against a cut that says nothing: a statement that another node ran, or that waited, when
# the drain's bound was over got MySQL's 1053, though it may have run.
@pytest.mark.parametrize(
    ("begin", "sql", "reply", "verdict"),
    [
        pytest.param(False, "SELECT value FROM t", HELD, NOT_RUN, id="a read"),
        pytest.param(False, "INSERT INTO t VALUES (1)", HELD, MAY_HAVE_RUN, id="a write"),
        pytest.param(False, "INSERT INTO t VALUES (1)", WAITS, NOT_RUN, id="a write that waits"),
        pytest.param(False, "BEGIN", HELD, NOT_RUN, id="a BEGIN"),
        pytest.param(True, "UPDATE t SET value = 1", HELD, NOT_RUN, id="within a transaction"),
        pytest.param(True, "COMMIT", HELD, MAY_HAVE_RUN, id="a COMMIT"),
    ],
)
async def test_a_statement_that_the_stop_cuts_gets_a_verdict(
    begin: bool, sql: str, reply: Any, verdict: str
) -> None:
    async with stopping_harness() as harness:
        connection = await harness.run(harness.connect)
        if begin:
            await harness.run(query, connection, "BEGIN")
        sent = len(harness.pool.requests)
        harness.pool.script = [reply]
        running = asyncio.create_task(harness.run(outcome, connection, sql))
        await until(lambda: len(harness.pool.requests) > sent)
        await harness.kernel.stop()
        assert verdict in await running


# Guards against an answer that is cut in its rows: a result of several parts counted as ended once
# its first part had come, so the drain ended and the connection was closed.
async def test_an_answer_is_given_whole_before_the_drain_ends() -> None:
    def first_part(request: Any) -> ExecuteReply:
        reply = harness.pool._run(request)
        return ExecuteReply(reply.request, columns=reply.columns, rows=(("head",),), more=True)

    async with stopping_harness() as harness:
        connection = await harness.run(harness.connect)
        harness.pool.may_fetch.clear()
        harness.pool.script = [first_part]
        running = asyncio.create_task(harness.run(outcome, connection, "SELECT value FROM t"))
        await until(lambda: bool(harness.pool.fetches))
        drain = asyncio.create_task(harness.kernel.drain())
        await asyncio.sleep(ARRIVALS_OVER)
        assert not drain.done()
        harness.pool.may_fetch.set()
        await asyncio.wait_for(drain, 5)
        await harness.kernel.stop()
        assert await running == str((("head",), ("row 1",), ("row 2",), ("row 3",)))


# Guards against an answer whose end is lost with the process, as its client reads slowly.
async def test_the_drain_waits_until_answers_have_left_the_process() -> None:
    async with stopping_harness() as harness:
        connection = await harness.run(harness.connect)
        assert harness.edge._server is not None
        (served,) = harness.edge._server._connections.values()
        served._stream.write_frames(bytes(UNREAD_BYTES), 1)
        served._stream.flush()
        drain = asyncio.create_task(harness.kernel.drain())
        await asyncio.sleep(ARRIVALS_OVER)
        assert not drain.done()
        await harness.run(connection._rfile.read, UNREAD_BYTES)
        await asyncio.wait_for(drain, 5)


# Guards against a transaction that goes on to the end of the drain's bound, where a statement or
# the COMMIT of it is cut.
@pytest.mark.parametrize("last", ["UPDATE t SET value = 2", "COMMIT", "SET autocommit = 1"])
async def test_a_transaction_ends_between_statements_after_the_first_half(last: str) -> None:
    async with stopping_harness() as harness:
        connection = await harness.run(lambda: harness.connect(autocommit=False))
        await harness.run(query, connection, "UPDATE t SET value = 1")
        drain = asyncio.create_task(harness.kernel.drain())
        await asyncio.sleep(ARRIVALS_OVER)
        written = len(harness.pool.log)
        assert await harness.run(outcome, connection, "UPDATE t SET value = 2") == DONE
        await asyncio.wait_for(harness.pool.was_abandoned.wait(), 5)
        assert NOT_RUN in await harness.run(outcome, connection, last)
        assert len(harness.pool.log) == written + 1, "only the statement of the first half"
        assert await harness.run(outcome, connection, "ROLLBACK") == DONE
        await asyncio.wait_for(drain, 5)


async def test_a_rollback_after_the_first_half_succeeds() -> None:
    async with stopping_harness() as harness:
        connection = await harness.run(harness.connect)
        await harness.run(query, connection, "BEGIN")
        await asyncio.wait_for(harness.kernel.drain(), 5)
        assert await harness.run(outcome, connection, "ROLLBACK") == DONE
        assert NOT_RUN in await harness.run(outcome, connection, "SELECT value FROM t")


# Guards against a transaction that is ended while a statement of it runs.
@pytest.mark.parametrize("sql", ["UPDATE t SET value = 1", "COMMIT"])
async def test_a_statement_that_runs_at_the_half_gets_its_answer(sql: str) -> None:
    async with stopping_harness() as harness:
        connection = await harness.run(harness.connect)
        await harness.run(query, connection, "BEGIN")
        harness.pool.script = [HELD]
        running = asyncio.create_task(harness.run(outcome, connection, sql))
        await until(lambda: bool(harness.pool.held))
        drain = asyncio.create_task(harness.kernel.drain())
        await asyncio.sleep(DRAIN_SECONDS)
        assert not drain.done()
        assert not harness.pool.abandoned
        harness.pool.answer_held()
        assert await running == DONE
        await asyncio.wait_for(drain, 5)
        assert bool(harness.pool.abandoned) is (sql != "COMMIT")


class CountedCaller:
    """A caller that counts how often the drain looks at it."""

    in_transaction = False
    looks = 0

    def __init__(self, answering: bool) -> None:
        self._answering = answering

    @property
    def answering(self) -> bool:
        CountedCaller.looks += 1
        return self._answering

    def end_transaction(self) -> None:
        return


# Guards against a stopping node that is busy looking at all its callers for each one it refuses.
async def test_refusals_do_not_look_at_every_caller(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CountedCaller, "looks", 0)
    resting = [CountedCaller(answering=False) for _ in range(1_000)]
    drain = EdgeDrain({CountedCaller(answering=True), *resting}, transaction_seconds=10.0)
    drain.phase = DrainPhase.TRANSACTIONS
    for caller in resting:
        drain.check(caller)
    assert CountedCaller.looks <= 3 * len(resting)


async def test_a_new_statement_is_refused_with_the_hint_to_another_node() -> None:
    async with stopping_harness() as harness:
        connection = await harness.run(harness.connect)
        await asyncio.wait_for(harness.kernel.drain(), 5)
        text = await harness.run(outcome, connection, "INSERT INTO t VALUES (1)")
        assert NOT_RUN in text
        assert "connect to another node" in text
        assert not harness.pool.log


# Guards against a statement that arrives in the moment of the stop and gets no answer of its own.
async def test_a_statement_received_and_not_begun_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with stopping_harness() as harness:
        connection = await harness.run(harness.connect)
        assert harness.edge._server is not None
        (served,) = harness.edge._server._connections.values()
        receive = PacketStream.buffer_updated

        def receive_and_stop(stream: PacketStream, nbytes: int) -> None:
            receive(stream, nbytes)
            if stream is served._stream:
                served.interrupt(Interruption.SERVER_STOPPED)

        monkeypatch.setattr(PacketStream, "buffer_updated", receive_and_stop)
        assert NOT_RUN in await harness.run(outcome, connection, "INSERT INTO t VALUES (1)")
        assert not harness.pool.log
