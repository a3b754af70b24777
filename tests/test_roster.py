"""The roster of a synchronous group, as a value and as an object of the store."""

from __future__ import annotations

from typing import Any

import pytest

from bramblebeam.core.failover.member_ends import MemberEnds
from bramblebeam.core.failover.roster import MAXIMUM_COVERED, Roster, RosterMember
from bramblebeam.core.gateway.floors import Watermark
from bramblebeam.core.gateway.leader_outlook import PATIENCE_SECONDS, LeaderOutlook
from bramblebeam.core.identity import Address, GroupId, InstanceId, Position, instance_id
from bramblebeam.core.revision import Revision
from bramblebeam.platform.objects import StoredObject, StoreFormatError
from bramblebeam.platform.rosters import _parse_roster, _roster_spec

GROUP = GroupId("deliveries")
REVISION = Revision(0, 7)
A, B, C = (RosterMember(InstanceId(f"db-{one}"), Address("127.0.0.1", 1)) for one in "abc")
OLD_B = RosterMember(instance_id("db-b", 5), B.address)
ROSTER = Roster(GROUP, REVISION, (A, B, C))


def names(members: tuple[RosterMember, ...]) -> list[str]:
    return [member.instance for member in members]


@pytest.mark.parametrize(
    ("registered", "covered", "expected", "expected_covered"),
    [
        ([A, B], [], ["db-a", "db-b", "db-c"], []),
        ([A, B], ["db-c"], ["db-a", "db-b"], ["db-c"]),
        ([A, B, C], ["db-c"], ["db-a", "db-b", "db-c"], []),
        ([A, OLD_B], [], ["db-a", "db-b", "db-b 5", "db-c"], []),
    ],
    ids=["left", "covered", "back", "another life"],
)
def test_a_member_stays_listed_until_it_is_covered(
    registered: list[RosterMember],
    covered: list[InstanceId],
    expected: list[str],
    expected_covered: list[str],
) -> None:
    found = ROSTER.updated(registered, covered, A.instance)
    assert names(found.members) == expected
    assert list(found.covered) == expected_covered


def test_a_covered_member_that_comes_back_is_listed_again() -> None:
    left = ROSTER.updated([A, B], [C.instance], A.instance)
    back = left.updated([A, B, C], [], A.instance)
    assert names(back.members) == ["db-a", "db-b", "db-c"]
    assert back.covered == ()


def test_covered_members_are_forgotten_at_last() -> None:
    roster = ROSTER
    for number in range(MAXIMUM_COVERED + 3):
        roster = roster.updated([A, B], [InstanceId(f"old-{number}")], A.instance)
    assert len(roster.covered) == MAXIMUM_COVERED
    assert roster.covered[-1] == f"old-{MAXIMUM_COVERED + 2}"


@pytest.mark.parametrize(("leader", "expected"), [(None, True), (A.instance, False)])
def test_an_accepted_loss_is_over_once_the_group_is_led(
    leader: InstanceId | None, expected: bool
) -> None:
    accepted = Roster(GROUP, REVISION, (A, B), loss_accepted=True)
    assert accepted.updated([A, B], [], leader).loss_accepted is expected


def test_a_restored_store_takes_no_member_away() -> None:
    restored = Roster(GROUP, Revision(1, 3), (A, B))
    former = Roster(GROUP, REVISION, (A, C), covered=(B.instance,))
    found = restored.with_members_of(former)
    assert names(found.members) == ["db-a", "db-c"]
    assert found.revision == restored.revision


def test_a_written_roster_is_read_as_it_was() -> None:
    roster = Roster(GROUP, REVISION, (A, OLD_B), (C.instance,), OLD_B.instance, True)
    assert _parse_roster(GROUP, StoredObject(GROUP, REVISION, _roster_spec(roster), None)) == roster


@pytest.mark.parametrize("field", ["members", "covered", "leader"])
@pytest.mark.parametrize("value", [7, "db-a", [None], [{"host": "x"}], {"name": None}])
def test_an_unreadable_roster_names_nobody(field: str, value: Any) -> None:
    spec = {**_roster_spec(ROSTER), field: value}
    if field == "leader" and value == {"name": None}:
        value = spec[field] = {}
    with pytest.raises(StoreFormatError):
        _parse_roster(GROUP, StoredObject(GROUP, REVISION, spec, None))


@pytest.mark.parametrize(
    ("received", "proof_at", "expected"),
    [(9, 11.0, True), (8, 11.0, False), (9, 10.0, False), (9, 9.0, False)],
    ids=["reached", "behind", "proof at the end", "proof before the end"],
)
def test_an_ended_member_is_covered_by_what_followed_its_end(
    received: int, proof_at: float, expected: bool
) -> None:
    ends = MemberEnds()
    ends.record_ended(C.instance, 10.0)
    ends.record_ended(C.instance, 12.0)
    mark = Watermark(Position(1, 9), proof_at, 1)
    assert ends.is_covered(C.instance, Position(1, received), mark) is expected
    ends.record_running(C.instance)
    assert not ends.is_covered(C.instance, Position(1, received), mark)


@pytest.mark.parametrize(
    ("awaited", "missing_for", "synchronous", "expected"),
    [
        (0, None, True, True),
        (0, PATIENCE_SECONDS - 0.1, True, True),
        (0, PATIENCE_SECONDS, True, False),
        (0, 100.0, False, True),
        (1, 0.0, True, False),
    ],
    ids=["just lost", "a change", "longer than a change", "no synchronous replica", "a log"],
)
def test_statements_wait_only_for_a_leader_that_can_be_expected(
    awaited: int, missing_for: float | None, synchronous: bool, expected: bool
) -> None:
    outlook = LeaderOutlook()
    outlook.awaited_logs = awaited
    now = 1_000.0
    since = None if missing_for is None else now - missing_for
    assert outlook.expects_leader(since, synchronous, now) is expected


def test_a_leader_is_searched_for_first_in_a_group_that_was_not_used() -> None:
    outlook = LeaderOutlook()
    outlook.record_first_use(1_000.0)
    assert outlook.expects_leader(900.0, True, 1_001.0)
