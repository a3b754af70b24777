"""Each judge accepts a valid history and reports a violation added to it."""

import dataclasses
from pathlib import Path

import pytest

from bramblebeam.lab.history import History, read_history, write_history
from bramblebeam.lab.history.records import (
    BackendAcknowledged,
    BackendCommitted,
    BackendConnections,
    BackendLeaving,
    BackendStatement,
    BackendWorkStarted,
    EditAccepted,
    NodeCut,
    NodeStarted,
    NodeStopping,
    RequestAnswered,
    RequestSent,
    RowInForce,
    RunEnded,
    StalenessBound,
)
from bramblebeam.lab.judge import INVARIANTS, count_observations, count_violations, judge


def sent(time: float, request: str, operation: str, **fields: str) -> RequestSent:
    values = {"node": "n1", "session": "s1", "group": "g", "key": "k"} | fields
    return RequestSent(time, request=request, operation=operation, **values)  # type: ignore[arg-type]


def answered(time: float, request: str, outcome: str = "ok", **fields: object) -> RequestAnswered:
    values = {"node": "n1", "session": "s1"} | fields
    return RequestAnswered(time, request=request, outcome=outcome, **values)  # type: ignore[arg-type]


def committed(value: str, offset: int, term: int = 1, instance: str = "a") -> BackendCommitted:
    return BackendCommitted(1.0, instance, "g", term, offset, value)


def valid_history() -> list[object]:
    """Return a history with every type of observation and no violation."""
    return [
        NodeStarted(0.0, "n1"),
        StalenessBound(0.0, "g", 10_000),
        sent(1.0, "r1", "write", value="w1"),
        BackendAcknowledged(1.1, "a", "g", 1, 1, "w1"),
        committed("w1", 1),
        committed("w1", 1, instance="b"),
        answered(1.2, "r1", term=1, offset=1),
        sent(1.3, "r2", "read"),
        answered(1.4, "r2", key="k", value="w1", rows=1, expected_rows=1),
        sent(1.5, "r3", "write", value="w2"),
        answered(1.6, "r3", "not_run"),
        sent(2.0, "t1", "write", value="x1", key="x", transaction="t"),
        answered(2.1, "t1"),
        sent(2.2, "t2", "write", value="x2", key="x", transaction="t"),
        answered(2.3, "t2"),
        sent(2.4, "t3", "commit", transaction="t"),
        committed("x1", 2),
        committed("x2", 2),
        committed("x1", 2, instance="b"),
        committed("x2", 2, instance="b"),
        answered(2.5, "t3", term=1, offset=2),
        BackendStatement(2.0, "a", "7", "s1", "begin"),
        BackendStatement(2.1, "a", "7", "s1", "commit"),
        BackendStatement(2.2, "a", "7", "s2", "statement"),
        BackendConnections(3.0, "a", 5, 5),
        BackendLeaving(3.0, "a"),
        BackendWorkStarted(5.9, "a"),
        EditAccepted(3.0, "limit/x", 4, "four"),
        RowInForce(3.5, "n1", "limit/x", 4, "four"),
        sent(3.9, "r4", "read"),
        NodeStopping(4.0, "n1"),
        answered(4.1, "r4", key="k", value="w1", rows=1, expected_rows=1),
        RunEnded(30.0, logs_complete=True),
    ]


