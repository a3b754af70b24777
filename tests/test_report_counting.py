"""Aggregation of small logs and metrics texts into a report."""

import json
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest

from bramblebeam.events.catalogue import (
    CATALOGUE,
    EDGE_LISTENING,
    FAILOVER_COMPLETED,
    FAILOVER_STARTED,
    FORMER_LEADER_CUT_OFF,
    LINES_LEFT_OUT,
    MEMBER_JOINED,
    NODE_STARTED,
    NODE_STOPPED,
    REQUEST_FORWARD_FAILED,
    SERVICE_FAILED,
)
from bramblebeam.report.counting.bounded import BoundedTable, DurationHistogram, TimeSeries
from bramblebeam.report.counting.build import build_report
from bramblebeam.report.counting.statements import MutableCount, StatementTimes
from bramblebeam.report.model import NodeStart, RunReport, to_json_value
from bramblebeam.report.reading.files import UnreadableError
from bramblebeam.report.rendering.page import render_page
from run_logs import attempt, line, long_log, missed, proven, refused, start

Logs = dict[str, list[str]]
JOINED = line(0.0, MEMBER_JOINED, node="edge-9", zone="loja", incarnation=1)


def report(directory: Path, logs: Logs, metrics: dict[str, str] | None = None) -> RunReport:
    def written(name: str, text: str) -> Path:
        path = directory / name
        path.write_text(text)
        return path

    log_files = [written(name, "\n".join(lines)) for name, lines in logs.items()]
    metrics_files = [written(name, text) for name, text in (metrics or {}).items()]
    return build_report(log_files, metrics_files)


def rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)


def start_row(found: NodeStart) -> tuple[object, ...]:
    seconds = (found.at, found.accepting_seconds, found.ready_seconds, found.leader_seconds)
    return (found.node, found.zone, *map(rounded, seconds), found.stopped)


@pytest.mark.parametrize(
    ("lines", "starts"),
    [
        pytest.param(
            [*start(1.0, "n1", "z"), proven(1.9, 1, "db-a"), proven(2.5, 1, "db-z", "other")],
            [("n1", "z", 1.0, -0.01, 0.5, 0.9, False)],
            id="one start, the first proven leader is used",
        ),
        pytest.param(
            [*start(1.0, "n1", "z"), line(5.0, NODE_STOPPED, node="n1"), *start(6.0, "n1", "z")],
            [
                ("n1", "z", 1.0, -0.01, 0.5, None, True),
                ("n1", "z", 6.0, -0.01, 0.5, None, False),
            ],
            id="a planned stop",
        ),
        pytest.param(
            [*start(1.0, "n1", "z"), *start(6.0, "n1", "z"), proven(7.0, 1, "db-a")],
            [
                ("n1", "z", 1.0, -0.01, 0.5, None, False),
                ("n1", "z", 6.0, -0.01, 0.5, 1.0, False),
            ],
            id="a kill",
        ),
        pytest.param(
            [
                line(1.0, NODE_STARTED, node="n1", zone="z"),
                line(1.2, EDGE_LISTENING, host="h", port=1),
                line(3.0, NODE_STARTED, node="n1", zone="z"),
                line(3.3, EDGE_LISTENING, host="h", port=1),
            ],
            [("n1", "z", 1.0, 0.2, None, None, False), ("n1", "z", 3.0, 0.3, None, None, False)],
            id="connections are accepted after the start",
        ),
        pytest.param([proven(1.0, 1, "db-a")], [], id="a log that begins later"),
        pytest.param(
            [line(1.0, NODE_STOPPED, node="n1"), line(6.0, NODE_STARTED, node="n1", zone="z")],
            [("n1", "z", 6.0, None, None, None, False)],
            id="a log that begins with a planned stop",
        ),
        pytest.param(
            [line(1.0, EDGE_LISTENING, host="h", port=1), refused(2.0), *start(6.0, "n1", "z")],
            [("n1", "z", 6.0, -0.01, 0.5, None, False)],
            id="a log whose first start is cut",
        ),
    ],
)
def test_starts(lines: list[str], starts: list[tuple[object, ...]], tmp_path: Path) -> None:
    found = report(tmp_path, {"a.log": [JOINED, *lines]})
    assert [start_row(one) for one in found.starts] == starts


