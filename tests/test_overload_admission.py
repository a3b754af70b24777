"""Early admission: refuses exactly the statements that certainly can't end in time."""

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
    CAPACITY,
    GIVE_UP_AFTER,
    KIND,
    SOFT_DEADLINE,
    TENANT,
    Callers,
    Policy,
    arrivals,
)

NOW = 100.0
MAX_WAIT = MAX_WAIT_SHARE * 0.4
"""For `work()`, whose soft deadline is 0.4 s after its arrival."""
SEEDS = range(5)


def work(timeout: float = 1.0, soft_deadline: float = 0.4) -> Work:
    return Work(KIND, TENANT, 0, NOW, NOW + soft_deadline, NOW + timeout)


def reported(wait: float, age: float = 0.0, mean: float = 0.02, spread: float = 0.0) -> KnownWait:
    return KnownWait(wait, Estimate(mean, spread), NOW - age)


@pytest.mark.parametrize(
    ("known", "lower_classes", "is_refused"),
    [
        pytest.param(None, 0, False, id="no known wait"),
        pytest.param(reported(0.0, mean=5.0), 0, False, id="free slot: never refused"),
        pytest.param(reported(MAX_WAIT - 0.01), 0, False, id="begins in time"),
        pytest.param(reported(MAX_WAIT + 0.01), 0, True, id="begins too late"),
        pytest.param(reported(0.1, mean=0.95), 0, True, id="ends after its deadline"),
        pytest.param(reported(0.1, mean=0.95, spread=0.1), 0, False, id="may be a short statement"),
        pytest.param(
            reported(0.1, mean=0.95, spread=9.0), 0, False, id="spread larger than the mean"
        ),
        pytest.param(reported(0.4, age=0.1), 0, True, id="queue not drained yet"),
        pytest.param(reported(0.4, age=0.3), 0, False, id="queue may have drained since"),
        pytest.param(reported(9.0, age=STALE_SECONDS + 0.01), 0, False, id="stale"),
        pytest.param(reported(9.0, age=-1.0), 0, True, id="reported by a clock that is ahead"),
        pytest.param(reported(1.9 * MAX_WAIT), 1, False, id="overtakes a lower class"),
        pytest.param(reported(2.1 * MAX_WAIT), 1, True, id="too long for a higher class too"),
        pytest.param(
            reported(1.1 * MAX_WAIT), -1, True, id="invalid class rank counts as the lowest"
        ),
    ],
)
def test_refuses_certainly_too_long_waits(
    known: KnownWait | None, lower_classes: int, is_refused: bool
) -> None:
    refused = refuse_early(work(), known, lower_classes, NOW)
    assert (refused is not None) == is_refused


@pytest.mark.parametrize(
    ("wait", "first", "again"),
    [
        pytest.param(0.9 * MAX_WAIT, False, False, id="capacity for both"),
        pytest.param(1.1 * MAX_WAIT, True, False, id="scheduled retry is next"),
        pytest.param(2.0 * MAX_WAIT, True, True, id="queue grew further"),
    ],
)
def test_scheduled_retries_are_refused_after_new_callers(
    wait: float, first: bool, again: bool
) -> None:
    known = reported(wait)
    assert (refuse_early(work(), known, 0, NOW) is not None) == first
    assert (refuse_early(work(), known, 0, NOW, is_retry=True) is not None) == again


def test_refusal_reports_time_until_capacity() -> None:
    refused = refuse_early(work(), reported(1.5), 0, NOW)
    assert refused is not None
    assert refused.room_in == pytest.approx(1.5 - MAX_WAIT)


def test_node_without_load_reports_knows_no_wait() -> None:
    assert NoKnownLoads().wait(group=None, at_leader=True, now=NOW) is None  # type: ignore[arg-type]


def test_refusal_is_wrong_if_a_slot_was_free_in_time() -> None:
    record = AdmissionRecord()
    record.record_refusal(work(timeout=1.0, soft_deadline=1.5), 0.02, NOW)
    record.record_refusal(work(timeout=3.0, soft_deadline=2.5), 0.02, NOW)
    record.record_idle_slot(NOW + 2.0)
    assert record.counts().wrong_refusals == 1
    record.record_idle_slot(NOW + 2.5)
    assert record.counts().wrong_refusals == 1, "each refusal is counted once"


