"""Retry times of refused callers: in order of refusal, no faster than work completes."""

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
"""Interval between completions: five slots, 20 ms a statement."""
FAR_OFF = 60.0
BURST_FROM, BURST_TO = 4.0, 6.5
SEEDS = range(5)


def test_retries_are_scheduled_in_order_of_refusal() -> None:
    schedule = RetrySchedule()
    retry_times = [
        schedule.assign(CapacityEstimate(0.3, PACE), FAR_OFF, NOW).after for _ in range(50)
    ]
    assert retry_times[0] == pytest.approx(0.3)
    for earlier, later in pairwise(retry_times):
        assert later - earlier == pytest.approx(PACE / RETRY_SHARE)


def test_past_retry_times_do_not_delay_later_ones() -> None:
    schedule = RetrySchedule()
    for _ in range(10):
        schedule.assign(CapacityEstimate(0.3, PACE), FAR_OFF, NOW)
    later = NOW + 10.0
    assert schedule.assign(CapacityEstimate(0.2, PACE), FAR_OFF, later).after == pytest.approx(0.2)


def test_better_estimate_does_not_overtake_earlier_callers() -> None:
    schedule = RetrySchedule()
    first = schedule.assign(CapacityEstimate(1.0, PACE), FAR_OFF, NOW).after
    second = schedule.assign(CapacityEstimate(0.1, PACE), FAR_OFF, NOW + 0.1).after + 0.1
    assert second > first


@pytest.mark.parametrize("refused", [500, 5_000])
def test_callers_beyond_capacity_get_a_later_time_without_reservation(refused: int) -> None:
    schedule = RetrySchedule()
    retries = [schedule.assign(CapacityEstimate(0.2, PACE), 1.0, NOW) for _ in range(refused)]
    reserved = [found for found in retries if found.reserved]
    assert len(reserved) == pytest.approx(0.8 * RETRY_SHARE / PACE, abs=1.0)
    assert all(found.after <= 1.0 for found in reserved)
    later = [found.after for found in retries if not found.reserved]
    tenths = [sum(1.0 + k / 10 <= after < 1.1 + k / 10 for after in later) for k in range(10)]
    assert sum(tenths) == len(later)
    assert max(tenths) <= 1.2 * len(later) / 10 + 1


def test_unreserved_retries_do_not_delay_reserved_ones() -> None:
    """A burst that ended long ago must not delay the retry of the next refused caller."""
    schedule = RetrySchedule()
    for _ in range(10_000):
        schedule.assign(CapacityEstimate(0.2, PACE), 1.0, NOW)
    assert schedule.assign(CapacityEstimate(0.2, PACE), 1.0, NOW + 1.0).after == pytest.approx(0.2)


@pytest.mark.parametrize(
    ("capacity", "max_delay"),
    [
        pytest.param(CapacityEstimate(-5.0, -1.0), 1.0, id="negative values"),
        pytest.param(CapacityEstimate(0.0, 0.0), 0.0, id="no time left"),
        pytest.param(CapacityEstimate(3.0, 1.0), 0.5, id="capacity is far off"),
    ],
)
def test_invalid_estimates_give_no_negative_delay(
    capacity: CapacityEstimate, max_delay: float
) -> None:
    schedule = RetrySchedule()
    assert all(schedule.assign(capacity, max_delay, NOW).after >= 0.0 for _ in range(5))


def test_one_schedule_per_queue_and_removed_groups_are_forgotten() -> None:
    schedules = RetrySchedules()
    group, other = GroupId("one"), GroupId("two")
    leader = schedules.of(group, at_leader=True)
    assert schedules.of(group, at_leader=True) is leader
    assert schedules.of(group, at_leader=False) is not leader
    schedules.keep_only(frozenset({other}))
    assert schedules.of(group, at_leader=True) is not leader


@pytest.mark.parametrize(
    ("scheduled_at", "scheduled"),
    [
        pytest.param(None, False, id="no scheduled time"),
        pytest.param(NOW, True, id="exactly on time"),
        pytest.param(NOW + 0.9 * RETRY_TOLERANCE, True, id="slightly early"),
        pytest.param(NOW - 0.9 * RETRY_TOLERANCE, True, id="slightly late"),
        pytest.param(NOW + 2 * RETRY_TOLERANCE, False, id="too early"),
        pytest.param(NOW - 2 * RETRY_TOLERANCE, False, id="too late"),
    ],
)
def test_scheduled_retry_tolerance(scheduled_at: float | None, scheduled: bool) -> None:
    assert is_scheduled_retry(scheduled_at, NOW) == scheduled


# Load: 0.8 of the capacity, and 1.8 for 2.5 s; each refused caller retries twice.


def _burst(now: float) -> float:
    return 1.8 if BURST_FROM <= now < BURST_TO else 0.8


@pytest.mark.parametrize("seed", SEEDS)
def test_goodput_recovers_within_a_second_after_a_burst(seed: int) -> None:
    """Guards against a metastable state: retries after a burst must not keep the database full."""
    seen = Callers(Policy()).play(arrivals(seed, _burst, 12.0), 14.0)
    before = seen.goodput(1.0, BURST_FROM)
    after = seen.goodput(BURST_TO + 1.0, 12.0)
    assert after >= 0.95 * before


@pytest.mark.parametrize("seed", SEEDS)
def test_reserved_retries_are_spread(seed: int) -> None:
    """Reserved retries per 100 ms don't exceed their share of the work done in that time.

    A fixed delay for all repeats the peak of refusals.
    """
    peaks = {}
    for spreads in (False, True):
        seen = Callers(Policy(spreads=spreads)).play(arrivals(seed, _burst, 12.0), 14.0)
        retry_times = [int(retry_time * 10) for retry_time in seen.retries]
        peaks[spreads] = max(Counter(retry_times).values())
    assert peaks[True] <= 0.1 * CAPACITY * RETRY_SHARE + 1
    assert peaks[False] > 2 * peaks[True]
