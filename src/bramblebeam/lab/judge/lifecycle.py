"""Checks slots, leaving back ends, planned stops and configuration rows in force."""

from collections import defaultdict
from typing import Any

from bramblebeam.lab.history.records import (
    BackendConnections,
    BackendLeaving,
    BackendWorkStarted,
    EditAccepted,
    NodeCut,
    NodeStarted,
    NodeStopped,
    NodeStopping,
    RowInForce,
)
from bramblebeam.lab.judge.facts import HistoryIndex
from bramblebeam.lab.judge.violation import Violation

LEAVING_GETS_NO_NEW_WORK = "leaving_gets_no_new_work"
PLANNED_STOP_CUTS_NOTHING = "planned_stop_cuts_nothing"
CONFIGURATION_IN_FORCE = "configuration_in_force_and_never_reverts"
SLOTS_NEVER_EXCEEDED = "slots_never_exceeded"

LEAVING_BOUND_SECONDS = 3.0
"""How long a back end may still get new work after it reported that it is leaving."""

REFUSED = "STOPPING"
INTERRUPTED = "MYSQL_1053"
"""Reasons reported to a caller: a stopping node refused a new statement, or interrupted one."""

IN_FORCE_BOUND_SECONDS = 9.0
"""How long an accepted edit may take to be in force at every reachable node."""


def judge_leaving_gets_no_new_work(index: HistoryIndex) -> list[Violation]:
    """Check that a leaving back end starts no new work after the bound."""
    leaving: dict[str, BackendLeaving] = {}
    violations = []
    for record in index.history:
        if isinstance(record, BackendLeaving):
            if record.leaving:
                leaving.setdefault(record.instance, record)
            else:
                leaving.pop(record.instance, None)
        elif isinstance(record, BackendWorkStarted):
            report = leaving.get(record.instance)
            if report is not None and record.time > report.time + LEAVING_BOUND_SECONDS:
                detail = (
                    f"leaving {record.instance} got work {record.time - report.time:.3f} s later"
                )
                violations.append(Violation(LEAVING_GETS_NO_NEW_WORK, detail, (report, record)))
    return violations


def judge_planned_stop_cuts_nothing(index: HistoryIndex) -> list[Violation]:
    """Check that requests in flight at a node when it is told to stop get their ordinary answer.

    Statements that the node accepted after that must not be interrupted either.
    """
    stopping: dict[str, list[NodeStopping]] = defaultdict(list)
    for record in index.history.of(NodeStopping):
        stopping[record.node].append(record)
    violations = []
    for exchange in index.exchanges.values():
        sent = exchange.sent
        for stop in stopping.get(sent.node, ()):
            answered = exchange.answers[0].time if exchange.answers else index.end
            reason = exchange.answers[0].reason if exchange.answers else ""
            in_flight = sent.time < stop.time < answered
            refused = in_flight and (exchange.outcome == "lost" or reason == REFUSED)
            if refused or (reason == INTERRUPTED and stop.time < answered):
                detail = f"{sent.request} was in flight at {sent.node} and ended {exchange.outcome}"
                violations.append(
                    Violation(PLANNED_STOP_CUTS_NOTHING, detail, (stop, sent, *exchange.answers))
                )
    return violations


def judge_slots_never_exceeded(index: HistoryIndex) -> list[Violation]:
    """Check that no back end has more connections than slots."""
    return [
        Violation(
            SLOTS_NEVER_EXCEEDED,
            f"{record.instance} has {record.connections} connections for {record.slots} slots",
            (record,),
        )
        for record in index.history.of(BackendConnections)
        if record.connections > record.slots
    ]


def judge_configuration_in_force(index: HistoryIndex) -> list[Violation]:
    """Check that accepted rows come into force in time everywhere, and versions never decrease."""
    return [*_reverted(index), *_late(index), *_disagreeing_versions(index)]


def _reverted(index: HistoryIndex) -> list[Violation]:
    in_force: dict[tuple[str, str], RowInForce] = {}
    violations = []
    for record in index.history:
        if isinstance(record, NodeStarted):
            in_force = {at: row for at, row in in_force.items() if at[0] != record.node}
        elif isinstance(record, RowInForce):
            before = in_force.get((record.node, record.key))
            if before is not None and record.version < before.version:
                detail = f"{record.node} reverted from {before.version} to {record.version}"
                violations.append(Violation(CONFIGURATION_IN_FORCE, detail, (before, record)))
            in_force[record.node, record.key] = record
    return violations


def _disagreeing_versions(index: HistoryIndex) -> list[Violation]:
    """Find versions of a row that have different contents at different parties."""
    value: dict[tuple[str, int], EditAccepted | RowInForce] = {}
    violations = []
    for record in index.history:
        if isinstance(record, EditAccepted | RowInForce) and record.value:
            first = value.setdefault((record.key, record.version), record)
            if first.value != record.value:
                detail = f"version {record.version} of {record.key} has two contents"
                violations.append(Violation(CONFIGURATION_IN_FORCE, detail, (first, record)))
    return violations


def _late(index: HistoryIndex) -> list[Violation]:
    spans = _reachable_spans(index)
    rows: dict[tuple[str, str], list[RowInForce]] = defaultdict(list)
    for row in index.history.of(RowInForce):
        rows[row.node, row.key].append(row)
    violations = []
    for edit in index.history.of(EditAccepted):
        for node, node_spans in spans.items():
            deadline = _deadline(node_spans, edit.time)
            if deadline is None or deadline > index.end:
                continue
            versions = rows.get((node, edit.key), ())
            if not any(row.version >= edit.version and row.time <= deadline for row in versions):
                detail = f"version {edit.version} of {edit.key} was not in force at {node} in time"
                violations.append(Violation(CONFIGURATION_IN_FORCE, detail, (edit,)))
    return violations


def _deadline(spans: list[tuple[float, float]], accepted: float) -> float | None:
    """Return when the edit must be in force at a node, or None if it has no such time.

    That is the bound after the edit, or after the start of the first span that lasts as long.
    """
    for start, end in spans:
        deadline = max(start, accepted) + IN_FORCE_BOUND_SECONDS
        if deadline <= end:
            return deadline
    return None


def _reachable_spans(index: HistoryIndex) -> dict[str, list[tuple[float, float]]]:
    """Return the time spans in which each node was running and not cut off."""
    changes: dict[str, list[Any]] = defaultdict(list)
    for record in index.history:
        if isinstance(record, NodeStarted | NodeStopped | NodeCut):
            changes[record.node].append(record)
    spans: dict[str, list[tuple[float, float]]] = {}
    for node, records in changes.items():
        spans[node] = _spans_of(records, index.end)
    return spans


def _spans_of(records: list[Any], end: float) -> list[tuple[float, float]]:
    spans = []
    running, cuts = False, 0
    since: float | None = None
    for record in records:
        if isinstance(record, NodeCut):
            cuts = max(0, cuts + (1 if record.cut else -1))
        else:
            running = isinstance(record, NodeStarted)
        reachable = running and not cuts
        if since is None and reachable:
            since = record.time
        elif since is not None and not reachable:
            spans.append((since, record.time))
            since = None
    if since is not None:
        spans.append((since, end))
    return spans
