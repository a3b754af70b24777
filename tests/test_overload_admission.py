"""Who is refused as they arrive: only what surely can't end, and that at once."""

import random

import pytest

from bramblebeam.core.identity import GroupId
from bramblebeam.core.overload.admission import (
    MAX_TRACKED_REFUSALS,
    MAX_WAIT_SHARE,
    STALE_SECONDS,
    AdmissionRecord,
    AdmissionRecords,
    KnownWait,
    NoKnownLoads,
    refuse_early,
)
from bramblebeam.core.overload.ports import Estimate
from bramblebeam.core.overload.work import Work
from overload_callers import (
    AIM,
    CAPACITY,
    KIND,
    PATIENCE,
    TENANT,
    Callers,
    Policy,
    arrivals,
)

NOW = 100.0
MOST_WAIT = MAX_WAIT_SHARE * 0.4
"""Of `work()`, whose answer is wanted within 0.4 s."""
SEEDS = range(5)


def work(timeout: float = 1.0, aim: float = 0.4) -> Work:
    return Work(KIND, TENANT, 0, NOW, NOW + aim, NOW + timeout)


def told(wait: float, age: float = 0.0, mean: float = 0.02, spread: float = 0.0) -> KnownWait:
    return KnownWait(wait, Estimate(mean, spread), NOW - age)


@pytest.mark.parametrize(
    ("known", "ranks_below", "is_refused"),
    [
        pytest.param(None, 0, False, id="nothing is known"),
        pytest.param(told(0.0, mean=5.0), 0, False, id="a slot is free: never refused"),
        pytest.param(told(MOST_WAIT - 0.01), 0, False, id="it begins soon enough"),
        pytest.param(told(MOST_WAIT + 0.01), 0, True, id="it begins too late"),
        pytest.param(told(0.1, mean=0.95), 0, True, id="it ends after its deadline"),
        pytest.param(told(0.1, mean=0.95, spread=0.1), 0, False, id="it may be a short one"),
        pytest.param(told(0.1, mean=0.95, spread=9.0), 0, False, id="a spread beyond its mean"),
        pytest.param(told(0.4, age=0.1), 0, True, id="not yet worked off"),
        pytest.param(told(0.4, age=0.3), 0, False, id="may be worked off meanwhile"),
        pytest.param(told(9.0, age=STALE_SECONDS + 0.01), 0, False, id="stale"),
        pytest.param(told(9.0, age=-1.0), 0, True, id="told by a clock ahead"),
        pytest.param(told(1.9 * MOST_WAIT), 1, False, id="one class is less urgent: passed"),
        pytest.param(told(2.1 * MOST_WAIT), 1, True, id="too long also for the urgent"),
        pytest.param(told(1.1 * MOST_WAIT), -1, True, id="an absurd rank counts as the lowest"),
    ],
)
def test_what_surely_waits_for_too_long_is_refused(
    known: KnownWait | None, ranks_below: int, is_refused: bool
) -> None:
    refused = refuse_early(work(), known, ranks_below, NOW)
    assert (refused is not None) == is_refused


@pytest.mark.parametrize(
    ("wait", "first", "again"),
    [
        pytest.param(0.9 * MOST_WAIT, False, False, id="room for both"),
        pytest.param(1.1 * MOST_WAIT, True, False, id="who keeps its moment is next"),
        pytest.param(2.0 * MOST_WAIT, True, True, id="the queue grew beyond"),
    ],
)
def test_who_comes_back_as_told_is_turned_away_after_new_ones(
    wait: float, first: bool, again: bool
) -> None:
    known = told(wait)
    assert (refuse_early(work(), known, 0, NOW) is not None) == first
    assert (refuse_early(work(), known, 0, NOW, returns=True) is not None) == again


def test_the_refused_are_told_when_there_will_be_room() -> None:
    refused = refuse_early(work(), told(1.5), 0, NOW)
    assert refused is not None
    assert refused.room_in == pytest.approx(1.5 - MOST_WAIT)


def test_a_node_that_nobody_told_anything_knows_no_wait() -> None:
    assert NoKnownLoads().wait(group=None, at_leader=True, now=NOW) is None  # type: ignore[arg-type]


def test_a_refusal_was_wrong_if_a_slot_was_free_while_it_could_still_begin() -> None:
    record = AdmissionRecord()
    record.record_refusal(work(timeout=1.0, aim=1.5), 0.02, NOW)
    record.record_refusal(work(timeout=3.0, aim=2.5), 0.02, NOW)
    record.record_idle_slot(NOW + 2.0)
    assert record.counts().wrong_refusals == 1
    record.record_idle_slot(NOW + 2.5)
    assert record.counts().wrong_refusals == 1, "each is counted once"


