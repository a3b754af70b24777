"""When a failed change of primary is attempted again.

Guards against a node that cannot complete a change, retries it without delay, and so blocks other
nodes that could complete it.
"""

from bramblebeam.core.failover.backoff import (
    FAILURES_BEFORE_YIELD,
    INITIAL_DELAY,
    MAX_DELAY,
    FailoverBackoff,
)
from bramblebeam.core.failover.decision import FailoverTiming
from bramblebeam.services.failover.situation import RANK_COUNT

MEMBERS = ("db-b", "db-c")
EPSILON = 0.01
START = 100.0


def fail(backoff: FailoverBackoff, times: int, now: float = START) -> None:
    for _ in range(times):
        backoff.record_failure(MEMBERS, now)


def test_delays_grow_to_a_limit() -> None:
    backoff = FailoverBackoff()
    fail(backoff, 1)
    assert backoff.must_wait(MEMBERS, START + INITIAL_DELAY - EPSILON)
    assert not backoff.must_wait(MEMBERS, START + INITIAL_DELAY + EPSILON)
    fail(backoff, 10)
    assert backoff.must_wait(MEMBERS, START + MAX_DELAY - EPSILON)
    assert not backoff.must_wait(MEMBERS, START + MAX_DELAY + EPSILON)


def test_an_update_of_the_members_ends_a_delay() -> None:
    backoff = FailoverBackoff()
    fail(backoff, 5)
    assert not backoff.must_wait(("db-c",), START)
    backoff.record_failure(("db-c",), START)
    assert not backoff.should_yield
    assert not backoff.must_wait(("db-c",), START + INITIAL_DELAY + EPSILON)


def test_a_node_yields_after_several_failures() -> None:
    backoff = FailoverBackoff()
    fail(backoff, FAILURES_BEFORE_YIELD - 1)
    assert not backoff.should_yield
    fail(backoff, 1)
    assert backoff.should_yield
    backoff.reset()
    assert not backoff.should_yield
    assert not backoff.must_wait(MEMBERS, START)


def test_every_other_node_gets_its_turn_within_the_longest_delay() -> None:
    assert (RANK_COUNT - 1) * FailoverTiming().rank_step < MAX_DELAY
