"""The process soak: its judge and parts, and a short run of each listed seed."""

import asyncio
import signal
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest

from bramblebeam.core.tenants import RateLimit
from platform_standins.group import LineGroup
from platform_standins.proxy import Direction
from platform_standins.records import (
    CommitRecord,
    Entry,
    PromotionRecord,
    RunRecord,
    Spans,
    WorkRecord,
    holds,
    spans_of,
)
from platform_standins.world import WAIT_TIMEOUT, LineClient, until
from soak import node_process
from soak.change_faults import CHANGE_FAULTS
from soak.config_probe import Served, regressions
from soak.copy_faults import COPY_FAULTS
from soak.history import NO_ANSWER, NOT_COMMITTED, Attempt, Kind, Statement
from soak.judge import Judge
from soak.links import open_link
from soak.node_process import NodeProcess, StopRecord
from soak.owed import Logs
from soak.process_run import cut_by_planned_work, run
from soak.stop_judge import Stalls, StopRecords, judge_stops
from soak.tenants import HOT, USUAL_KEY
from soak.tenants import problems as limit_problems

ROWS = tomllib.loads((Path(__file__).parent / "soak_seeds.toml").read_text())["processes"]
RESTORE_ROWS = tomllib.loads((Path(__file__).parent / "soak_seeds.toml").read_text())["restores"]
COPY_ROWS = tomllib.loads((Path(__file__).parent / "soak_seeds.toml").read_text())["copies"]
CHANGE_ROWS = tomllib.loads((Path(__file__).parent / "soak_seeds.toml").read_text())["changes"]
STOP_ROWS = tomllib.loads((Path(__file__).parent / "soak_seeds.toml").read_text())["stops"]
TENANT_ROWS = tomllib.loads((Path(__file__).parent / "soak_seeds.toml").read_text())["tenants"]
SECONDS = 5.0


