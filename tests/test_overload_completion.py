"""Which database a read goes to, by its expected completion.

The load that this answers: regions whose demand stands at half and at one and a half of the mean by
turns, and a leader that must run the writes beside reads.
"""

from collections import Counter

import pytest

from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.completion import (
    LEAVE_MARGIN,
    MAX_LEAVING_SHARE,
    STAY_MARGIN,
    Candidate,
    ReadChooser,
    expected_completion,
)

A, B, C = InstanceId("a"), InstanceId("b"), InstanceId("c")
SERVICE = 0.03
WAY = 0.06
NEAR = Candidate(A, wait=0.0, service=SERVICE, slots=6)
FAR = Candidate(B, wait=0.0, service=SERVICE, network_cost=WAY, slots=6, is_far=True)


def choices(candidates: list[Candidate], number: int = 100) -> Counter[InstanceId]:
    chooser = ReadChooser()
    found = [chooser.choose(candidates) for _ in range(number)]
    return Counter(chosen.instance for chosen in found if chosen is not None)


def test_without_a_candidate_there_is_no_choice() -> None:
    assert ReadChooser().choose([]) is None


@pytest.mark.parametrize(
    ("candidate", "seconds"),
    [
        pytest.param(NEAR, SERVICE, id="idle"),
        pytest.param(NEAR._replace(wait=0.1), 0.1 + SERVICE, id="a queue"),
        pytest.param(FAR, SERVICE + WAY, id="far"),
        pytest.param(NEAR._replace(connect_time=0.02), SERVICE + 0.02, id="a connection to open"),
        pytest.param(NEAR._replace(sent=12), 2 * SERVICE + SERVICE, id="two rounds sent since"),
        pytest.param(NEAR._replace(error_share=0.2), 1.2 * SERVICE, id="a fifth in vain"),
        pytest.param(
            NEAR._replace(wait=0.1, is_leader=True), 0.2 + SERVICE, id="a queue at the leader"
        ),
        pytest.param(NEAR._replace(is_leader=True), SERVICE, id="an idle leader"),
    ],
)
def test_the_expected_completion(candidate: Candidate, seconds: float) -> None:
    assert expected_completion(candidate) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("wait", "leaves"),
    [
        pytest.param(0.0, False, id="idle here"),
        pytest.param(WAY, False, id="as long as the way"),
        pytest.param(WAY + LEAVE_MARGIN / 2, False, id="within the margin"),
        pytest.param(WAY + LEAVE_MARGIN * 1.5, True, id="beyond the margin"),
    ],
)
def test_reads_leave_their_region_once_waiting_costs_more_than_the_way(
    wait: float, leaves: bool
) -> None:
    assert (choices([NEAR._replace(wait=wait), FAR])[B] > 0) is leaves


def test_no_more_than_a_part_of_the_reads_leaves_for_a_queue() -> None:
    left = choices([NEAR._replace(wait=1.0), FAR], 1000)[B]
    assert 0.9 * MAX_LEAVING_SHARE * 1000 <= left <= 1.05 * MAX_LEAVING_SHARE * 1000


def test_all_reads_leave_where_no_near_database_can_serve() -> None:
    assert choices([FAR, FAR._replace(instance=C, wait=1.0)]) == {B: 100}


def test_a_region_does_not_change_its_mind_within_the_margins() -> None:
    """The wait goes up and down by less than the margins are apart: reads leave, or they don't."""
    chooser = ReadChooser()
    middle = WAY + (LEAVE_MARGIN + STAY_MARGIN) / 2

    def leaves(wait: float) -> bool:
        found = chooser.choose([NEAR._replace(wait=wait), FAR])
        return found is not None and found.is_far

    assert not any(leaves(middle + shift) for shift in (0.004, -0.004) * 20)
    assert leaves(WAY + 2 * LEAVE_MARGIN)
    # Every second one may, by the bound on the part that leaves.
    assert sum(leaves(middle + shift) for shift in (0.004, -0.004) * 20) >= 10
    assert not leaves(WAY - 0.01)
    assert not any(leaves(middle + shift) for shift in (0.004, -0.004) * 20)


@pytest.mark.parametrize(
    ("second", "least", "most"),
    [
        pytest.param(0.0, 50, 50, id="equal ones alternate"),
        pytest.param(0.1, 40, 50, id="a close one gets nearly as many"),
        pytest.param(0.5, 0, 0, id="one that is slower by far gets none"),
    ],
)
def test_close_candidates_are_shared(second: float, least: int, most: int) -> None:
    other = NEAR._replace(instance=C, service=SERVICE * (1.0 + second))
    assert least <= choices([NEAR, other])[C] <= most


def test_reads_keep_off_a_leader_with_a_queue() -> None:
    leader = NEAR._replace(wait=0.04, is_leader=True)
    replica = NEAR._replace(instance=C, wait=0.06)
    assert choices([leader, replica]) == {C: 100}
