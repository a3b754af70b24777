"""Ejection, probation and slow start of databases.

Guards against databases that fail part of their requests while they report that they are healthy,
hang, become slow, or flap.
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
    """One database that is sent a sequence of statements."""

    def __init__(self) -> None:
        self.ejector = Ejector()
        self.now = 10.0
        self.changes: list[EjectionStateChange] = []

    def play(self, outcomes: str, gap: float = GAP) -> None:
        """Play statements: '+' served, '-' failed, '~' unresponsive."""
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
    def state(self) -> EjectionState:
        return self.ejector.state(A, self.now)

    def is_usable(self) -> bool:
        return A in self.ejector.usable([A, B], self.now)

    def wait_for_probation(self) -> None:
        while self.state is EjectionState.EJECTED:
            self.now += GAP

    def finish_probation(self) -> None:
        self.wait_for_probation()
        self.play("+" * PROBES)
        assert self.state is EjectionState.IN_SERVICE


@pytest.mark.parametrize(
    ("outcomes", "cause"),
    [
        pytest.param("+" * 50, None, id="healthy"),
        pytest.param("--", None, id="two of two failed"),
        pytest.param("+" * 20 + "---", None, id="three failures after many successes"),
        pytest.param("+++++++++-" * 10, None, id="a tenth failed"),
        pytest.param("-" * int(MIN_ATTEMPTS + 2), Cause.FAILING, id="all failed"),
        pytest.param("+-" * 10, Cause.FAILING, id="half failed"),
        pytest.param("+++-" * 30, Cause.FAILING, id="a quarter failed"),
        pytest.param("+" * 20 + "~", Cause.SILENT, id="unresponsive"),
    ],
)
def test_causes_of_ejection(outcomes: str, cause: Cause | None) -> None:
    bench = Bench()
    bench.play(outcomes)
    causes = [change.cause for change in bench.changes[:1]]
    assert causes == ([] if cause is None else [cause])


def test_old_failures_do_not_accumulate() -> None:
    bench = Bench()
    for _ in range(20):
        bench.play("-")
        bench.now += 5.0
    assert bench.changes == []


@pytest.mark.parametrize(
    ("times", "others", "is_slow"),
    [
        pytest.param(1.0, [SERVICE], False, id="as fast as the others"),
        pytest.param(SLOW_FACTOR * 0.9, [SERVICE], False, id="slower"),
        pytest.param(SLOW_FACTOR * 1.2, [SERVICE], True, id="much slower"),
        pytest.param(SLOW_FACTOR * 1.2, [], False, id="no other database"),
        pytest.param(1.2, [SERVICE, 10 * SERVICE], False, id="another database is slow"),
    ],
)
def test_slow_database_is_ejected(times: float, others: list[float], is_slow: bool) -> None:
    ejector = Ejector()
    for number in range(int(MIN_SERVED)):
        ejector.record_served(A, SERVICE * times, number * GAP, number * GAP + GAP)
    change = ejector.compare(A, others, 1.0)
    assert (change is not None and change.cause is Cause.SLOW) is is_slow


def test_few_answers_give_no_service_time() -> None:
    ejector = Ejector()
    for number in range(int(MIN_SERVED) - 1):
        ejector.record_served(A, 1.0, number * GAP, number * GAP + GAP)
    assert ejector.service_time(A) is None
    assert ejector.compare(A, [SERVICE], 1.0) is None


def test_ejected_database_gets_no_reads_until_probation() -> None:
    bench = Bench()
    bench.play("~")
    assert not bench.is_usable()
    bench.now += FIRST_EJECTION - GAP
    assert not bench.is_usable()
    bench.now += 2 * GAP
    assert bench.state is EjectionState.ON_PROBATION
    assert bench.is_usable()


def test_probation_sends_a_few_spaced_reads() -> None:
    bench = Bench()
    bench.play("~")
    bench.wait_for_probation()
    bench.ejector.record_sent(A, bench.now)
    assert not bench.is_usable()
    bench.now += PROBE_INTERVAL
    assert bench.is_usable()
    bench.play("+" * (PROBES - 1))
    assert bench.state is EjectionState.ON_PROBATION
    bench.play("+")
    assert bench.state is EjectionState.IN_SERVICE
    assert bench.changes[-1].state is EjectionState.IN_SERVICE


@pytest.mark.parametrize("outcome", ["-", "~"])
def test_failed_read_ends_a_probation(outcome: str) -> None:
    bench = Bench()
    bench.play("~")
    bench.wait_for_probation()
    bench.play("+" + outcome)
    assert bench.state is EjectionState.EJECTED
    assert [change.seconds for change in bench.changes] == [FIRST_EJECTION, 2 * FIRST_EJECTION]


@pytest.mark.parametrize("outcome", ["+", "-", "~"])
def test_outcomes_from_before_an_ejection_are_ignored(outcome: str) -> None:
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
    assert bench.state is EjectionState.ON_PROBATION


def test_repeated_ejections_last_longer_up_to_a_maximum() -> None:
    bench = Bench()
    for _ in range(6):
        bench.play("~")
        bench.finish_probation()
    seconds = [found.seconds for found in bench.changes if found.state is EjectionState.EJECTED]
    assert seconds[:3] == [FIRST_EJECTION, 2 * FIRST_EJECTION, 4 * FIRST_EJECTION]
    assert max(seconds) == MAX_EJECTION


def test_ejection_duration_resets_after_time_in_service() -> None:
    bench = Bench()
    for _ in range(3):
        bench.play("~")
        bench.finish_probation()
    bench.now += 60.0
    bench.play("~")
    assert bench.changes[-1].seconds == FIRST_EJECTION


def test_slow_start() -> None:
    bench = Bench()
    bench.play("~")
    bench.finish_probation()
    early = sum(bench.is_usable() for _ in range(100))
    assert early == pytest.approx(100 * SLOW_START_SHARE, abs=1)
    bench.now += SLOW_START
    assert all(bench.is_usable() for _ in range(100))


def test_all_databases_are_usable_if_all_are_ejected() -> None:
    bench = Bench()
    bench.play("~")
    assert bench.ejector.usable([A], bench.now) == [A]
    bench.ejector.record_unresponsive(B, bench.now, bench.now + GAP)
    assert bench.ejector.usable([A, B], bench.now) == [A, B]


def test_removed_databases_are_forgotten() -> None:
    bench = Bench()
    bench.play("~")
    bench.ejector.keep_only([B])
    assert bench.state is EjectionState.IN_SERVICE