def test_tracked_refusals_are_bounded() -> None:
    record = AdmissionRecord()
    for _ in range(10 * MAX_TRACKED_REFUSALS):
        record.record_refusal(work(), 0.02, NOW)
    record.record_idle_slot(NOW)
    assert record.counts().wrong_refusals == MAX_TRACKED_REFUSALS


@pytest.mark.parametrize(
    ("waited", "wasted"),
    [
        pytest.param(0.09, 0, id="short wait"),
        pytest.param(0.11, 1, id="over a quarter of the target"),
    ],
)
def test_refusal_after_a_long_wait_counts_as_wasted(waited: float, wasted: int) -> None:
    record = AdmissionRecord()
    record.record_unstarted(waited, target=0.4)
    assert record.counts().wasted_waits == wasted


def test_free_slot_of_another_queue_makes_no_refusal_wrong() -> None:
    records = AdmissionRecords()
    first, second = GroupId("first"), GroupId("second")
    records.of(first, at_leader=True).record_refusal(work(), 0.02, NOW)
    records.of(first, at_leader=False).record_idle_slot(NOW)
    records.of(second, at_leader=True).record_idle_slot(NOW)
    assert records.counts().wrong_refusals == 0
    records.of(first, at_leader=True).record_idle_slot(NOW)
    records.keep_only(frozenset({second}))
    assert records.counts().wrong_refusals == 1, "counts of removed groups are kept"


# Simulated loads against a database of five slots that serves first come, first served.


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [0.7, 0.95])
def test_nothing_is_refused_below_capacity(load: float, seed: int) -> None:
    """A threshold that refuses here would cost served callers and gain nothing."""
    callers = Callers(Policy())
    seen = callers.play(arrivals(seed, lambda now: load, 10.0), 12.0)
    assert not seen.refused


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [1.2, 2.0])
def test_goodput_above_capacity(load: float, seed: int) -> None:
    """Without admission the queue makes every answer late.

    With it, four fifths of the capacity produce timely answers at a first-come first-served
    database; the rest are late answers to callers that retried.
    """
    goodput = {}
    for admits in (True, False):
        seen = Callers(Policy(admits=admits)).play(arrivals(seed, lambda now: load, 10.0), 10.0)
        goodput[admits] = seen.goodput(2.0, 10.0)
    assert goodput[True] >= 0.8 * CAPACITY
    assert goodput[False] <= 0.2 * CAPACITY


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [1.2, 2.0])
def test_few_wasted_waits_above_capacity(load: float, seed: int) -> None:
    """Callers that retry twice must be refused while the retry can still be served.

    Without admission each waits for its whole timeout. With a report that is 50 ms old, a statement
    may still wait without success, as the queue has grown since; that is limited to a hundredth of
    all.
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
def test_statements_of_departed_callers_take_no_slot(seed: int) -> None:
    """Load: 1.5 times the capacity; half of the callers leave halfway to their soft deadline."""

    def leaves_after(numbers: random.Random) -> float:
        return SOFT_DEADLINE / 2 if numbers.random() < 0.5 else GIVE_UP_AFTER

    goodput = {}
    for withdraws in (False, True):
        callers = Callers(Policy(withdraws=withdraws))
        load = arrivals(seed, lambda now: 1.5, 8.0, leaves_after)
        seen = callers.play(load, 10.0)
        assert (seen.begun_for_departed == 0) == withdraws
        goodput[withdraws] = seen.goodput(1.0, 8.0)
    assert goodput[True] > goodput[False]


def test_deadline_before_the_soft_deadline_bounds_the_wait() -> None:
    early = work(timeout=0.2, soft_deadline=9.0)
    assert refuse_early(early, reported(0.9 * MAX_WAIT_SHARE * 0.2), 0, NOW) is None
    assert refuse_early(early, reported(1.1 * MAX_WAIT_SHARE * 0.2), 0, NOW) is not None