@pytest.mark.parametrize(
    ("logs", "restarted"),
    [
        ({"a.log": [*start(1, "n1")], "b.log": [*start(1, "n2")]}, []),
        ({"a.log": [*start(1, "n1"), *start(2, "n1")]}, [("n1", "quito-norte", 2, 1)]),
        ({"a.log": [*start(1, "n1")], "a.log.1": [*start(2, "n1")]}, [("n1", "quito-norte", 2, 1)]),
        (
            {"a.log": [*start(1, "n1"), line(2, NODE_STOPPED, node="n1"), *start(3, "n1")]},
            [("n1", "quito-norte", 2, 0)],
        ),
        (
            {
                "all.log": [
                    f"{n % 9}.5 n{n % 2} {text}" for n in (0, 1) for text in start(1, f"n{n}")
                ]
            },
            [],
        ),
    ],
    ids=["none", "killed", "in two files", "planned", "two nodes in one file"],
)
def test_restarts(logs: Logs, restarted: list[tuple[object, ...]], tmp_path: Path) -> None:
    assert list(report(tmp_path, logs).restarted) == restarted


BEGIN = [*start(0.1, "n1"), proven(1.0, 1, "db-a")]


@pytest.mark.parametrize(
    ("logs", "changes", "interruptions"),
    [
        pytest.param({"a.log": BEGIN}, [], [], id="none"),
        pytest.param(
            {"a.log": [*BEGIN, missed(5.0, "db-a", 800), proven(6.5, 2, "db-b")]},
            [("g", 2, "db-b", "db-a", 2300, 2300, 1)],
            [],
            id="one node",
        ),
        pytest.param(
            {
                "a.log": [*BEGIN, missed(5.0, "db-a", 800), proven(6.5, 2, "db-b")],
                "b.log": [*BEGIN, missed(5.2, "db-a", 400), proven(7.0, 2, "db-b")],
            },
            [("g", 2, "db-b", "db-a", 1700, 2300, 2)],
            [],
            id="last and first proof are taken over all nodes",
        ),
        pytest.param(
            {"a.log": [*BEGIN, missed(5.0, "db-a", None), proven(6.5, 2, "db-b")]},
            [("g", 2, "db-b", "db-a", 1500, 1500, 1)],
            [],
            id="the proof age is missing",
        ),
        pytest.param(
            {"a.log": [*BEGIN, proven(6.5, 2, "db-b")]},
            [("g", 2, "db-b", "db-a", None, None, 1)],
            [],
            id="no node lost the former leader",
        ),
        pytest.param(
            {"a.log": [*BEGIN, missed(5.0, "db-a", 800), proven(6.0, 1, "db-a")]},
            [],
            [("g", 1, 1800)],
            id="the same leader again",
        ),
        pytest.param(
            {"a.log": [missed(5.0, "db-a", 800), proven(6.0, 1, "db-a")]},
            [],
            [("g", 1, 1800)],
            id="the same leader again in a log that begins later",
        ),
        pytest.param(
            {"a.log": [*BEGIN, missed(5.0, "db-a", 0), *start(8, "n1"), proven(9, 1, "db-a")]},
            [],
            [],
            id="lost by a process that ended",
        ),
        pytest.param(
            {"a.log": [*BEGIN], "b.log": [*start(7, "n2"), proven(8.0, 2, "db-b")]},
            [("g", 2, "db-b", "?", None, None, 1)],
            [],
            id="seen only by a node that started later",
        ),
        pytest.param(
            {"a.log": [*BEGIN, proven(2.0, 9, "db-x", "other")]},
            [],
            [],
            id="groups are independent",
        ),
    ],
)
def test_leaders(
    logs: Logs,
    changes: list[tuple[object, ...]],
    interruptions: list[tuple[object, ...]],
    tmp_path: Path,
) -> None:
    found = report(tmp_path, logs)
    assert [
        (
            change.group,
            change.term,
            change.instance,
            change.former,
            rounded(change.gap_ms),
            rounded(change.longest_gap_ms),
            change.nodes,
        )
        for change in found.changes
    ] == changes
    interrupted = [(one.group, one.times, round(one.longest_ms)) for one in found.interruptions]
    assert interrupted == interruptions


