"""Databases that get no reads for a while, and how they come back.

The trouble that this answers: databases that fail part of their requests fast while they say that
they are well, hang, turn slow, or go down and up by turns.
"""

import pytest

from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.ejection import (
    FIRST_EJECTION,
    MAX_EJECTION,
    MIN_ATTEMPTS,
    MIN_SERVED,
    PROBE_INTERVAL,
    PROBES,
    SLOW_FACTOR,
    SLOW_START,
    SLOW_START_SHARE,
    Cause,
    EjectionState,
    EjectionStateChange,
    Ejector,
)

A, B = InstanceId("a"), InstanceId("b")
GAP = 0.02
"""Between statements (seconds)."""
SERVICE = 0.03


class Bench:
    """One database under a row of statements."""

    def __init__(self) -> None:
        self.ejector = Ejector()
        self.now = 10.0
        self.changes: list[EjectionStateChange] = []

    def play(self, outcomes: str, gap: float = GAP) -> None:
        """Play statements: '+' served, '-' in vain, '~' silence."""
        for outcome in outcomes:
            began, self.now = self.now, self.now + gap
            if outcome == "+":
                change = self.ejector.record_served(A, SERVICE, began, self.now)
            elif outcome == "-":
                change = self.ejector.record_failed(A, began, self.now)
            else:
                change = self.ejector.record_unresponsive(A, began, self.now)
            if change is not None:
                self.changes.append(change)

    @property
    def standing(self) -> EjectionState:
        return self.ejector.state(A, self.now)

    def is_usable(self) -> bool:
        return A in self.ejector.usable([A, B], self.now)

    def wait_for_probation(self) -> None:
        while self.standing is EjectionState.EJECTED:
            self.now += GAP

    def come_back(self) -> None:
        self.wait_for_probation()
        self.play("+" * PROBES)
        assert self.standing is EjectionState.IN_SERVICE


@pytest.mark.parametrize(
    ("outcomes", "cause"),
    [
        pytest.param("+" * 50, None, id="well"),
        pytest.param("--", None, id="two in vain out of two"),
        pytest.param("+" * 20 + "---", None, id="three in vain after many"),
        pytest.param("+++++++++-" * 10, None, id="a tenth in vain"),
        pytest.param("-" * int(MIN_ATTEMPTS + 2), Cause.FAILING, id="all in vain"),
        pytest.param("+-" * 10, Cause.FAILING, id="half in vain"),
        pytest.param("+++-" * 30, Cause.FAILING, id="a quarter in vain"),
        pytest.param("+" * 20 + "~", Cause.SILENT, id="silence"),
    ],
)
def test_what_a_database_is_ejected_for(outcomes: str, cause: Cause | None) -> None:
    bench = Bench()
    bench.play(outcomes)
    causes = [change.cause for change in bench.changes[:1]]
    assert causes == ([] if cause is None else [cause])


def test_failures_long_ago_do_not_add_up() -> None:
    bench = Bench()
    for _ in range(20):
        bench.play("-")
        bench.now += 5.0
    assert bench.changes == []


@pytest.mark.parametrize(
    ("times", "others", "is_slow"),
    [
        pytest.param(1.0, [SERVICE], False, id="as the others"),
        pytest.param(SLOW_FACTOR * 0.9, [SERVICE], False, id="slower"),
        pytest.param(SLOW_FACTOR * 1.2, [SERVICE], True, id="slower by far"),
        pytest.param(SLOW_FACTOR * 1.2, [], False, id="nothing to compare with"),
        pytest.param(1.2, [SERVICE, 10 * SERVICE], False, id="another one is slow"),
    ],
)
def test_one_that_is_slow_against_its_like_is_ejected(
    times: float, others: list[float], is_slow: bool
) -> None:
    ejector = Ejector()
    for number in range(int(MIN_SERVED)):
        ejector.record_served(A, SERVICE * times, number * GAP, number * GAP + GAP)
    change = ejector.compare(A, others, 1.0)
    assert (change is not None and change.cause is Cause.SLOW) is is_slow


