"""Judges of slots, leaving back ends, planned stops and rows in force."""

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
"""How long after its sign a leaving back end may still get new work."""

REFUSED = "STOPPING"
INTERRUPTED = "MYSQL_1053"
"""What a caller is told of a statement that is new to a stopping node, or that it cut."""

IN_FORCE_BOUND_SECONDS = 9.0
"""How long an accepted edit may take until it is in force at every node that can be reached."""


def judge_leaving_gets_no_new_work(facts: HistoryIndex) -> list[Violation]:
    """No work begins on a back end later than the bound after its sign of leaving."""
    leaving: dict[str, BackendLeaving] = {}
    violations = []
    for record in facts.history:
        if isinstance(record, BackendLeaving):
            if record.leaving:
                leaving.setdefault(record.instance, record)
            else:
                leaving.pop(record.instance, None)
        elif isinstance(record, BackendWorkStarted):
            sign = leaving.get(record.instance)
            if sign is not None and record.time > sign.time + LEAVING_BOUND_SECONDS:
                detail = f"{record.instance} got work {record.time - sign.time:.3f} s after it"
                violations.append(Violation(LEAVING_GETS_NO_NEW_WORK, detail, (sign, record)))
    return violations


def judge_planned_stop_cuts_nothing(facts: HistoryIndex) -> list[Violation]:
    """A request in flight at a node when it is told to stop gets its ordinary answer.

    Neither is a statement cut that the node took on after that.
    """
    stopping: dict[str, list[NodeStopping]] = defaultdict(list)
    for record in facts.history.of(NodeStopping):
        stopping[record.node].append(record)
    violations = []
    for exchange in facts.exchanges.values():
        sent = exchange.sent
        for stop in stopping.get(sent.node, ()):
            answered = exchange.answers[0].time if exchange.answers else facts.end
            reason = exchange.answers[0].reason if exchange.answers else ""
            in_flight = sent.time < stop.time < answered
            refused = in_flight and (exchange.outcome == "lost" or reason == REFUSED)
            if refused or (reason == INTERRUPTED and stop.time < answered):
                detail = f"{sent.request} was in flight at {sent.node} and ended {exchange.outcome}"
                violations.append(
                    Violation(PLANNED_STOP_CUTS_NOTHING, detail, (stop, sent, *exchange.answers))
                )
    return violations


def judge_slots_never_exceeded(facts: HistoryIndex) -> list[Violation]:
    """No back end has more connections than slots."""
    return [
        Violation(
            SLOTS_NEVER_EXCEEDED,
            f"{record.instance} has {record.connections} connections for {record.slots} slots",
            (record,),
        )
        for record in facts.history.of(BackendConnections)
        if record.connections > record.slots
    ]


def judge_configuration_in_force(facts: HistoryIndex) -> list[Violation]:
    """Accepted rows are in force at every reachable node within the bound; versions never fall."""
    return [*_reverted(facts), *_late(facts), *_disagreeing_versions(facts)]


def _reverted(facts: HistoryIndex) -> list[Violation]:
    in_force: dict[tuple[str, str], RowInForce] = {}
    violations = []
    for record in facts.history:
        if isinstance(record, NodeStarted):
            in_force = {at: row for at, row in in_force.items() if at[0] != record.node}
        elif isinstance(record, RowInForce):
            before = in_force.get((record.node, record.key))
            if before is not None and record.version < before.version:
                detail = f"{record.node} fell from {before.version} to {record.version}"
                violations.append(Violation(CONFIGURATION_IN_FORCE, detail, (before, record)))
            in_force[record.node, record.key] = record
    return violations


def _disagreeing_versions(facts: HistoryIndex) -> list[Violation]:
    """One version of a row is the same row everywhere."""
    value: dict[tuple[str, int], EditAccepted | RowInForce] = {}
    violations = []
    for record in facts.history:
        if isinstance(record, EditAccepted | RowInForce) and record.value:
            first = value.setdefault((record.key, record.version), record)
            if first.value != record.value:
                detail = f"version {record.version} of {record.key} has two contents"
                violations.append(Violation(CONFIGURATION_IN_FORCE, detail, (first, record)))
    return violations


def _late(facts: HistoryIndex) -> list[Violation]:
    spans = _reachable_spans(facts)
    rows: dict[tuple[str, str], list[RowInForce]] = defaultdict(list)
    for row in facts.history.of(RowInForce):
        rows[row.node, row.key].append(row)
    violations = []
    for edit in facts.history.of(EditAccepted):
        for node, node_spans in spans.items():
            deadline = _deadline(node_spans, edit.time)
            if deadline is None or deadline > facts.end:
                continue
            came = rows.get((node, edit.key), ())
            if not any(row.version >= edit.version and row.time <= deadline for row in came):
                detail = f"version {edit.version} of {edit.key} is not in force at {node} in time"
                violations.append(Violation(CONFIGURATION_IN_FORCE, detail, (edit,)))
    return violations


def _deadline(spans: list[tuple[float, float]], accepted: float) -> float | None:
    """Return when the first span that is long enough after the edit has run out its bound."""
    for start, end in spans:
        deadline = max(start, accepted) + IN_FORCE_BOUND_SECONDS
        if deadline <= end:
            return deadline
    return None


def _reachable_spans(facts: HistoryIndex) -> dict[str, list[tuple[float, float]]]:
    """Return the times in which each node ran and was not cut off."""
    changes: dict[str, list[Any]] = defaultdict(list)
    for record in facts.history:
        if isinstance(record, NodeStarted | NodeStopped | NodeCut):
            changes[record.node].append(record)
    spans: dict[str, list[tuple[float, float]]] = {}
    for node, records in changes.items():
        spans[node] = _spans_of(records, facts.end)
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