def test_leader_change_counts_writes_refused_during_it(tmp_path: Path) -> None:
    lines = [
        *BEGIN,
        refused(2.0),
        missed(5.0, "db-a", 0),
        refused(5.5),
        refused(5.6, action="commit"),
        refused(5.7, action="read"),
        proven(6.5, 2, "db-b"),
        refused(9.0),
    ]
    (change,) = report(tmp_path, {"a.log": lines}).changes
    assert change.refused_writes == 2


def test_failovers_and_cut_offs_of_former_leaders(tmp_path: Path) -> None:
    begun = {"group": "g", "cause": "lost", "leader": None, "token": 14, "taken_over": False}
    ended = {"group": "g", "target": "db-b", "outcome": "accepted", "token": 16}
    lines = [
        line(1.0, FAILOVER_STARTED, **begun, trouble_ms=400),
        line(1.6, FAILOVER_COMPLETED, **ended, duration_ms=600),
        line(2.0, FORMER_LEADER_CUT_OFF, group="g", outcome="gone", duration_ms=7),
    ]
    found = report(tmp_path, {"a.log": lines})
    assert list(found.orders) == [("g", "lost", "accepted", 1, 600, 400)]
    assert list(found.cut_offs) == [("g", "gone", 1, 7)]


def test_refused_statements_by_database_zone_reason_and_second(tmp_path: Path) -> None:
    logs = {
        "a.log": [*start(0.0, "n1", "z1"), refused(1.2, 100), refused(1.3, 300)],
        "b.log": [
            *start(0.0, "n2", "z2"),
            refused(1.9, 50),
            refused(3.0, 2_000, reason="deadline"),
        ],
    }
    found = report(tmp_path, logs)
    shown = [
        (one.database, one.zone, one.reason, one.statements, one.waited_seconds, one.longest_ms)
        for one in found.refused
    ]
    name = "deliveries_latest"
    assert shown == [
        (name, "z1", "no_primary", 2, 0.4, 300),
        (name, "z2", "deadline", 1, 2.0, 2_000),
        (name, "z2", "no_primary", 1, 0.05, 50),
    ]
    seconds = [(rounded(one.at), one.key, one.times) for one in found.refused_by_second]
    assert seconds == [(1.01, "no_primary", 3), (3.01, "deadline", 1)]
    assert found.waiting[:2] == pytest.approx((4, 2.45))
    assert found.waiting[2:] == (None, None, None)


def test_attempts_by_zone_database_number_and_second(tmp_path: Path) -> None:
    logs = {
        "a.log": [*start(0.1, "n1", "z1"), attempt(1.0, 1), attempt(1.1, 2), attempt(1.2, 3)],
        "b.log": [attempt(1.5, 1, instance="db-c", verdict="unknown", reason="deadline")],
    }
    found = report(tmp_path, logs)
    assert list(found.attempts) == [
        ("z1", "not_run", "replica_behind", 3),
        ("?", "unknown", "deadline", 1),
    ]
    assert list(found.attempts_by_instance) == [
        ("db-a", "replica_behind", 3),
        ("db-c", "deadline", 1),
    ]
    assert list(found.attempt_numbers) == [(1, 2), (2, 1), (3, 1)]
    seconds = [(rounded(one.at), one.key, one.times) for one in found.attempts_by_second]
    assert seconds == [(0.91, "deadline", 1), (0.91, "replica_behind", 3)]


def test_zone_is_taken_from_lines_of_other_nodes(tmp_path: Path) -> None:
    logs = {"edge-9.log": [refused(1.0)], "b.log": [JOINED]}
    (found,) = report(tmp_path, logs).refused
    assert found.zone == "loja"


def test_forwarded_statements_without_an_answer(tmp_path: Path) -> None:
    fields = {"request": "r", "node": "n2", "group": "g", "error": "", "waited_ms": 3}
    lines = [line(1.0, REQUEST_FORWARD_FAILED, **fields, sent=sent) for sent in (True, False, True)]
    found = report(tmp_path, {"a.log": lines})
    assert list(found.forward_failures) == [("?", "g", True, 2), ("?", "g", False, 1)]


