"""Choice of the database for a read by its expected completion time.

Guards against regions whose demand alternates between half and one and a half of the mean, and
against reads that delay the writes of a leader.
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
ROUND_TRIP = 0.06
NEAR = Candidate(A, wait=0.0, service=SERVICE, slots=6)
FAR = Candidate(B, wait=0.0, service=SERVICE, network_cost=ROUND_TRIP, slots=6, is_far=True)


def choices(candidates: list[Candidate], number: int = 100) -> Counter[InstanceId]:
    chooser = ReadChooser()
    found = [chooser.choose(candidates) for _ in range(number)]
    return Counter(chosen.instance for chosen in found if chosen is not None)


def test_no_candidates() -> None:
    assert ReadChooser().choose([]) is None


@pytest.mark.parametrize(
    ("candidate", "seconds"),
    [
        pytest.param(NEAR, SERVICE, id="idle"),
        pytest.param(NEAR._replace(wait=0.1), 0.1 + SERVICE, id="queue"),
        pytest.param(FAR, SERVICE + ROUND_TRIP, id="far"),
        pytest.param(NEAR._replace(connect_time=0.02), SERVICE + 0.02, id="connection to open"),
        pytest.param(
            NEAR._replace(sent=12), 2 * SERVICE + SERVICE, id="two rounds sent since the report"
        ),
        pytest.param(NEAR._replace(error_share=0.2), 1.2 * SERVICE, id="a fifth fails"),
        pytest.param(
            NEAR._replace(wait=0.1, is_leader=True), 0.2 + SERVICE, id="queue at the leader"
        ),
        pytest.param(NEAR._replace(is_leader=True), SERVICE, id="idle leader"),
    ],
)
def test_expected_completion(candidate: Candidate, seconds: float) -> None:
    assert expected_completion(candidate) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("wait", "leaves"),
    [
        pytest.param(0.0, False, id="idle"),
        pytest.param(ROUND_TRIP, False, id="as long as the round trip"),
        pytest.param(ROUND_TRIP + LEAVE_MARGIN / 2, False, id="within the margin"),
        pytest.param(ROUND_TRIP + LEAVE_MARGIN * 1.5, True, id="beyond the margin"),
    ],
)
def test_reads_leave_a_region_if_waiting_exceeds_the_round_trip(wait: float, leaves: bool) -> None:
    assert (choices([NEAR._replace(wait=wait), FAR])[B] > 0) is leaves


def test_share_of_reads_that_leave_a_region_is_limited() -> None:
    left = choices([NEAR._replace(wait=1.0), FAR], 1000)[B]
    assert 0.9 * MAX_LEAVING_SHARE * 1000 <= left <= 1.05 * MAX_LEAVING_SHARE * 1000


def test_all_reads_leave_without_a_near_candidate() -> None:
    assert choices([FAR, FAR._replace(instance=C, wait=1.0)]) == {B: 100}


def test_hysteresis_between_the_margins() -> None:
    """The wait oscillates by less than the gap between the margins."""
    chooser = ReadChooser()
    middle = ROUND_TRIP + (LEAVE_MARGIN + STAY_MARGIN) / 2

    def leaves(wait: float) -> bool:
        found = chooser.choose([NEAR._replace(wait=wait), FAR])
        return found is not None and found.is_far

    assert not any(leaves(middle + shift) for shift in (0.004, -0.004) * 20)
    assert leaves(ROUND_TRIP + 2 * LEAVE_MARGIN)
    # The limit on the leaving share admits every second one.
    assert sum(leaves(middle + shift) for shift in (0.004, -0.004) * 20) >= 10
    assert not leaves(ROUND_TRIP - 0.01)
    assert not any(leaves(middle + shift) for shift in (0.004, -0.004) * 20)


@pytest.mark.parametrize(
    ("second", "least", "most"),
    [
        pytest.param(0.0, 50, 50, id="equal candidates alternate"),
        pytest.param(0.1, 40, 50, id="nearly equal candidates share"),
        pytest.param(0.5, 0, 0, id="much slower candidate gets none"),
    ],
)
def test_nearly_equal_candidates_share_the_reads(second: float, least: int, most: int) -> None:
    other = NEAR._replace(instance=C, service=SERVICE * (1.0 + second))
    assert least <= choices([NEAR, other])[C] <= most


def test_reads_avoid_a_leader_with_a_queue() -> None:
    leader = NEAR._replace(wait=0.04, is_leader=True)
    replica = NEAR._replace(instance=C, wait=0.06)
    assert choices([leader, replica]) == {C: 100}
