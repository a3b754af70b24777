"""Limits on statements in flight, and the expected time of a statement."""

import math

import pytest

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.overload.limits import RECOVERY_SECONDS, AdaptiveLimit, SlotAllowance
from bramblebeam.core.overload.service_times import ASSUMED_SECONDS, MAX_KINDS, ServiceTimes
from bramblebeam.core.overload.work import WorkKind


def kind(name: str) -> WorkKind:
    return WorkKind(name, Action.READ)


def test_limit_is_slots_plus_allowance() -> None:
    assert SlotAllowance(6, 2).allowed(0.0) == 8
    assert SlotAllowance(0, 0).allowed(0.0) == 1


def test_limit_drops_after_a_refusal_and_recovers() -> None:
    limit = SlotAllowance(3, 1)
    limit.refused(1.0)
    limit.refused(1.01)
    assert limit.allowed(1.01) == 3
    limit.refused(1.2)
    assert limit.allowed(1.2) == 2
    assert limit.allowed(1.2 + RECOVERY_SECONDS) == 3
    assert limit.allowed(1.2 + 9 * RECOVERY_SECONDS) == 4


def test_limit_is_at_least_one() -> None:
    limit = SlotAllowance(2, 0)
    for moment in range(20):
        limit.refused(moment / 10)
    assert limit.allowed(2.0) == 1


def test_new_bounds_apply_immediately() -> None:
    limit = SlotAllowance(6, 2)
    limit.allow(2, 0)
    assert limit.allowed(0.0) == 2


def test_adaptive_limit_grows_at_constant_answer_times() -> None:
    limit = AdaptiveLimit(20)
    for _ in range(200):
        limit.answered(0.02, limit.allowed(0.0), 0.0)
    assert limit.allowed(0.0) == 20


def test_adaptive_limit_falls_at_longer_answer_times() -> None:
    limit = AdaptiveLimit(40)
    for _ in range(200):
        limit.answered(0.02, limit.allowed(0.0), 0.0)
    for _ in range(50):
        limit.answered(0.08, limit.allowed(0.0), 0.0)
    assert limit.allowed(0.0) < 20


def test_adaptive_limit_does_not_grow_while_unused() -> None:
    limit = AdaptiveLimit(40)
    for _ in range(200):
        limit.answered(0.02, 1, 0.0)
    assert limit.allowed(0.0) <= 3


@pytest.mark.parametrize("seconds", [-1.0, 0.0, math.nan, math.inf])
def test_invalid_answer_time_is_ignored(seconds: float) -> None:
    limit = AdaptiveLimit(40)
    limit.answered(seconds, 1, 0.0)
    limit.answered(0.02, 1, 0.0)
    assert limit.allowed(0.0) >= 1


def test_unknown_kind_is_assumed_to_be_short() -> None:
    assert ServiceTimes().estimate(kind("new")).mean == ASSUMED_SECONDS


def test_times_per_kind_and_mean_of_all_for_a_new_kind() -> None:
    times = ServiceTimes()
    for _ in range(100):
        times.record(kind("short"), 0.01)
        times.record(kind("long"), 0.05)
    assert times.estimate(kind("short")).mean == pytest.approx(0.01)
    assert times.estimate(kind("long")).mean == pytest.approx(0.05)
    assert 0.02 < times.estimate(kind("new")).mean < 0.04
    assert times.estimate(kind("new")).spread > 0.01


def test_mean_follows_a_slowdown_within_twenty_statements() -> None:
    times = ServiceTimes()
    for _ in range(100):
        times.record(kind("a"), 0.01)
    for _ in range(20):
        times.record(kind("a"), 0.05)
    assert times.estimate(kind("a")).mean > 0.04


@pytest.mark.parametrize("seconds", [-0.1, math.nan, math.inf, 1e9])
def test_invalid_service_time_is_ignored(seconds: float) -> None:
    times = ServiceTimes()
    times.record(kind("a"), 0.01)
    times.record(kind("a"), seconds)
    assert times.estimate(kind("a")).mean == pytest.approx(0.01)


def test_number_of_kinds_is_bounded() -> None:
    times = ServiceTimes()
    for number in range(2 * MAX_KINDS):
        times.record(kind(f"k{number}"), 0.01)
    assert len(times._kinds) == MAX_KINDS