def test_errors_and_lines_left_out(tmp_path: Path) -> None:
    error = line(2.0, SERVICE_FAILED, service="feed", error="[/bold]")
    left_out = line(3.0, LINES_LEFT_OUT, events={"1121": 7, "0": 2, "odd": 1, "1120": "x"})
    plain = (
        '{"time": "2031-05-06T07:08:10+00:00", "level": "error", "logger": "asyncio",'
        ' "message": "Task exception was never retrieved"}'
    )
    logs = {"a.log": [JOINED, error, left_out], "b.log": [error, plain]}
    found = report(tmp_path, logs)
    text = "service failed and is restarted"
    assert [one[:5] for one in found.errors] == [
        (1004, "error", text, 2, 2),
        (0, "error", "asyncio", 1, 1),
    ]
    assert found.errors[0].example == 'service="feed" error="[/bold]"'
    assert found.errors[1].example == "Task exception was never retrieved"
    assert list(found.left_out) == [(1121, CATALOGUE[1121].text, 7), (0, "", 2)]


def test_skipped_lines_are_counted_by_file(tmp_path: Path) -> None:
    logs = {
        "a.log": [
            refused(1.0),
            refused(2.0)[:90],
            "Traceback",
            '{"msg": "hello"}',
            '{"msg": "ho"}',
        ],
        "b.log": [refused(1.0)],
    }
    found = report(tmp_path, logs)
    assert list(found.passed_over) == [(str(tmp_path / "a.log"), 1, 2, 1)]
    assert (found.lines, found.logs, found.nodes) == (2, 2, 2)


@pytest.mark.parametrize(
    ("content", "message"),
    [
        ("", "no bramblebeam lines in this log$"),
        ('{"msg": "hello"}\n', "no bramblebeam lines in this log$"),
        ('bramblebeam_reads_total{role="replica"} 2.0\n', "pass it with --metrics"),
    ],
)
def test_log_without_bramblebeam_lines_is_rejected(
    content: str, message: str, tmp_path: Path
) -> None:
    with pytest.raises(UnreadableError, match=message):
        report(tmp_path, {"a.log": [refused(1.0)], "b.log": [content]})


METRICS = """
bramblebeam_requests_total{action="read",consistency="bounded",outcome="done"} 90.0
bramblebeam_requests_total{action="write",consistency="latest",outcome="not_run"} 10.0
bramblebeam_request_seconds_bucket{action="read",consistency="bounded",le="0.005"} 60.0
bramblebeam_request_seconds_bucket{action="read",consistency="bounded",le="0.01"} 90.0
bramblebeam_request_seconds_bucket{action="read",consistency="bounded",le="+Inf"} 90.0
bramblebeam_request_seconds_count{action="read",consistency="bounded"} 90.0
bramblebeam_request_seconds_sum{action="read",consistency="bounded"} 0.9
bramblebeam_request_seconds_bucket{action="write",consistency="latest",le="4.0"} 9.0
bramblebeam_request_seconds_bucket{action="write",consistency="latest",le="+Inf"} 10.0
bramblebeam_request_seconds_count{action="write",consistency="latest"} 10.0
bramblebeam_request_seconds_sum{action="write",consistency="latest"} 9.1
bramblebeam_failed_attempts_total{reason="queue_full"} 25.0
bramblebeam_reads_total{role="replica"} 60.0
bramblebeam_reads_total{role="primary"} 30.0
bramblebeam_leader_changes_total 2.0
"""


def test_metrics_of_two_nodes(tmp_path: Path) -> None:
    texts = {"n1.prom": METRICS, "n2.prom": METRICS}
    found = report(tmp_path, {"a.log": [refused(1.0, 5_000)]}, texts)
    metrics = found.metrics
    assert metrics is not None
    assert (metrics.files, metrics.leader_changes, metrics.session_order_broken) == (2, 4, 0)
    assert list(metrics.answered) == [
        ("bounded", "read", "done", 180),
        ("latest", "write", "not_run", 20),
    ]
    assert [kind[:6] for kind in metrics.took] == [
        ("bounded", "read", 180, 1.8, 10.0, 5.0),
        ("latest", "write", 20, 18.2, 910.0, 4_000.0),
    ]
    assert [kind.p99_at_most_ms for kind in metrics.took] == [10.0, None]
    assert (metrics.replica_reads, metrics.primary_reads) == (120, 60)
    assert metrics.replica_read_share == 120 / 180
    assert metrics.failed_attempts_a_statement == 0.25
    assert found.waiting == (1, 5.0, 200, 20.0, 0.25)


