"""The state machine of one edit, driven reply by reply."""

from typing import Any

import pytest

from bramblebeam.core.configuration.edit import (
    EditFinished,
    EditMachine,
    ReadRow,
    RowAccepted,
    RowConflicted,
    RowRead,
    StoreRow,
    StoreUnanswered,
    WriteRow,
)
from bramblebeam.core.configuration.messages import EditRow, EditStatus
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.machine import Wakeup

KEY = RowKey("weight", "a")
LOST = StoreUnanswered(True, "lost")
BASE = StoreRow(Row(KEY, 5, "{}", "base"))
ABSENT = RowRead(None)


def stored(version: int, change: str, *previous: str, spec: str = "{}") -> StoreRow:
    return StoreRow(Row(KEY, version, spec, change), "", previous)


def run(expected: int, *events: Any) -> list[Any]:
    """Feed the events, with a wakeup whenever the machine waits; return the last effects."""
    machine = EditMachine(EditRow(KEY, expected, "{}", "mine"), 0, deadline=100.0)
    effects = machine.begin()
    now = 0.0
    for event in events:
        if not effects:
            now = machine.next_wakeup() or now
            effects = machine.handle(Wakeup(), now)
        effects = machine.handle(event, now)
    return effects


def status_of(effects: list[Any]) -> EditStatus:
    assert isinstance(effects[0], EditFinished)
    return effects[0].reply.status


def test_a_write_is_conditional_on_the_version_seen_and_keeps_earlier_change_ids() -> None:
    (write,) = run(5, RowRead(BASE))
    assert write == WriteRow(StoreRow(Row(KEY, 5, "{}", "mine"), "", ("base",)))
    accepted = Row(KEY, 6, "{}", "mine")
    assert status_of(run(5, RowRead(BASE), RowAccepted(accepted))) is EditStatus.WRITTEN


def test_a_row_at_another_version_is_a_conflict_and_is_not_written() -> None:
    assert status_of(run(4, RowRead(BASE))) is EditStatus.CONFLICT
    assert status_of(run(0, RowRead(BASE))) is EditStatus.CONFLICT
    assert status_of(run(4, ABSENT)) is EditStatus.CONFLICT


def test_creating_a_deleted_row_replaces_its_remains() -> None:
    (write,) = run(0, RowRead(stored(9, "gone", "base", spec="")))
    assert write == WriteRow(StoreRow(Row(KEY, 9, "{}", "mine"), "", ("gone", "base")))


@pytest.mark.parametrize(
    ("found", "status"),
    [
        (stored(6, "mine", "base"), EditStatus.WRITTEN),
        (stored(8, "other", "mine", "base"), EditStatus.WRITTEN),
        (stored(8, "other", "base"), EditStatus.CONFLICT),
        (stored(8, "other"), EditStatus.UNKNOWN),
        (None, EditStatus.UNKNOWN),
    ],
)
def test_a_lost_reply_is_resolved_by_the_change_ids_of_the_row(
    found: StoreRow | None, status: EditStatus
) -> None:
    assert status_of(run(5, RowRead(BASE), LOST, RowRead(found))) is status


def test_a_write_that_did_not_take_effect_is_resent_under_the_same_condition() -> None:
    first = run(5, RowRead(BASE))
    again = run(5, RowRead(BASE), LOST, RowRead(BASE))
    assert again == first
    assert run(5, RowRead(BASE), LOST, RowRead(BASE), RowConflicted()) == [ReadRow(KEY)]


def test_a_creation_that_may_be_in_flight_is_not_resent() -> None:
    assert run(0, ABSENT, LOST, ABSENT) == []
    assert status_of(run(0, ABSENT, LOST, ABSENT, RowRead(stored(3, "mine")))) is EditStatus.WRITTEN


def test_at_the_deadline_the_status_shows_whether_the_edit_may_have_been_written() -> None:
    for events, status in (((), EditStatus.UNAVAILABLE), ((RowRead(BASE),), EditStatus.UNKNOWN)):
        machine = EditMachine(EditRow(KEY, 5, "{}", "mine"), 0, deadline=1.0)
        machine.begin()
        for event in events:
            machine.handle(event, 0.0)
        assert status_of(machine.handle(Wakeup(), 1.0)) is status


def test_a_store_older_than_the_rows_in_force_is_not_written_to() -> None:
    machine = EditMachine(EditRow(KEY, 5, "{}", "mine"), in_force=7, deadline=1.0)
    machine.begin()
    assert status_of(machine.handle(RowRead(BASE), 0.0)) is EditStatus.UNAVAILABLE