def test_refusals_without_end_are_remembered_up_to_a_bound() -> None:
    record = AdmissionRecord()
    for _ in range(10 * MAX_TRACKED_REFUSALS):
        record.record_refusal(work(), 0.02, NOW)
    record.record_idle_slot(NOW)
    assert record.counts().wrong_refusals == MAX_TRACKED_REFUSALS


@pytest.mark.parametrize(
    ("waited", "in_vain"),
    [pytest.param(0.09, 0, id="soon enough"), pytest.param(0.11, 1, id="over a quarter")],
)
def test_who_waits_long_and_is_refused_was_held_in_vain(waited: float, in_vain: int) -> None:
    record = AdmissionRecord()
    record.record_unstarted(waited, wanted_within=0.4)
    assert record.counts().wasted_waits == in_vain


def test_a_slot_that_is_free_elsewhere_makes_no_refusal_wrong() -> None:
    records = AdmissionRecords()
    first, second = GroupId("first"), GroupId("second")
    records.of(first, at_leader=True).record_refusal(work(), 0.02, NOW)
    records.of(first, at_leader=False).record_idle_slot(NOW)
    records.of(second, at_leader=True).record_idle_slot(NOW)
    assert records.counts().wrong_refusals == 0
    records.of(first, at_leader=True).record_idle_slot(NOW)
    records.keep_only(frozenset({second}))
    assert records.counts().wrong_refusals == 1, "what was counted stays counted"


# Loads, against a database of five slots that serves first come.


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [0.7, 0.95])
def test_nobody_is_refused_below_the_capacity(load: float, seed: int) -> None:
    """A threshold that refuses here costs served callers, and gains nobody anything."""
    callers = Callers(Policy())
    seen = callers.play(arrivals(seed, lambda now: load, 10.0), 12.0)
    assert not seen.refused


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [1.2, 2.0])
def test_above_the_capacity_most_slots_serve_in_time(load: float, seed: int) -> None:
    """Four fifths of what the database can do come when they are wanted, first come, first served:
    the rest are late answers to callers who came back. Without admission all are late."""
    goodput = {}
    for admits in (True, False):
        seen = Callers(Policy(admits=admits)).play(arrivals(seed, lambda now: load, 10.0), 10.0)
        goodput[admits] = seen.goodput(2.0, 10.0)
    assert goodput[True] >= 0.8 * CAPACITY
    assert goodput[False] <= 0.2 * CAPACITY


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [1.2, 2.0])
def test_above_the_capacity_hardly_anybody_is_held_in_vain(load: float, seed: int) -> None:
    """Callers who repeat twice need their refusal while the repeat can still be served.

    Without admission each waits for its whole time. One told 50 ms ago may still wait in vain, by
    as much as the queue has grown since; that is bounded by a hundredth of all.
    """
    policies = {"with": Policy(), "without": Policy(admits=False)}
    held, wrong, refused = {}, {}, {}
    for name, policy in policies.items():
        callers = Callers(policy)
        seen = callers.play(arrivals(seed, lambda now: load, 10.0), 10.0)
        held[name] = callers.record.counts().wasted_waits
        wrong[name] = callers.record.counts().wrong_refusals
        refused[name] = seen.refused.total()
    offered = load * CAPACITY * 10.0
    assert held["with"] <= 0.01 * offered
    assert held["with"] < held["without"]
    assert wrong["with"] <= 0.01 * refused["with"]


@pytest.mark.parametrize("seed", SEEDS)
def test_what_waits_for_callers_who_left_takes_no_slot_from_others(seed: int) -> None:
    """Load: 1.5 times the capacity, and half of the callers leave at half of their aim."""

    def leaves_after(numbers: random.Random) -> float:
        return AIM / 2 if numbers.random() < 0.5 else PATIENCE

    goodput = {}
    for withdraws in (False, True):
        callers = Callers(Policy(withdraws=withdraws))
        load = arrivals(seed, lambda now: 1.5, 8.0, leaves_after)
        seen = callers.play(load, 10.0)
        assert (seen.begun_for_nobody == 0) == withdraws
        goodput[withdraws] = seen.goodput(1.0, 8.0)
    assert goodput[True] > goodput[False]


def test_a_deadline_before_the_aim_bounds_the_wait() -> None:
    early = work(timeout=0.2, aim=9.0)
    assert refuse_early(early, told(0.9 * MAX_WAIT_SHARE * 0.2), 0, NOW) is None
    assert refuse_early(early, told(1.1 * MAX_WAIT_SHARE * 0.2), 0, NOW) is not None