def test_shares_are_none_without_reads_and_statements(tmp_path: Path) -> None:
    text = "bramblebeam_leader_changes_total 2.0\n"
    metrics = report(tmp_path, {"a.log": [refused(1.0)]}, {"n1.prom": text}).metrics
    assert metrics is not None
    assert (metrics.replica_read_share, metrics.failed_attempts_a_statement) == (None, None)


def test_a_log_of_thousands_of_lines(tmp_path: Path) -> None:
    logs = {f"n{number}.log": list(long_log(number, 500)) for number in range(3)}
    found = report(tmp_path, logs)
    assert found.lines == 1_500
    counted = sum(one.statements for one in found.refused) + sum(
        one.attempts for one in found.attempts
    )
    assert counted == 1_500 - 3 * 7
    assert [(change.term, change.nodes) for change in found.changes] == [(2, 3)]


# Bounds on memory.


def test_keys_past_the_bound_are_counted_together() -> None:
    table: BoundedTable[str, MutableCount] = BoundedTable(MutableCount, "others", 2)
    for key in "abcdab":
        table.get_or_create(key).count += 1
    assert {key: total.count for key, total in table.values.items()} == {
        "a": 2,
        "b": 2,
        "others": 2,
    }


@pytest.mark.parametrize("seconds", [1, 1_200, 1_201, 5_000])
def test_long_run_has_wider_bins(seconds: int) -> None:
    times = TimeSeries()
    for second in range(seconds):
        times.add(second + 0.5, "reason")
    bins = times.bins()
    assert sum(one.times for one in bins) == seconds
    assert len(bins) <= TimeSeries.MAXIMUM_BINS
    assert [one.begin for one in bins] == list(range(0, seconds, times.width))


def test_aligned_time_series_have_the_same_bins() -> None:
    times = StatementTimes()
    for second in range(1_300):
        times.refused.add(second, "reason")
    times.attempts.add(3.0, "reason")
    times.attempts.add(2.0, "reason")
    assert times.align_bins() == times.attempts.width == times.refused_actions.width == 2
    assert times.attempts.bins() == [(2, "reason", 2)]


def test_reasons_past_the_bound_are_counted_together() -> None:
    times = TimeSeries()
    for number in range(100):
        times.add(1.0, f"reason-{number:03}")
    keys = [one.key for one in times.bins()]
    assert len(keys) <= TimeSeries.MAXIMUM_KEYS + 1
    assert sum(one.times for one in times.bins()) == 100


def test_prefixes_that_change_with_every_line_make_few_streams(tmp_path: Path) -> None:
    lines = [f"request-{chr(97 + n % 26)}x{n:x}y {refused(1.0)}" for n in range(3_000)]
    found = report(tmp_path, {"a.log": lines})
    assert found.nodes <= 1_001
    assert sum(one.statements for one in found.refused) == 3_000


def test_quantile_bounds_of_durations() -> None:
    durations = DurationHistogram()
    for milliseconds in range(1, 1_001):
        durations.add(milliseconds)
    assert 500 <= durations.quantile_bound_ms(0.5) <= 500 * 1.091
    assert durations.quantile_bound_ms(1.0) == 1_000
    assert DurationHistogram().quantile_bound_ms(0.5) == 0


INVALID_VALUES = (
    None,
    True,
    -1,
    0,
    10**400,
    1e308,
    float("inf"),
    float("nan"),
    "",
    "x",
    "\x00[/]",
    [],
    {},
    [1],
)


def lines_with_invalid_fields(random: Random) -> Iterator[str]:
    """Yield a line of every event, with fields that are missing or hold invalid values."""
    for event in CATALOGUE.values():
        fields = {
            name: random.choice(INVALID_VALUES) for name in event.fields if random.random() < 0.9
        }
        yield line(random.uniform(0.0, 40.0), event, **fields)


@pytest.mark.parametrize("seed", range(6))
def test_invalid_field_values_do_not_fail_the_report(seed: int, tmp_path: Path) -> None:
    random = Random(seed)
    lines = [one for _ in range(10) for one in lines_with_invalid_fields(random)]
    random.shuffle(lines)
    found = report(tmp_path, {"a.log": lines})
    assert found.lines == len(lines)
    assert json.dumps(to_json_value(found))
    assert render_page(found)