def test_a_few_answers_say_nothing_of_speed() -> None:
    ejector = Ejector()
    for number in range(int(MIN_SERVED) - 1):
        ejector.record_served(A, 1.0, number * GAP, number * GAP + GAP)
    assert ejector.service_time(A) is None
    assert ejector.compare(A, [SERVICE], 1.0) is None


def test_an_ejected_one_gets_no_reads_until_its_time_is_over() -> None:
    bench = Bench()
    bench.play("~")
    assert not bench.is_usable()
    bench.now += FIRST_EJECTION - GAP
    assert not bench.is_usable()
    bench.now += 2 * GAP
    assert bench.standing is EjectionState.ON_PROBATION
    assert bench.is_usable()


def test_probation_is_a_few_reads_apart_from_each_other() -> None:
    bench = Bench()
    bench.play("~")
    bench.wait_for_probation()
    bench.ejector.record_sent(A, bench.now)
    assert not bench.is_usable()
    bench.now += PROBE_INTERVAL
    assert bench.is_usable()
    bench.play("+" * (PROBES - 1))
    assert bench.standing is EjectionState.ON_PROBATION
    bench.play("+")
    assert bench.standing is EjectionState.IN_SERVICE
    assert bench.changes[-1].standing is EjectionState.IN_SERVICE


@pytest.mark.parametrize("outcome", ["-", "~"])
def test_one_read_in_vain_ends_a_probation(outcome: str) -> None:
    bench = Bench()
    bench.play("~")
    bench.wait_for_probation()
    bench.play("+" + outcome)
    assert bench.standing is EjectionState.EJECTED
    assert [change.seconds for change in bench.changes] == [FIRST_EJECTION, 2 * FIRST_EJECTION]


@pytest.mark.parametrize("outcome", ["+", "-", "~"])
def test_what_was_sent_before_an_ejection_says_nothing_of_the_time_after_it(outcome: str) -> None:
    bench = Bench()
    sent_at = bench.now
    bench.play("~")
    bench.wait_for_probation()
    found = {
        "+": lambda: bench.ejector.record_served(A, SERVICE, sent_at, bench.now),
        "-": lambda: bench.ejector.record_failed(A, sent_at, bench.now),
        "~": lambda: bench.ejector.record_unresponsive(A, sent_at, bench.now),
    }
    assert [found[outcome]() for _ in range(20)] == [None] * 20
    assert bench.standing is EjectionState.ON_PROBATION


def test_ejections_in_a_row_last_longer_up_to_a_bound() -> None:
    bench = Bench()
    for _ in range(6):
        bench.play("~")
        bench.come_back()
    seconds = [found.seconds for found in bench.changes if found.state is EjectionState.EJECTED]
    assert seconds[:3] == [FIRST_EJECTION, 2 * FIRST_EJECTION, 4 * FIRST_EJECTION]
    assert max(seconds) == MAX_EJECTION


def test_after_a_calm_time_an_ejection_is_as_short_as_the_first() -> None:
    bench = Bench()
    for _ in range(3):
        bench.play("~")
        bench.come_back()
    bench.now += 60.0
    bench.play("~")
    assert bench.changes[-1].seconds == FIRST_EJECTION


def test_one_that_is_back_starts_slowly() -> None:
    bench = Bench()
    bench.play("~")
    bench.come_back()
    early = sum(bench.is_usable() for _ in range(100))
    assert early == pytest.approx(100 * SLOW_START_SHARE, abs=1)
    bench.now += SLOW_START
    assert all(bench.is_usable() for _ in range(100))


def test_the_last_ones_are_never_all_ejected() -> None:
    bench = Bench()
    bench.play("~")
    assert bench.ejector.usable([A], bench.now) == [A]
    bench.ejector.record_unresponsive(B, bench.now, bench.now + GAP)
    assert bench.ejector.usable([A, B], bench.now) == [A, B]


def test_databases_that_are_gone_are_forgotten() -> None:
    bench = Bench()
    bench.play("~")
    bench.ejector.keep_only([B])
    assert bench.standing is EjectionState.IN_SERVICE
