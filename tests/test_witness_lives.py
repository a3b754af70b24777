"""Whose word renews a lease, by the connections that it came over.

Guards against: a replica that forgot its pause, as it has started again, renews a lease on a leader
that is being replaced.
"""

import pytest

from bramblebeam.core.gateway.witness_uptimes import SETTLED_SECONDS, WitnessUptimes
from bramblebeam.core.identity import InstanceId, Position
from bramblebeam.services.gateway.member_probes import ProbeFailedError
from test_database_lives import SECOND_AGAIN, register
from test_gateway_leaders import FIRST, SECOND, THIRD, claim, make_tracker, now, take_all, word

FOURTH = InstanceId("db-d")
OTHERS = [THIRD, FOURTH]
START = 100.0
"""When SECOND had started and its connection was open."""


@pytest.mark.parametrize(
    ("free_at", "missing"),
    [
        ({}, [THIRD, FOURTH]),
        ({SECOND: START}, [THIRD, FOURTH]),
        ({THIRD: START + 0.1, FOURTH: START - 0.1}, [FOURTH]),
        ({THIRD: START + 0.1, FOURTH: START}, []),
    ],
    ids=["nobody", "itself", "one before the start", "both"],
)
def test_a_word_counts_once_every_member_was_heard_to_be_free_since_the_start(
    free_at: dict[InstanceId, float], missing: list[InstanceId]
) -> None:
    lives = WitnessUptimes()
    lives.record_reply(SECOND, START, START)
    for instance, at in free_at.items():
        lives.record_unpaused(instance, at)
    assert lives.not_seen_unpaused(SECOND, START, OTHERS) == missing


@pytest.mark.parametrize(
    ("asked_at", "has_lasted"),
    [(START, False), (START + SETTLED_SECONDS - 0.1, False), (START + SETTLED_SECONDS + 0.1, True)],
)
def test_a_member_that_outlived_any_change_counts_alone(asked_at: float, has_lasted: bool) -> None:
    lives = WitnessUptimes()
    lives.record_reply(SECOND, START, asked_at)
    assert lives.has_outlasted_changes(SECOND, START, asked_at) is has_lasted


AGE = SETTLED_SECONDS + 0.1
NEWEST = AGE - 1.0
"""When the last connection was opened, after the first (seconds): it has not lasted by itself."""


@pytest.mark.parametrize(
    ("connections", "has_lasted"),
    [
        # As opened and asked: the second was open while the first still answered.
        ([(0.0, NEWEST + 0.5), (NEWEST, AGE)], True),
        ([(0.0, NEWEST - 0.5), (NEWEST, AGE)], False),
        # The first one answers again, after the second was opened.
        ([(0.0, 0.1), (NEWEST, NEWEST), (0.0, AGE)], True),
        # One connection joins two that were in use one after the other.
        ([(0.0, 0.5), (NEWEST, NEWEST + 0.1), (0.4, AGE)], True),
        # An answer of the former life comes late.
        ([(NEWEST, AGE), (0.0, 0.5)], False),
    ],
    ids=["overlapping", "a gap between them", "the old one lives", "joined", "a late answer"],
)
def test_connections_in_use_at_the_same_time_end_at_one_life(
    connections: list[tuple[float, float]], has_lasted: bool
) -> None:
    lives = WitnessUptimes()
    for opened_at, asked_at in connections:
        lives.record_reply(SECOND, START + opened_at, START + asked_at)
    assert lives.has_outlasted_changes(SECOND, START + NEWEST, START + AGE) is has_lasted


async def test_a_start_costs_no_time_where_every_member_answers() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    tracker.take(claim(FIRST, 1))
    opened_at = now()
    tracker.take(word(SECOND, 1)._replace(opened_at=opened_at))
    assert not tracker.may_use(FIRST)
    tracker.take(word(THIRD, 1)._replace(opened_at=opened_at))
    assert tracker.may_use(FIRST)


async def test_the_target_of_a_change_keeps_a_restarted_member_from_confirming() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    tracker.take(claim(FIRST, 1))
    tracker.take(word(THIRD, 1, held=2)._replace(opened_at=now()))
    tracker.take(word(SECOND, 1)._replace(opened_at=now()))
    tracker.heard(SECOND, Position(1, 9), now(), now())
    assert not tracker.may_use(FIRST)


async def test_a_former_leader_that_does_not_know_it_holds_no_word_back() -> None:
    """Guards against seconds without a lease on a new leader beside a former one, or a dead one."""
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    opened_at = now()
    take_all(tracker, [claim(SECOND, 2), claim(FIRST, 1)])
    tracker.take(word(THIRD, 2)._replace(opened_at=opened_at))
    assert tracker.may_use(SECOND)


async def test_a_member_that_has_ended_holds_no_word_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    opened_at = now()
    tracker.take(claim(FIRST, 1))

    async def find_nothing(instance: InstanceId, timeout: float) -> None:
        raise ProbeFailedError("connection refused", is_gone=True)

    monkeypatch.setattr(tracker._probes, "ask", find_nothing)
    await tracker._ask(SECOND, tracker._probes.ask)
    tracker.take(word(THIRD, 1)._replace(opened_at=opened_at))
    assert tracker.may_use(FIRST)


async def test_a_replica_that_has_received_nothing_yet_holds_no_word_back() -> None:
    """Guards against a needless change of primary right after the start of a group."""
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND_AGAIN, THIRD)
    opened_at = now()
    tracker.take(claim(FIRST, 1))
    empty = word(SECOND_AGAIN, 1)._replace(opened_at=opened_at)
    assert empty.status is not None
    nothing = empty.status._replace(received=Position(1, 0))
    tracker.take(empty._replace(position=Position(1, 0), status=nothing))
    assert not tracker.may_use(FIRST)
    tracker.take(word(THIRD, 1)._replace(opened_at=opened_at))
    assert tracker.may_use(FIRST)


async def test_what_members_received_lets_their_words_count() -> None:
    """Guards against no lease right after a start: busy databases refuse to tell their status."""
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    opened_at = now()
    tracker.take(claim(FIRST, 1))
    tracker.proven(FIRST, Position(1, 6), now())
    tracker.heard(SECOND, Position(1, 7), now(), opened_at)
    assert not tracker.may_use(FIRST)
    tracker.heard(THIRD, Position(1, 7), now(), opened_at)
    assert tracker.may_use(FIRST)


async def test_what_a_restarted_member_received_confirms_nothing() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    tracker.take(claim(FIRST, 1))
    tracker.proven(FIRST, Position(1, 6), now())
    tracker.heard(SECOND, Position(1, 9), now(), now())
    assert not tracker.may_use(FIRST)
    tracker.heard(SECOND, Position(1, 9), now(), now() - SETTLED_SECONDS - 0.1)
    assert tracker.may_use(FIRST)
