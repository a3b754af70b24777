"""The edge with real MySQL clients and an in-memory fake pool."""

import asyncio
from typing import Any

import pymysql
import pytest
import pytest_asyncio

from bramblebeam.core.statement import ExecuteReply, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.edges.mysql.server import ConnectionInfo
from bramblebeam.services.edge.caller import Caller
from bramblebeam.services.edge.drain import DRAIN_GRACE_SECONDS
from bramblebeam.services.edge.messages import EdgeStatusRequest
from bramblebeam.services.transport.messages import PeerFailure
from bramblebeam.settings.model import ClientSettings
from edge_harness import GROUP, R1, R2, Harness, P, start_harness


@pytest_asyncio.fixture
async def harness() -> Any:
    made = await start_harness(queue_wait_ms=400)
    yield made
    await made.kernel.stop()


def query(connection: Any, sql: str) -> Any:
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return cursor.fetchall()


def error_of(connection: Any, sql: str) -> tuple[int, str]:
    with pytest.raises(pymysql.MySQLError) as caught:
        query(connection, sql)
    return caught.value.args[0], caught.value.args[1]


async def test_write_goes_to_the_primary_and_the_read_sees_it(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        query(connection, "INSERT INTO t VALUES (1)")
        return query(connection, "SELECT value FROM t")

    assert await harness.run(work) == (("INSERT INTO t VALUES (1)",),)
    write, *reads = harness.pool.requests
    assert (write.instance, write.kind) == (P, StatementKind.WRITE)
    assert {read.floor.offset for read in reads} == {1}
    assert reads[-1].instance == P, "both replicas are behind"


async def test_reads_go_to_replicas_that_caught_up(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        query(connection, "INSERT INTO t VALUES (1)")
        harness.pool.catch_up()
        return [query(connection, "SELECT value FROM t") for _ in range(5)]

    assert await harness.run(work) == [(("INSERT INTO t VALUES (1)",),)] * 5
    assert {request.instance for request in harness.pool.requests[1:]} <= {R1, R2}
    counters = await harness.kernel.call("edge", EdgeStatusRequest(), 5.0)
    assert (counters.connections, counters.in_flight, counters.statements) == (0, 0, 6)


async def test_named_session_without_token_has_its_floor_confirmed(harness: Harness) -> None:
    def work() -> Any:
        first = harness.connect({"bramblebeam_session": "driver-7"})
        second = harness.connect({"bramblebeam_session": "driver-7"})
        query(second, "SELECT value FROM t")
        query(first, "INSERT INTO t VALUES (2)")
        return query(second, "SELECT value FROM t")

    assert await harness.run(work) == (("INSERT INTO t VALUES (2)",),)
    assert harness.pool.confirmations >= 2


async def test_session_can_be_named_after_connecting(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        query(connection, "SET bramblebeam_session = 'driver-7'")
        query(connection, "SELECT value FROM t")
        with pytest.raises(pymysql.MySQLError):
            query(connection, f"SET bramblebeam_session = '{'x' * 129}'")
        return query(connection, "SELECT @@bramblebeam_session")

    assert await harness.run(work) == (("driver-7",),)
    assert harness.pool.confirmations == 1


async def test_carried_token_sets_the_floor_without_a_position_request(harness: Harness) -> None:
    def work() -> Any:
        first = harness.connect({"bramblebeam_session": "driver-7"})
        query(first, "INSERT INTO t VALUES (3)")
        token = query(first, "SELECT @@bramblebeam_token")[0][0]
        attributes = {"bramblebeam_session": "driver-7", "bramblebeam_token": token}
        second = harness.connect(attributes)
        third = harness.connect()
        query(third, f"SET bramblebeam_token = '{token}'")
        return query(second, "SELECT value FROM t"), query(third, "SELECT value FROM t")

    rows = (("INSERT INTO t VALUES (3)",),)
    assert await harness.run(work) == (rows, rows)
    assert harness.pool.confirmations == 0


async def test_transaction_is_pinned_and_flagged(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        flags = [bool(connection.server_status & 1)]
        for sql in ("BEGIN", "SELECT value FROM t", "UPDATE t SET value = 1", "COMMIT"):
            query(connection, sql)
            flags.append(bool(connection.server_status & 1))
        return flags

    assert await harness.run(work) == [False, True, True, True, False]
    names = {request.transaction for request in harness.pool.requests}
    assert len(names) == 1 and "" not in names
    assert {request.instance for request in harness.pool.requests} == {P}


async def test_autocommit_off_opens_a_transaction(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect(autocommit=False)
        query(connection, "UPDATE t SET value = 1")
        in_transaction = bool(connection.server_status & 1)
        connection.rollback()
        return in_transaction, bool(connection.server_status & 1)

    assert await harness.run(work) == (True, False)
    kinds = [request.kind for request in harness.pool.requests]
    assert kinds == [StatementKind.BEGIN, StatementKind.WRITE, StatementKind.ROLLBACK]


async def test_transaction_of_a_disconnected_caller_is_abandoned(harness: Harness) -> None:
    def work() -> None:
        connection = harness.connect()
        query(connection, "BEGIN")
        connection._force_close()

    await harness.run(work)
    await asyncio.wait_for(harness.pool.was_abandoned.wait(), 5)
    assert harness.pool.abandoned[0].session == harness.pool.requests[0].request.session


async def test_lost_reply_is_requested_again_and_the_write_runs_once(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        harness.pool.script = [PeerFailure(sent=True, detail="lost")]
        query(connection, "INSERT INTO t VALUES (4)")

    await harness.run(work)
    first, second = harness.pool.requests
    assert first.request == second.request and second.repeat
    assert harness.pool.log == ["INSERT INTO t VALUES (4)"]


async def test_write_without_a_stored_reply_is_unknown(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        harness.pool.script = [lambda request: PeerFailure(sent=True, detail="lost")]
        return error_of(connection, "INSERT INTO t VALUES (5)")

    code, text = await harness.run(work)
    assert code == 9312 and "may have run" in text and "not run" not in text
    assert len(harness.pool.requests) == 2


async def test_overload_is_refused_at_once_with_a_retry_delay(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        refusal = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, retry_after_ms=250)
        harness.pool.script = [refusal]
        return error_of(connection, "INSERT INTO t VALUES (6)")

    code, text = await harness.run(work)
    assert code == 9101 and "not run" in text and "retry after 250 ms" in text
    assert len(harness.pool.requests) == 1


async def test_backend_error_keeps_its_code(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        refusal = Refusal(
            Verdict.NOT_RUN, Reason.BACKEND_ERROR, "Duplicate entry", code=1062, sqlstate="23000"
        )
        harness.pool.script = [refusal]
        return error_of(connection, "INSERT INTO t VALUES (7)")

    assert await harness.run(work) == (1062, "Duplicate entry")


async def test_write_without_a_majority_is_unknown(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        refusal = Refusal(Verdict.UNKNOWN, Reason.BACKEND_ERROR, "no majority", code=3102)
        harness.pool.script = [refusal]
        lost = error_of(connection, "INSERT INTO t VALUES (7)")
        query(connection, "SELECT value FROM t")
        return lost

    code, text = await harness.run(work)
    assert code == 9315 and "may have run" in text
    assert harness.pool.confirmations == 1, "the next read must see the write if it ran"


async def test_reply_of_a_replaced_primary_is_not_relayed(harness: Harness) -> None:
    def replaced(request: Any) -> ExecuteReply:
        reply = harness.pool._run(request)
        harness.edge.directory.observe_term(GROUP, 9)
        return reply

    def work() -> Any:
        connection = harness.connect()
        harness.pool.script = [replaced]
        return error_of(connection, "INSERT INTO t VALUES (8)")

    code, text = await harness.run(work)
    assert code == 9305 and "may have run" in text


async def test_lost_statement_ends_its_transaction_as_not_run(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        query(connection, "BEGIN")
        harness.pool.script = [Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST)]
        lost = error_of(connection, "UPDATE t SET value = 1")
        return lost, bool(connection.server_status & 1), query(connection, "SELECT value FROM t")

    (code, text), _, rows = await harness.run(work)
    assert code == 9113 and "not run" in text
    assert len(rows) == 1
    assert harness.pool.abandoned


async def test_commit_in_doubt_is_unknown(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        query(connection, "BEGIN")
        query(connection, "UPDATE t SET value = 1")
        harness.pool.script = [lambda request: PeerFailure(sent=True, detail="lost")]
        return error_of(connection, "COMMIT")

    code, _ = await harness.run(work)
    assert code == 9312


async def test_write_is_held_during_a_change_of_primary(harness: Harness) -> None:
    def change(request: Any) -> ExecuteReply:
        harness.pool.primary, harness.pool.term = R1, 2
        return harness.pool._run(request)

    def work() -> None:
        connection = harness.connect()
        harness.pool.script = [change]
        query(connection, "INSERT INTO t VALUES (9)")

    await harness.run(work)
    assert [request.instance for request in harness.pool.requests] == [P, R1]
    assert harness.pool.log == ["INSERT INTO t VALUES (9)"]


async def test_without_a_primary_a_write_is_refused_after_the_queue_wait(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        harness.pool.primary = ""
        harness.pool.term = 2
        return error_of(connection, "INSERT INTO t VALUES (10)")

    code, text = await harness.run(work)
    assert 9100 <= code < 9200 and "not run" in text and "retry after" in text
    assert harness.pool.log == []


async def test_large_result_is_fetched_in_parts(harness: Harness) -> None:
    def large(request: Any) -> ExecuteReply:
        reply = harness.pool._reply(request)
        return ExecuteReply(reply.request, columns=reply.columns, rows=(("head",),), more=True)

    def work() -> Any:
        connection = harness.connect()
        harness.pool.script = [large]
        return query(connection, "SELECT value FROM t")

    rows = await harness.run(work)
    assert rows == (("head",), ("row 1",), ("row 2",), ("row 3",))


async def test_local_statements_use_no_back_end(harness: Harness) -> None:
    def work() -> Any:
        connection = harness.connect()
        query(connection, "SET NAMES utf8mb4")
        return query(connection, "SELECT @@autocommit AS a, DATABASE(), @@version_comment")

    assert await harness.run(work) == ((1, "shop", "bramblebeam"),)
    assert harness.pool.requests == []


@pytest.mark.parametrize(
    ("sql", "code"),
    [
        ("SELECT GET_LOCK('a', 1)", 9118),
        ("SELECT 1; SELECT 2", 9118),
        ("LOCK TABLES t READ", 9118),
        ("SET @x = 1", 1235),
        ("SET sql_mode = ''", 1235),
        ("USE elsewhere", 1049),
        ("INSERT INTO t SELECT LAST_INSERT_ID()", 9118),
        ("/* bramblebeam_request=two words */ INSERT INTO t VALUES (1)", 9118),
    ],
)
async def test_unsupported_statements_are_refused(harness: Harness, sql: str, code: int) -> None:
    def work() -> Any:
        return error_of(harness.connect(), sql)

    assert (await harness.run(work))[0] == code
    assert harness.pool.requests == []


async def test_connections_above_the_limit_are_rejected() -> None:
    harness = await start_harness(ClientSettings(maximum_connections=1))
    try:

        def work() -> int:
            first = harness.connect()
            with pytest.raises(pymysql.MySQLError) as caught:
                harness.connect()
            first.close()
            return int(caught.value.args[0])

        assert await harness.run(work) == 9110
    finally:
        await harness.kernel.stop()


async def test_change_of_user_keeps_no_state_of_the_former_user(harness: Harness) -> None:
    caller = Caller(harness.edge)
    attributes = {"bramblebeam_session": "driver-7", "bramblebeam_token": "shop=1.9"}
    await caller.opened(ConnectionInfo(1, "app", "shop", attributes, "r"))
    await caller.execute("SET autocommit = 0", {})
    former = caller.session.identifier
    await caller.closed()
    await caller.opened(ConnectionInfo(1, "other", "shop", {}, "r"))
    assert caller.session.identifier != former
    assert (caller.session.service, caller.session.roaming_name) == ("other", "")
    assert caller.session.token.encode() == "" and caller.session.autocommit
    await caller.closed()
    counters = await harness.kernel.call("edge", EdgeStatusRequest(), 5.0)
    assert counters.connections == 0


async def test_statements_above_the_limit_are_refused_at_once() -> None:
    harness = await start_harness(ClientSettings(maximum_in_flight=1))
    try:
        connection = await harness.run(harness.connect)
        harness.edge.begin_statement(in_transaction=False)
        code, text = await harness.run(error_of, connection, "INSERT INTO t VALUES (1)")
        assert code == 9101 and "not run" in text
        harness.edge.end_statement()
        await harness.run(query, connection, "INSERT INTO t VALUES (1)")
        assert len(harness.pool.log) == 1
    finally:
        await harness.kernel.stop()


async def test_caller_request_id_is_sent_with_a_write(harness: Harness) -> None:
    def work() -> None:
        connection = harness.connect()
        query(connection, "/* bramblebeam_request=stop-17 */ INSERT INTO t VALUES (1)")

    await harness.run(work)
    assert harness.pool.requests[0].caller_request == "stop-17"


async def test_planned_stop_lets_a_transaction_end(harness: Harness) -> None:
    connection = await harness.run(harness.connect)
    idle = await harness.run(harness.connect)
    await harness.run(query, connection, "BEGIN")
    drain = asyncio.create_task(harness.kernel.drain())
    await asyncio.sleep(0)
    await harness.run(query, idle, "SELECT value FROM t")
    await asyncio.sleep(2 * DRAIN_GRACE_SECONDS)
    code, text = await harness.run(error_of, idle, "SELECT value FROM t")
    assert code == 9117 and "not run" in text
    assert not drain.done()
    await harness.run(query, connection, "COMMIT")
    await asyncio.wait_for(drain, 5)
    assert len(harness.pool.log) == 1
