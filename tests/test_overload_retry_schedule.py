"""When refused callers come back: in their order, no faster than work is done."""

from collections import Counter
from itertools import pairwise

import pytest

from bramblebeam.core.identity import GroupId
from bramblebeam.core.overload.retry_schedule import (
    RETRY_SHARE,
    RETRY_TOLERANCE,
    CapacityEstimate,
    RetrySchedule,
    RetrySchedules,
    is_scheduled_retry,
)
from overload_callers import CAPACITY, Callers, Policy, arrivals

NOW = 50.0
PACE = 0.004
"""Five slots, 20 ms a statement."""
FAR_OFF = 60.0
BURST_FROM, BURST_TO = 4.0, 6.5
SEEDS = range(5)


def test_who_was_refused_first_comes_back_first() -> None:
    schedule = RetrySchedule()
    moments = [schedule.assign(CapacityEstimate(0.3, PACE), FAR_OFF, NOW).after for _ in range(50)]
    assert moments[0] == pytest.approx(0.3)
    for earlier, later in pairwise(moments):
        assert later - earlier == pytest.approx(PACE / RETRY_SHARE)


def test_moments_that_have_passed_are_not_handed_out_again() -> None:
    schedule = RetrySchedule()
    for _ in range(10):
        schedule.assign(CapacityEstimate(0.3, PACE), FAR_OFF, NOW)
    later = NOW + 10.0
    assert schedule.assign(CapacityEstimate(0.2, PACE), FAR_OFF, later).after == pytest.approx(0.2)


def test_an_outlook_that_gets_better_does_not_pass_those_who_were_told_before() -> None:
    schedule = RetrySchedule()
    first = schedule.assign(CapacityEstimate(1.0, PACE), FAR_OFF, NOW).after
    second = schedule.assign(CapacityEstimate(0.1, PACE), FAR_OFF, NOW + 0.1).after + 0.1
    assert second > first


@pytest.mark.parametrize("refused", [500, 5_000])
def test_whom_there_is_no_room_for_is_told_a_later_moment_and_no_promise(refused: int) -> None:
    schedule = RetrySchedule()
    told = [schedule.assign(CapacityEstimate(0.2, PACE), 1.0, NOW) for _ in range(refused)]
    promised = [found for found in told if found.reserved]
    assert len(promised) == pytest.approx(0.8 * RETRY_SHARE / PACE, abs=1.0)
    assert all(found.after <= 1.0 for found in promised)
    later = [found.after for found in told if not found.reserved]
    tenths = [sum(1.0 + k / 10 <= after < 1.1 + k / 10 for after in later) for k in range(10)]
    assert sum(tenths) == len(later)
    assert max(tenths) <= 1.2 * len(later) / 10 + 1


def test_those_without_a_promise_keep_nobody_from_one() -> None:
    """A burst that ended long ago must not keep the next refused caller away."""
    schedule = RetrySchedule()
    for _ in range(10_000):
        schedule.assign(CapacityEstimate(0.2, PACE), 1.0, NOW)
    assert schedule.assign(CapacityEstimate(0.2, PACE), 1.0, NOW + 1.0).after == pytest.approx(0.2)


@pytest.mark.parametrize(
    ("outlook", "longest"),
    [
        pytest.param(CapacityEstimate(-5.0, -1.0), 1.0, id="negative figures"),
        pytest.param(CapacityEstimate(0.0, 0.0), 0.0, id="no time left"),
        pytest.param(CapacityEstimate(3.0, 1.0), 0.5, id="room is far off"),
    ],
)
def test_absurd_figures_hand_out_no_moment_in_the_past(
    outlook: CapacityEstimate, longest: float
) -> None:
    schedule = RetrySchedule()
    assert all(schedule.assign(outlook, longest, NOW).after >= 0.0 for _ in range(5))


def test_each_queue_has_its_schedule_and_former_groups_are_forgotten() -> None:
    schedules = RetrySchedules()
    group, other = GroupId("one"), GroupId("two")
    leader = schedules.of(group, at_leader=True)
    assert schedules.of(group, at_leader=True) is leader
    assert schedules.of(group, at_leader=False) is not leader
    schedules.keep_only(frozenset({other}))
    assert schedules.of(group, at_leader=True) is not leader


@pytest.mark.parametrize(
    ("told", "punctual"),
    [
        pytest.param(None, False, id="it was told nothing"),
        pytest.param(NOW, True, id="to the moment"),
        pytest.param(NOW + 0.9 * RETRY_TOLERANCE, True, id="a little early"),
        pytest.param(NOW - 0.9 * RETRY_TOLERANCE, True, id="a little late"),
        pytest.param(NOW + 2 * RETRY_TOLERANCE, False, id="too early: it did not wait"),
        pytest.param(NOW - 2 * RETRY_TOLERANCE, False, id="its moment has passed"),
    ],
)
def test_only_who_keeps_its_moment_returns(told: float | None, punctual: bool) -> None:
    assert is_scheduled_retry(told, NOW) == punctual


# Load: 0.8 of the capacity, and 1.8 for 2.5 s; each refused caller repeats twice.


def _burst(now: float) -> float:
    return 1.8 if BURST_FROM <= now < BURST_TO else 0.8


@pytest.mark.parametrize("seed", SEEDS)
def test_goodput_a_second_after_a_burst_equals_that_before_it(seed: int) -> None:
    """No metastable state: what the burst leaves behind must not keep the database full."""
    seen = Callers(Policy()).play(arrivals(seed, _burst, 12.0), 14.0)
    before = seen.goodput(1.0, BURST_FROM)
    after = seen.goodput(BURST_TO + 1.0, 12.0)
    assert after >= 0.95 * before


@pytest.mark.parametrize("seed", SEEDS)
def test_the_refused_do_not_return_into_one_peak(seed: int) -> None:
    """Promises bring no 100 ms more of them than their share of the work that is done in that time.
    A pause that is the same for all brings them as they were refused."""
    peaks = {}
    for spreads in (False, True):
        seen = Callers(Policy(spreads=spreads)).play(arrivals(seed, _burst, 12.0), 14.0)
        moments = [int(moment * 10) for moment in seen.returns]
        peaks[spreads] = max(Counter(moments).values())
    assert peaks[True] <= 0.1 * CAPACITY * RETRY_SHARE + 1
    assert peaks[False] > 2 * peaks[True]
