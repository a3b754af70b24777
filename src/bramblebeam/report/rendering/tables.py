"""Arranges a report as tables, which the terminal and the HTML page both show.

Titles, column names and row labels are read by operators' tools.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from bramblebeam.pages.html import Cell
from bramblebeam.pages.text import format_number, format_percentage
from bramblebeam.report.model import MetricsFigures, NodeStart, RunReport, SecondCount

UNKNOWN = "?"
NOT_GIVEN = "no metrics given"
SECONDS_NOTE = (
    "Worst first. Bins start at whole seconds of the clock: the first may begin before the run."
)


class Table(NamedTuple):
    """One table; the note explains how to read it."""

    title: str
    note: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


def build_tables(report: RunReport) -> list[Table]:
    """Return the tables that have rows; the summary comes first."""
    tables = [
        _summary(report),
        *_nodes(report),
        *_leaders(report),
        *_statements(report),
        _tenants(report),
        *(_metrics(report.metrics) if report.metrics is not None else ()),
        *_lines(report),
    ]
    return [table for table in tables if table.rows]


def _table(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[object]], note: str = ""
) -> Table:
    return Table(title, note, tuple(columns), tuple(tuple(map(_cell, row)) for row in rows))


def _cell(value: object) -> Cell:
    if value is None:
        return Cell(UNKNOWN)
    if isinstance(value, bool):
        return Cell("yes" if value else "no")
    if isinstance(value, int):
        return Cell(str(value), is_numeric=True)
    if isinstance(value, float):
        # Adding 0.0 turns -0.0 into 0.0, so that small negative values are shown as 0.00.
        return Cell(format_number(round(value, 2) + 0.0), is_numeric=True)
    text = str(value)
    return Cell("".join(char if char.isprintable() else " " for char in text))


def _summary(report: RunReport) -> Table:
    waiting = report.waiting
    metrics = report.metrics
    rows: list[tuple[str, object]] = [
        ("begins", report.begins),
        ("seconds", report.seconds),
        ("logs", report.logs),
        ("nodes", report.nodes),
        ("lines", report.lines),
        ("statements refused", waiting.refused_statements),
        ("seconds waited by refused statements", waiting.refused_seconds),
        ("attempts in vain", sum(item.attempts for item in report.attempts)),
        ("changes of leader", len(report.changes)),
        ("nodes that restarted", len(report.restarted)),
        ("lines of level error", sum(item.lines for item in report.errors)),
        ("lines left out by nodes", sum(item.lines for item in report.left_out)),
        ("lines passed over", sum(sum(item[1:]) for item in report.passed_over)),
        ("statements answered", _if_metrics(metrics, waiting.all_statements)),
        ("seconds of all statements", _if_metrics(metrics, waiting.all_seconds)),
        ("part of them waited in vain", _if_metrics(metrics, format_percentage(waiting.share))),
        ("attempts in vain a statement", _if_metrics(metrics, _attempts_a_statement(metrics))),
        ("reads served by replicas", _if_metrics(metrics, _replica_share(metrics))),
    ]
    return _table("Run", ("FIGURE", "VALUE"), rows)


def _if_metrics(metrics: MetricsFigures | None, value: object) -> object:
    return NOT_GIVEN if metrics is None else value


def _attempts_a_statement(metrics: MetricsFigures | None) -> float | None:
    return None if metrics is None else metrics.failed_attempts_a_statement


def _replica_share(metrics: MetricsFigures | None) -> str:
    return format_percentage(None if metrics is None else metrics.replica_read_share)


def _nodes(report: RunReport) -> Iterator[Table]:
    yield _table(
        "Starts of nodes, the slowest first",
        ("NODE", "ZONE", "AT s", "ACCEPTS s", "READY s", "LEADER s", "STOPPED"),
        _slowest_first(report.starts),
        "Seconds from event 1001 to 1101, 1123 and the first 1320; negative: before 1001.",
    )
    yield _table("Restarted", ("NODE", "ZONE", "STARTS", "UNPLANNED"), report.restarted)


def _slowest_first(starts: Iterable[NodeStart]) -> list[NodeStart]:
    """Sort starts by the time to the first leader; those without a leader come first."""

    def slowness(start: NodeStart) -> float:
        return float("inf") if start.leader_seconds is None else start.leader_seconds

    return sorted(starts, key=slowness, reverse=True)


def _worst_first(seconds: Iterable[SecondCount]) -> list[SecondCount]:
    return sorted(seconds, key=lambda second: -second.times)


def _leaders(report: RunReport) -> Iterator[Table]:
    yield _table(
        "Changes of leader",
        (
            "GROUP",
            "TERM",
            "LEADER",
            "FORMER",
            "REASON",
            "AT s",
            "GAP ms",
            "LONGEST ms",
            "NODES",
            "LAST NODE AT s",
            "WRITES REFUSED",
        ),
        report.changes,
        "GAP: from the last proof of the former leader on any node to the first proof of the next.",
    )
    yield _table(
        "Leaders missed and found again",
        ("GROUP", "TIMES", "P50 AT MOST ms", "LONGEST ms"),
        report.interruptions,
    )
    yield _table(
        "Ordered changes of primary",
        ("GROUP", "CAUSE", "OUTCOME", "TIMES", "LONGEST ms", "LONGEST TROUBLE ms"),
        report.orders,
    )
    yield _table(
        "Former leaders cut off", ("GROUP", "OUTCOME", "TIMES", "LONGEST ms"), report.cut_offs
    )


def _statements(report: RunReport) -> Iterator[Table]:
    yield _table(
        "Refused statements",
        (
            "DATABASE",
            "ZONE",
            "ACTION",
            "VERDICT",
            "REASON",
            "STATEMENTS",
            "WAITED s",
            "P50 AT MOST ms",
            "P99 AT MOST ms",
            "LONGEST ms",
        ),
        report.refused,
    )
    yield _table(
        "Refused by second",
        ("AT s", "REASON", "STATEMENTS"),
        _worst_first(report.refused_by_second),
        SECONDS_NOTE,
    )
    yield _table("Attempts in vain", ("ZONE", "VERDICT", "REASON", "ATTEMPTS"), report.attempts)
    yield _table(
        "Attempts in vain by database",
        ("DATABASE", "REASON", "ATTEMPTS"),
        report.attempts_by_instance,
    )
    yield _table(
        "Attempts in vain by second",
        ("AT s", "REASON", "ATTEMPTS"),
        _worst_first(report.attempts_by_second),
        SECONDS_NOTE,
    )
    yield _table(
        "Attempts a statement",
        ("ATTEMPTS IN VAIN, AT LEAST", "STATEMENTS"),
        report.attempt_numbers,
        "Statements with at least one failed attempt; lines that nodes left out are missing.",
    )
    yield _table(
        "Forwarded without an answer",
        ("ZONE", "GROUP", "SENT", "STATEMENTS"),
        report.forward_failures,
    )


def _tenants(report: RunReport) -> Table:
    return _table(
        "Tenants that met their limits",
        (
            "TENANT",
            "COUNTED",
            "REFUSED",
            "GIVEN BACK",
            "NOT COUNTED",
            "SENT",
            "COUNTED BY NODES",
            "RUN BY NODES",
            "WORST 5 s AT s",
            "SENT THEN",
            "COUNTED THEN",
            "ALLOWED THEN",
        ),
        report.tenants,
        "Operations. SENT: to databases, including further attempts. ALLOWED: rate x 5 + burst.",
    )


def _metrics(metrics: MetricsFigures) -> Iterator[Table]:
    yield _table(
        "Answered, by metrics",
        ("CONSISTENCY", "ACTION", "OUTCOME", "STATEMENTS"),
        metrics.answered,
    )
    yield _table(
        "Time of statements, by metrics",
        (
            "CONSISTENCY",
            "ACTION",
            "STATEMENTS",
            "SECONDS",
            "MEAN ms",
            "P50 AT MOST ms",
            "P99 AT MOST ms",
            "SLOWEST AT MOST ms",
        ),
        metrics.took,
        "From arrival to answer, including waiting. ?: beyond the last bucket.",
    )
    yield _table("Attempts in vain, by metrics", ("REASON", "ATTEMPTS"), metrics.failed_attempts)
    rows = [
        ("metrics texts", metrics.files),
        ("lines passed over in them", metrics.passed_over),
        ("reads at replicas", metrics.replica_reads),
        ("reads at primaries", metrics.primary_reads),
        ("leaders proven, over all nodes", metrics.leader_changes),
        ("session order broken", metrics.session_order_broken),
    ]
    yield _table("Counted by nodes", ("FIGURE", "VALUE"), rows)


def _lines(report: RunReport) -> Iterator[Table]:
    yield _table(
        "Lines of level error",
        ("EVENT", "LEVEL", "TEXT", "LINES", "NODES", "FIRST AT s", "EXAMPLE"),
        report.errors,
    )
    yield _table("Lines left out by nodes", ("EVENT", "TEXT", "LINES"), report.left_out)
    yield _table(
        "Lines passed over", ("FILE", "CUT", "OTHER PROGRAM", "NO JSON"), report.passed_over
    )