async def test_a_signal_to_a_process_that_has_just_ended_does_not_hide_its_exit_code(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a planned stop that is reported as an exit with 255."""
    launcher = tmp_path / "launcher.py"
    launcher.write_text("")
    monkeypatch.setattr(node_process, "LAUNCHER", launcher)
    wait = asyncio.ThreadedChildWatcher._do_waitpid

    def wait_late(watcher: Any, *arguments: Any) -> None:
        time.sleep(1.0)
        wait(watcher, *arguments)

    monkeypatch.setattr(asyncio.ThreadedChildWatcher, "_do_waitpid", wait_late)
    node = NodeProcess(tmp_path, "node-0", {})
    await node.start()
    while not node.exits:
        node.send(signal.SIGTERM)
        await asyncio.sleep(0.01)
    assert node.exits[0].code in (0, -signal.SIGTERM)


def logged(*terms: int) -> list[Entry]:
    return [Entry(term, (("w", str(number)),)) for number, term in enumerate(terms)]


def test_spans_of_a_log() -> None:
    assert spans_of([]) == ()
    assert spans_of(logged(1, 1, 3)) == ((1, 2), (3, 3))


@pytest.mark.parametrize(
    ("term", "number", "expected"),
    [(1, 1, True), (1, 2, True), (1, 3, False), (3, 3, True), (3, 2, False), (2, 3, False)],
)
def test_spans_hold_a_commit(term: int, number: int, expected: bool) -> None:
    assert holds(((1, 2), (3, 3)), term, number) is expected


def write(number: int, sent: int, session: int = 1, code: str = "", at: float = 9.0) -> Attempt:
    return attempt(Kind.WRITE, number, f"id{number}", sent, session, "session", code, at)


def read(route: str = "session", sent: int = 50, session: int = 1, at: float = 10.0) -> Attempt:
    return attempt(Kind.READ, 1, "read", sent, session, route, "", at)


def attempt(
    kind: Kind,
    number: int,
    identifier: str,
    sent: int,
    session: int,
    route: str,
    code: str,
    at: float,
) -> Attempt:
    return Attempt(
        kind,
        "w",
        route,
        "w",
        number,
        identifier,
        at,
        at,
        code,
        f"signed-{identifier}",
        session,
        sent,
        sent + 1,
    )


def ran(
    spans: Spans,
    identifier: str = "read",
    key: str = "w",
    values: frozenset[tuple[str, str]] = frozenset(),
) -> RunRecord:
    return RunRecord(identifier, "db-b", "READ", key, "1", values, spans)


COMMITS = [CommitRecord("db-a", "w", str(number), True, 1, number) for number in (1, 2)]
BOTH: Spans = ((1, 2),)
FIRST: Spans = ((1, 1),)


def rules(
    history: list[Attempt],
    runs: list[RunRecord],
    promotions: list[PromotionRecord] | None = None,
    last: Spans = BOTH,
    keeps_all: bool = False,
) -> list[str]:
    logs = Logs(COMMITS, runs, promotions or [], last)
    judge = Judge(COMMITS, [], logs, keeps_all)
    return [found.rule for found in judge.violations(history)]


@pytest.mark.parametrize(
    ("reading", "spans", "expected"),
    [
        pytest.param(read(), BOTH, [], id="own commit present"),
        pytest.param(read(), FIRST, ["STALE"], id="own commit missing"),
        pytest.param(read(sent=12), FIRST, [], id="read sent before the acknowledgement"),
        pytest.param(read(session=2), FIRST, [], id="another session's commit"),
        pytest.param(read(session=2, at=11.6), FIRST, ["STALE"], id="beyond the session's bound"),
        pytest.param(read("latest", session=2), FIRST, ["STALE"], id="latest"),
        pytest.param(read("latest", 12, 2), FIRST, [], id="latest, sent before"),
        pytest.param(read("bounded", session=2), FIRST, [], id="within the bound"),
        pytest.param(read("bounded", session=2, at=10.6), FIRST, ["STALE"], id="beyond the bound"),
        pytest.param(read("bounded", session=2, at=10.6), BOTH, [], id="beyond the bound, present"),
    ],
)
def test_read_is_judged_by_the_log_that_it_ran_on(
    reading: Attempt, spans: Spans, expected: list[str]
) -> None:
    """Reads and writes have equal times: only sequence numbers tell what came first."""
    history = [write(1, 10), write(2, 13), reading]
    assert rules(history, [ran(spans)]) == expected


def test_every_run_of_a_read_is_judged_even_if_its_answer_was_not_used() -> None:
    history = [write(1, 10), write(2, 13), read()]
    assert rules(history, [ran(BOTH), ran(FIRST)]) == ["STALE"]


def test_no_read_must_reflect_a_commit_that_a_promotion_rolled_back() -> None:
    """Not even if a later promotion restored it."""
    history = [write(1, 10), write(2, 13), read()]
    promotions = [PromotionRecord("db-b", 2, FIRST, 20), PromotionRecord("db-a", 3, BOTH, 60)]
    assert rules(history, [ran(FIRST)], promotions) == []


@pytest.mark.parametrize(
    ("moment", "keeps_all", "expected"),
    [
        pytest.param(20, True, ["LOST"], id="acknowledged before the promotion"),
        pytest.param(14, True, [], id="acknowledged after the promotion"),
        pytest.param(20, False, [], id="replicas do not confirm"),
    ],
)
def test_promoted_log_holds_commits_that_replicas_confirmed(
    moment: int, keeps_all: bool, expected: list[str]
) -> None:
    promotions = [PromotionRecord("db-b", 2, FIRST, moment)]
    assert rules([write(1, 10), write(2, 13)], [], promotions, FIRST, keeps_all) == expected


@pytest.mark.parametrize(
    ("run_record", "expected"),
    [
        pytest.param(ran(BOTH, values=frozenset({("owner", "x")})), ["PINNED"], id="values"),
        pytest.param(ran(BOTH, key="other/x"), ["PINNED"], id="shape"),
    ],
)
def test_run_with_another_sessions_state_is_a_violation(
    run_record: RunRecord, expected: list[str]
) -> None:
    assert rules([read()], [run_record]) == expected


def test_row_that_no_database_returned_is_a_violation() -> None:
    assert rules([read()], [ran(BOTH)._replace(value="7")]) == ["MIXED"]


@pytest.mark.parametrize(
    ("code", "runs", "expected"),
    [
        pytest.param(NO_ANSWER, [ran(BOTH, "id1")], 1, id="executed"),
        pytest.param(NO_ANSWER, [], 0, id="not executed"),
        pytest.param("INDOUBT", [ran(BOTH, "id1")], 0, id="answered"),
    ],
)
def test_answer_cut_off_by_planned_work(code: str, runs: list[RunRecord], expected: int) -> None:
    assert len(list(cut_by_planned_work([write(1, 10, code=code)], runs))) == expected


@pytest.mark.parametrize(
    ("start_number", "sent_at", "expected"),
    [
        pytest.param(1, 14.0, 1, id="long after the newer one"),
        pytest.param(1, 11.0, 0, id="within the slack"),
        pytest.param(2, 14.0, 0, id="by the next process"),
    ],
)
def test_node_that_reverts_to_an_older_version(
    start_number: int, sent_at: float, expected: int
) -> None:
    newer = Served("node-0", 1, 7, 10.0, 10.0)
    older = Served("node-0", start_number, 5, sent_at, sent_at)
    assert len(list(regressions([newer, older]))) == expected


async def test_dark_link_never_delivers_for_connections_opened_meanwhile() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(10):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = await open_link("127.0.0.1", server.sockets[0].getsockname()[1])
    link.go_dark()
    _, dark_writer = await asyncio.open_connection("127.0.0.1", link.port)
    dark_writer.write(b"a")
    while not link.connections:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    link.dark = False
    reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
    writer.write(b"b")
    assert await reader.read(10) == b"b"
    assert sorted(len(found.cut) for found in link.connections) == [0, len(Direction)]
    dark_writer.close()
    writer.close()
    await link.stop()
    server.close()


@pytest.mark.parametrize("row", ROWS, ids=[str(row["seed"]) for row in ROWS])
async def test_no_violation_under_process_faults(row: dict[str, Any]) -> None:
    report = await run(row["seed"], SECONDS)
    assert report.violations == []
    assert report.problems == []
    assert report.succeeded > 0


@pytest.mark.parametrize("seed", [row["seed"] for row in RESTORE_ROWS])
async def test_no_violation_when_the_store_is_restored_from_copies(seed: int) -> None:
    report = await run(seed, SECONDS, restores=True)
    assert report.violations == []
    assert report.problems == []
    assert "store_restored" in report.faults
    assert report.succeeded > 0


@pytest.mark.parametrize("seed", [row["seed"] for row in CHANGE_ROWS])
async def test_no_violation_when_replicas_restart_during_changes_of_primary(seed: int) -> None:
    report = await run(seed, SECONDS, only=tuple(CHANGE_FAULTS))
    assert report.violations == []
    assert report.problems == []
    assert report.succeeded > 0


@pytest.mark.parametrize("seed", [row["seed"] for row in COPY_ROWS])
async def test_no_commit_is_lost_that_one_replica_alone_received(seed: int) -> None:
    report = await run(seed, SECONDS, only=tuple(COPY_FAULTS))
    assert report.violations == []
    assert report.problems == []
    assert report.succeeded > 0


@pytest.mark.parametrize("seed", [row["seed"] for row in TENANT_ROWS])
async def test_no_tenant_exceeds_its_limit_or_uses_another_tenants_connection(seed: int) -> None:
    report = await run(seed, SECONDS, tenants=True)
    assert report.violations == []
    assert report.problems == []
    assert "changed_limit" in report.faults
    assert report.succeeded > 0


@pytest.mark.parametrize("seed", [row["seed"] for row in STOP_ROWS])
async def test_no_statement_is_lost_when_nodes_stop_as_planned(seed: int) -> None:
    report = await run(seed, SECONDS, stops=True)
    assert report.violations == []
    assert report.problems == []
    assert report.succeeded > 0


STOPPED_AT, GRACE = 100.0, 6.0


def cut(sent: float, ended: float, start_number: int = 1, timed_out: bool = False) -> Statement:
    """Return a statement without an answer. Times: seconds after the SIGTERM."""
    return Statement(
        "id1",
        "h0",
        "latest",
        "WRITE",
        False,
        0,
        start_number,
        STOPPED_AT + sent,
        STOPPED_AT + ended,
        NO_ANSWER,
        timed_out,
    )


def worked(began: float, ended: float, broken_off: bool = False) -> WorkRecord:
    return WorkRecord("id1", "db-a", STOPPED_AT + began, STOPPED_AT + ended, broken_off)


@pytest.mark.parametrize(
    ("statement", "works", "expected"),
    [
        pytest.param(cut(1.0, 1.1), [], "unread", id="on its way"),
        pytest.param(cut(1.0, 1.1), [worked(1.0, 1.2)], "lost", id="at a database"),
        pytest.param(cut(1.0, 1.1), [worked(1.0, 1.0)], "lost", id="answered by its database"),
        pytest.param(cut(1.0, 1.21), [], "lost", id="held for longer than the slack"),
        pytest.param(cut(-0.2, 0.1), [], "lost", id="sent before the SIGTERM"),
        pytest.param(cut(5.5, 6.9), [], "lost", id="until a second after the grace period"),
        pytest.param(cut(6.5, 7.1), [worked(6.5, 7.0)], "", id="later"),
        pytest.param(cut(-0.5, -0.1), [worked(-0.4, 0.1)], "", id="before the SIGTERM"),
        pytest.param(cut(1.0, 1.5, start_number=2), [], "", id="at the next process"),
        pytest.param(cut(1.0, 1.5, timed_out=True), [], "", id="given up by its caller"),
        pytest.param(cut(1.0, 3.0), [worked(1.0, 4.0)], "excused", id="timeout"),
        pytest.param(cut(1.0, 2.9), [worked(1.0, 4.0)], "lost", id="just before the timeout"),
        pytest.param(cut(1.0, 1.1), [worked(1.0, 1.2, True)], "excused", id="broken off"),
        pytest.param(cut(2.9, 4.5), [worked(2.9, 5.0)], "excused", id="worked until the last part"),
        pytest.param(cut(2.9, 4.5), [worked(2.9, 4.9)], "lost", id="worked not so long"),
        pytest.param(cut(3.1, 4.5), [worked(3.1, 5.5)], "lost", id="sent too late for that"),
    ],
)
def test_statement_cut_by_a_planned_stop(
    statement: Statement, works: list[WorkRecord], expected: str
) -> None:
    records = StopRecords(
        [statement], {0: [StopRecord(1, STOPPED_AT)]}, works, 2.0, GRACE, Stalls()
    )
    found = judge_stops(records)
    sorted_out = {"lost": found.lost, "excused": found.excused, "unread": found.unread}
    assert [name for name, statements in sorted_out.items() if statements] == (
        [expected] if expected else []
    )


def test_answered_statement_beside_a_stop_is_no_finding() -> None:
    """A refusal is a complete answer."""
    refused = cut(1.0, 1.9)._replace(code="BUSY")
    records = StopRecords([refused], {0: [StopRecord(1, STOPPED_AT)]}, [], 2.0, GRACE, Stalls())
    assert judge_stops(records) == ([], [], [])


def test_stall_of_the_soak_itself_does_not_count_as_held() -> None:
    stalls = Stalls()
    stalls.add(STOPPED_AT + 1.05, STOPPED_AT + 1.2)
    records = StopRecords([cut(1.0, 1.3)], {0: [StopRecord(1, STOPPED_AT)]}, [], 2.0, GRACE, stalls)
    assert judge_stops(records).lost == []


async def test_database_records_its_work_and_whether_it_broke_it_off() -> None:
    group = LineGroup("deliveries")
    await group.start(["db-a"])
    group.work = lambda text: 0.0 if text == "READ a" else WAIT_TIMEOUT
    client = await LineClient.connect(group.members["db-a"].port)
    await client.start("deliveries")
    assert (await client.run("READ a")).signature == "signed-" + client.last_identifier
    held = asyncio.ensure_future(client.run("READ b"))
    await until(lambda: len(group.works) > 1)
    await group.members["db-a"].crash()
    assert (await held).state == "closed"
    client.close()
    assert [work.broken_off for work in group.works] == [False, True]


@pytest.mark.parametrize(
    ("code", "expected"),
    [
        pytest.param(NOT_COMMITTED, ["UNASKED"], id="rolled back"),
        pytest.param("ABORTED", ["REFUSED"], id="refused"),
        pytest.param(NO_ANSWER, [], id="without an answer to its COMMIT"),
    ],
)
def test_transaction_that_was_committed(code: str, expected: list[str]) -> None:
    transaction = write(1, 10, code=code)._replace(kind=Kind.TRANSACTION)
    assert rules([transaction], []) == expected


LOW_LIMIT = RateLimit(1.0, 1.0)


@pytest.mark.parametrize(
    ("runs", "problems"),
    [
        pytest.param([(0.0, 0.1)] * 26, [], id="as many as are allowed"),
        pytest.param([(0.0, 0.1)] * 27, ["QUOTA: 27 in 5.0 s where 27 are allowed"], id="one more"),
        pytest.param([(0.0, 5.1)] * 20 + [(0.5, 1.0)] * 20, [], id="some are run after the span"),
        pytest.param([(0.0, 0.1)] * 20 + [(5.1, 5.2)] * 20, [], id="two spans"),
    ],
)
def test_limit_counts_operations_sent_and_run_in_one_interval(
    runs: list[tuple[float, float]], problems: list[str]
) -> None:
    sent = {f"id{place}": sent_at for place, (sent_at, _) in enumerate(runs)}
    found = [run_of_hot(f"id{place}", time) for place, (_, time) in enumerate(runs)]
    assert list(limit_problems(sent, found, LOW_LIMIT)) == problems


def test_run_on_another_tenants_connection_is_a_problem() -> None:
    problems = list(limit_problems({"id1": 0.0}, [run_of_hot("id1", 0.1, USUAL_KEY)], LOW_LIMIT))
    assert problems == [f"TENANT: id1 of {HOT} ran for {USUAL_KEY}"]


def run_of_hot(identifier: str, time: float, tenant: str = HOT) -> RunRecord:
    return RunRecord(identifier, "db-a", "READ", HOT, "", frozenset(), (), tenant, time)
