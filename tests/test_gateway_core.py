"""Read floors, connection preparation and the registry of databases."""

import pytest

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.floors import Watermark, Watermarks
from bramblebeam.core.gateway.registry import Registry
from bramblebeam.core.gateway.state import ConnectionState, SessionState, shape_name
from bramblebeam.core.gateway.statements import RESET, Action, PreparedStatement
from bramblebeam.core.identity import ZERO_POSITION as NOTHING
from bramblebeam.core.identity import Address, GroupId, InstanceId, Position, ZoneId
from bramblebeam.core.role import Role
from revisions import at

STALENESS = 1.5
MARK = Watermark(Position(3, 100), queried_at=10.0, term=3)
LATER = Watermark(Position(3, 120), queried_at=10.5, term=3)
NEXT = Watermark(Position(3, 100), queried_at=10.0, term=4)
"""Of a leader that has not committed in its own term yet."""
NEXT_COMMITTED = Watermark(Position(4, 101), queried_at=10.5, term=4)


def entry(leaving: bool = False) -> DatabaseEntry:
    address = Address("127.0.0.1", 1)
    return DatabaseEntry(
        InstanceId("db"), GroupId("g"), address, ZoneId("a"), Role.REPLICA, leaving, slots=3
    )


def watermarks(*marks: Watermark) -> Watermarks:
    found = Watermarks()
    for mark in marks:
        found.add(mark)
    return found


@pytest.mark.parametrize(
    ("marks", "own", "now", "expected"),
    [
        pytest.param([MARK], NOTHING, 11.5, Position(3, 100), id="young enough"),
        pytest.param([MARK], NOTHING, 11.6, None, id="too old"),
        pytest.param(
            [MARK, LATER], NOTHING, 10.7, Position(3, 100), id="oldest within half the bound"
        ),
        pytest.param([MARK, LATER], NOTHING, 10.8, Position(3, 120), id="past half the bound"),
        pytest.param(
            [MARK, LATER], NOTHING, 11.9, Position(3, 120), id="only the newest is allowed"
        ),
        pytest.param([MARK, LATER], NOTHING, 12.1, None, id="all too old"),
        pytest.param([MARK], Position(3, 104), 11.0, Position(3, 104), id="own commit"),
        pytest.param(
            [MARK, LATER],
            Position(3, 110),
            10.7,
            Position(3, 110),
            id="own commit that the newest watermark covers",
        ),
        # By the order of the log the proof is older, whatever the times.
        pytest.param(
            [MARK], Position(3, 101), 10.0, Position(3, 101), id="own commit just after a proof"
        ),
        pytest.param(
            [MARK], Position(4, 1), 11.0, Position(4, 1), id="own commit in a term not proven yet"
        ),
        # No log will ever reach a position that the log of a newer leader lacks.
        pytest.param([MARK], Position(2, 400), 11.0, Position(3, 100), id="rolled back"),
        pytest.param(
            [NEXT],
            Position(3, 150),
            11.0,
            Position(3, 100),
            id="rolled back, and the next leader has committed nothing yet",
        ),
        pytest.param(
            [NEXT, NEXT_COMMITTED],
            Position(3, 150),
            10.7,
            Position(3, 100),
            id="rolled back, and the next leader has committed",
        ),
        pytest.param([NEXT], Position(3, 90), 11.0, Position(3, 100), id="kept by the next leader"),
    ],
)
def test_the_floor_of_a_read(
    marks: list[Watermark], own: Position, now: float, expected: Position | None
) -> None:
    assert watermarks(*marks).floor(own, STALENESS, now) == expected


def test_watermarks_of_a_former_leader_are_unused_once_the_next_leader_has_one() -> None:
    found = watermarks(MARK)
    found.forget_former()
    assert found.floor(NOTHING, STALENESS, 10.2) == MARK.position
    found.add(Watermark(Position(3, 90), 10.3))
    assert found.floor(NOTHING, STALENESS, 10.4) == Position(3, 90)


def test_a_connection_is_set_to_the_values_of_a_session() -> None:
    connection = ConnectionState()
    first = SessionState(values={"zone": "a"})
    assert [found.action for found in connection.preparation(first, None, False)] == [Action.SET]
    assert connection.preparation(first, None, False) == []
    second = SessionState(values={"depot": "b"})
    statements = connection.preparation(second, None, False)
    assert statements[0] == RESET
    assert connection.values == {"depot": "b"}


def test_a_shape_is_prepared_once_under_a_unique_name() -> None:
    connection, session = ConnectionState(), SessionState()
    reading = PreparedStatement("q2c", writes=False)
    writing = PreparedStatement("q2c", writes=True)
    assert shape_name(reading) != shape_name(writing)
    assert len(connection.preparation(session, reading, False)) == 1
    assert connection.preparation(session, reading, False) == []
    assert len(connection.preparation(session, writing, False)) == 1


def test_a_removed_entry_is_leaving_and_expires_after_the_grace_period() -> None:
    registry = Registry(grace=5.0)
    assert registry.put(entry(), at(4), now=0.0)
    assert registry.remove(InstanceId("db"), now=1.0)
    assert registry.directory(1.0).entries[InstanceId("db")].leaving
    assert not registry.expire(5.9)
    assert registry.expire(6.0)
    assert registry.directory(6.0).entries == {}


def test_an_entry_that_is_registered_again_is_not_leaving() -> None:
    registry = Registry(grace=5.0)
    registry.put(entry(), at(4), now=0.0)
    registry.remove(InstanceId("db"), now=1.0)
    assert registry.put(entry(), at(5), now=2.0)
    assert not registry.directory(9.0).entries[InstanceId("db")].leaving


def test_a_leaving_entry_departs_after_the_grace_period_although_still_registered() -> None:
    registry = Registry(grace=5.0)
    registry.put(entry(leaving=True), at(4), now=0.0)
    registry.put(entry(leaving=True), at(5), now=4.0)
    assert InstanceId("db") in registry.directory(4.9).entries
    assert registry.expire(5.0)
    assert InstanceId("db") not in registry.directory(5.0).entries
    assert InstanceId("db") in registry.directory(5.0).departed


def test_a_database_that_left_is_listed_as_departed_for_a_while() -> None:
    registry = Registry(grace=5.0)
    registry.put(entry(), at(4), now=0.0)
    registry.remove(InstanceId("db"), now=1.0)
    registry.expire(6.0)
    assert InstanceId("db") in registry.directory(6.0).departed
    assert registry.directory(66.0).departed == {}
    registry.put(entry(), at(9), now=7.0)
    assert registry.directory(7.0).departed == {}


def test_an_older_revision_is_ignored() -> None:
    registry = Registry(grace=5.0)
    registry.put(entry(), at(4), now=0.0)
    assert not registry.put(entry(leaving=True), at(3), now=1.0)
    assert not registry.remove(InstanceId("db"), now=1.0, revision=at(3))
