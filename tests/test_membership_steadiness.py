"""When a node may rely on its member table to name every node that is alive."""

from typing import NamedTuple

import pytest

from bramblebeam.core.identity import Address, NodeId, NodeSpec, ZoneId
from bramblebeam.core.membership.steadiness import (
    GONE_SECONDS,
    UNSTEADY_SECONDS,
    MembersSteadiness,
)
from bramblebeam.core.membership.view import Member, MemberState, MembersView

ALIVE, LEAVING = MemberState.ALIVE, MemberState.LEAVING
SOON, LATER = UNSTEADY_SECONDS / 2, UNSTEADY_SECONDS + 1.0


class Step(NamedTuple):
    """A change of the member table, `after` seconds from the one before."""

    after: float
    members: dict[str, MemberState]


def view(states: dict[str, MemberState]) -> MembersView:
    address = Address("127.0.0.1", 1)
    members = {}
    for name, state in states.items():
        spec = NodeSpec(NodeId(name), ZoneId("a"), "home", address, address, address)
        members[NodeId(name)] = Member(spec, 1, state)
    return MembersView(members)


BOTH = Step(0.0, {"a": ALIVE, "b": ALIVE})


@pytest.mark.parametrize(
    ("steps", "asked_after", "expected"),
    [
        pytest.param([BOTH], LATER, True, id="nothing changed for a while"),
        pytest.param([BOTH], SOON, False, id="just met"),
        pytest.param([BOTH, Step(LATER, {"a": ALIVE})], LATER, False, id="one was lost"),
        pytest.param(
            [BOTH, Step(LATER, {"a": ALIVE})], GONE_SECONDS + 1.0, True, id="lost for good"
        ),
        pytest.param(
            [BOTH, Step(LATER, {"a": ALIVE}), Step(LATER, BOTH.members)],
            SOON,
            False,
            id="just came back",
        ),
        pytest.param(
            [BOTH, Step(LATER, {"a": ALIVE}), Step(LATER, BOTH.members)],
            LATER,
            True,
            id="came back a while ago",
        ),
        pytest.param(
            [BOTH, Step(LATER, {"a": ALIVE, "b": LEAVING}), Step(1.0, {"a": ALIVE})],
            LATER,
            True,
            id="left as planned",
        ),
        pytest.param(
            [BOTH, Step(LATER, {**BOTH.members, "c": ALIVE})], SOON, False, id="a new one came"
        ),
    ],
)
def test_a_node_that_was_cut_off_does_not_count_as_knowing_all(
    steps: list[Step], asked_after: float, expected: bool
) -> None:
    """Found on a grown day: ONE 3, two seconds after a cut of 12 seconds had healed."""
    steadiness = MembersSteadiness()
    steadiness.restart(0.0)
    now = 0.0
    for step in steps:
        now += step.after
        steadiness.update(view(step.members), now)
    assert steadiness.knows_all(now + asked_after) is expected