VIOLATIONS: dict[str, tuple[str, list[object]]] = {
    "a read misses the session's own write": (
        "read_your_writes",
        [sent(6.0, "b1", "read"), answered(6.1, "b1", key="k")],
    ),
    "a read after roaming sees an older value": (
        "read_your_writes",
        [
            sent(6.0, "b1", "write", value="w9"),
            committed("w9", 9),
            answered(6.1, "b1", term=1, offset=9),
            sent(6.2, "b2", "read", node="n2"),
            answered(6.3, "b2", key="k", value="w1", rows=1, expected_rows=1),
        ],
    ),
    "a read of another session is staler than its bound": (
        "bounded_staleness",
        [
            sent(6.0, "b1", "write", value="w9"),
            BackendAcknowledged(6.05, "a", "g", 1, 9, "w9"),
            dataclasses.replace(committed("w9", 9), time=6.05),
            answered(6.1, "b1", term=1, offset=9),
            sent(16.15, "b2", "read", session="s2"),
            answered(16.2, "b2", session="s2", key="k", value="w1", rows=1, expected_rows=1),
        ],
    ),
    "a read finds no row that was written before its bound": (
        "bounded_staleness",
        [
            sent(12.0, "b1", "read", session="s2"),
            answered(12.1, "b1", session="s2", key="k"),
        ],
    ),
    "an acknowledged write is lost": (
        "no_ack_by_replaced_primary",
        [sent(6.0, "b1", "write", value="w9"), answered(6.1, "b1", term=1, offset=9)],
    ),
    "an older term answers after a newer one": (
        "no_ack_by_replaced_primary",
        [
            sent(6.0, "b1", "write", value="w9"),
            committed("w9", 9, term=3),
            answered(6.1, "b1", term=3, offset=9),
            sent(6.2, "b2", "write", value="w8"),
            committed("w8", 8, term=2),
            answered(6.3, "b2", term=2, offset=8),
        ],
    ),
    "two primaries in one term": (
        "no_ack_by_replaced_primary",
        [
            committed("w8", 8),
            BackendAcknowledged(1.1, "b", "g", 1, 8, "w8"),
        ],
    ),
    "back ends disagree": (
        "no_ack_by_replaced_primary",
        [committed("w8", 8), committed("w9", 8, instance="b")],
    ),
    "another session's statement runs in a transaction": (
        "transactions_do_not_mix",
        [
            BackendStatement(6.0, "a", "7", "s1", "begin"),
            BackendStatement(6.1, "a", "7", "s2", "statement"),
        ],
    ),
    "half a transaction is committed": (
        "transactions_do_not_mix",
        [
            sent(6.0, "b1", "write", value="w8", transaction="u"),
            answered(6.1, "b1"),
            sent(6.2, "b2", "write", value="w9", transaction="u"),
            answered(6.3, "b2"),
            sent(6.4, "b3", "commit", transaction="u"),
            committed("w8", 8),
            answered(6.5, "b3", term=1, offset=8),
        ],
    ),
    "one commit holds two sessions' writes": (
        "transactions_do_not_mix",
        [
            sent(6.0, "b1", "write", value="w8"),
            sent(6.0, "b2", "write", value="w9", session="s2"),
            committed("w8", 8),
            committed("w9", 8),
        ],
    ),
    "an answer goes to another caller": (
        "whole_own_answer",
        [
            sent(6.0, "b1", "read"),
            answered(6.1, "b1", session="s2", key="k", value="w1", rows=1, expected_rows=1),
        ],
    ),
    "an answer is of another key": (
        "whole_own_answer",
        [
            sent(6.0, "b1", "read", session="s3", key="other"),
            answered(6.1, "b1", session="s3", key="k", value="w1", rows=1, expected_rows=1),
        ],
    ),
    "an answer lacks rows": (
        "whole_own_answer",
        [
            sent(6.0, "b1", "read"),
            answered(6.1, "b1", key="k", value="w1", rows=1, expected_rows=2),
        ],
    ),
    "a refused write ran": ("not_run_is_true", [committed("w2", 9)]),
    "a write ran twice": ("at_most_once", [committed("w1", 9)]),
    "a leaving back end gets work": (
        "leaving_gets_no_new_work",
        [BackendWorkStarted(6.1, "a")],
    ),
    "a planned stop cuts a request": (
        "planned_stop_cuts_nothing",
        [sent(3.8, "b1", "read"), answered(4.2, "b1", "lost")],
    ),
    "a row reverts": (
        "configuration_in_force_and_never_reverts",
        [RowInForce(6.0, "n1", "limit/x", 3)],
    ),
    "a row is late at a node": (
        "configuration_in_force_and_never_reverts",
        [NodeStarted(0.0, "n2"), RowInForce(12.5, "n2", "limit/x", 4)],
    ),
    "a row has two contents": (
        "configuration_in_force_and_never_reverts",
        [RowInForce(6.0, "n1", "limit/x", 4, "five")],
    ),
    "too many connections": ("slots_never_exceeded", [BackendConnections(6.0, "a", 6, 5)]),
}


def test_valid_history_passes_and_exercises_each_invariant() -> None:
    history = History(valid_history())
    assert judge(history) == []
    assert all(count_observations(history).values())
    assert set(count_observations(history)) == set(INVARIANTS)


@pytest.mark.parametrize("name", VIOLATIONS)
def test_violation_is_reported(name: str) -> None:
    invariant, records = VIOLATIONS[name]
    violations = judge(History([*valid_history(), *records]))
    assert {violation.invariant for violation in violations} == {invariant}
    assert count_violations(violations)[invariant] == len(violations)


def test_every_invariant_has_a_violating_history() -> None:
    assert {invariant for invariant, _ in VIOLATIONS.values()} == set(INVARIANTS)


def test_read_may_miss_a_write_within_its_staleness_bound() -> None:
    records = [
        sent(6.0, "b1", "write", value="w9"),
        BackendAcknowledged(6.05, "a", "g", 1, 9, "w9"),
        dataclasses.replace(committed("w9", 9), time=6.05),
        answered(6.1, "b1", term=1, offset=9),
        sent(16.0, "b2", "read", session="s2"),
        answered(16.2, "b2", session="s2", key="k", value="w1", rows=1, expected_rows=1),
    ]
    assert judge(History([*valid_history(), *records])) == []


def test_in_force_bound_starts_after_a_cut_ends() -> None:
    records = [NodeStarted(0.0, "n2"), NodeCut(2.0, "n2"), NodeCut(20.0, "n2", cut=False)]
    in_time = RowInForce(28.9, "n2", "limit/x", 4)
    late = dataclasses.replace(in_time, time=29.1)
    assert judge(History([*valid_history(), *records, in_time])) == []
    assert len(judge(History([*valid_history(), *records, late]))) == 1


def test_history_round_trips_through_its_file(tmp_path: Path) -> None:
    path = tmp_path / "history.jsonl"
    history = History(valid_history())
    write_history(path, history)
    assert list(read_history(path)) == list(history)
