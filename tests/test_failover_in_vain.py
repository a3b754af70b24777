"""When a change of primary that came to nothing is tried again.

Guards against: a node that can't finish a change tries it without a pause, and keeps those from
trying that could.
"""

from bramblebeam.core.failover.backoff import (
    FAILURES_BEFORE_YIELD,
    INITIAL_DELAY,
    MAX_DELAY,
    FailoverBackoff,
)
from bramblebeam.core.failover.decision import FailoverTiming
from bramblebeam.services.failover.situation import RANKS

MEMBERS = ("db-b", "db-c")
A_MOMENT = 0.01
START = 100.0


def fail(tries: FailoverBackoff, times: int, now: float = START) -> None:
    for _ in range(times):
        tries.record_failure(MEMBERS, now)


def test_pauses_grow_to_a_bound() -> None:
    tries = FailoverBackoff()
    fail(tries, 1)
    assert tries.must_wait(MEMBERS, START + INITIAL_DELAY - A_MOMENT)
    assert not tries.must_wait(MEMBERS, START + INITIAL_DELAY + A_MOMENT)
    fail(tries, 10)
    assert tries.must_wait(MEMBERS, START + MAX_DELAY - A_MOMENT)
    assert not tries.must_wait(MEMBERS, START + MAX_DELAY + A_MOMENT)


def test_news_of_the_members_end_a_pause() -> None:
    tries = FailoverBackoff()
    fail(tries, 5)
    assert not tries.must_wait(("db-c",), START)
    tries.record_failure(("db-c",), START)
    assert not tries.should_yield
    assert not tries.must_wait(("db-c",), START + INITIAL_DELAY + A_MOMENT)


def test_several_tries_in_vain_leave_the_change_to_others() -> None:
    tries = FailoverBackoff()
    fail(tries, FAILURES_BEFORE_YIELD - 1)
    assert not tries.should_yield
    fail(tries, 1)
    assert tries.should_yield
    tries.reset()
    assert not tries.should_yield
    assert not tries.must_wait(MEMBERS, START)


def test_each_other_node_gets_its_turn_within_the_longest_pause() -> None:
    assert (RANKS - 1) * FailoverTiming().rank_step < MAX_DELAY
