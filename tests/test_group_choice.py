"""Choice of the member that an attempt to change the primary promotes."""

import pytest

from bramblebeam.core.group.change import Change, ChangePhase
from bramblebeam.core.group.events import Cause, CommandOutcome
from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import InstanceId, Position
from bramblebeam.core.role import Role

OLD, SECOND, THIRD = InstanceId("a"), InstanceId("b"), InstanceId("c")


def status(instance: InstanceId, offset: int) -> MemberStatus:
    last = Position(1, offset)
    return MemberStatus(instance, 1, Role.REPLICA, last, last, 0, 900, "a", 2, False)


def attempt(cause: Cause, *promised: tuple[InstanceId, int]) -> Change:
    change = Change(
        cause, ChangePhase.PROMISING, 0.0, 1.0, (OLD, SECOND, THIRD), old_primary=OLD, term=2
    )
    for instance, offset in promised:
        change.record_promise(instance, CommandOutcome.DONE, status(instance, offset), 0.1)
    return change


def test_primary_cut_off_from_its_replicas_is_not_promoted_again() -> None:
    change = attempt(Cause.CONTACT_LOST, (OLD, 30), (SECOND, 20), (THIRD, 21))
    assert change.choose() == THIRD


def test_lost_primary_is_chosen_if_the_others_are_no_majority() -> None:
    change = attempt(Cause.CONTACT_LOST, (OLD, 30), (SECOND, 20))
    assert change.choose() == OLD, "it may have acknowledged writes that the other one lacks"


@pytest.mark.parametrize("cause", [Cause.TERM_PROMISED, Cause.NO_PRIMARY])
def test_working_primary_stays(cause: Cause) -> None:
    change = attempt(cause, (OLD, 30), (SECOND, 20), (THIRD, 21))
    assert change.choose() == OLD
