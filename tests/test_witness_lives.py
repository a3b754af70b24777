"""Whose status renews a lease, by the connections that it was received on.

Guards against a replica that has forgotten its pause by a restart, and renews a lease on a leader
that is being replaced.
"""

import pytest

from bramblebeam.core.gateway.witness_uptimes import SETTLED_SECONDS, WitnessUptimes
from bramblebeam.core.identity import InstanceId, Position
from bramblebeam.services.gateway.member_probes import ProbeFailedError
from test_database_lives import SECOND_AGAIN, register
from test_gateway_leaders import (
    FIRST,
    SECOND,
    THIRD,
    make_tracker,
    now,
    primary_answer,
    replica_answer,
    take_all,
)

FOURTH = InstanceId("db-d")
OTHERS = [THIRD, FOURTH]
START = 100.0
"""When SECOND had started and its connection was opened."""


@pytest.mark.parametrize(
    ("unpaused_at", "missing"),
    [
        ({}, [THIRD, FOURTH]),
        ({SECOND: START}, [THIRD, FOURTH]),
        ({THIRD: START + 0.1, FOURTH: START - 0.1}, [FOURTH]),
        ({THIRD: START + 0.1, FOURTH: START}, []),
    ],
    ids=["no member", "itself", "one before the start", "both"],
)
def test_a_status_is_valid_once_every_other_member_was_seen_unpaused_since_the_start(
    unpaused_at: dict[InstanceId, float], missing: list[InstanceId]
) -> None:
    uptimes = WitnessUptimes()
    uptimes.record_reply(SECOND, START, START)
    for instance, at in unpaused_at.items():
        uptimes.record_unpaused(instance, at)
    assert uptimes.not_seen_unpaused(SECOND, START, OTHERS) == missing


@pytest.mark.parametrize(
    ("queried_at", "has_outlasted"),
    [(START, False), (START + SETTLED_SECONDS - 0.1, False), (START + SETTLED_SECONDS + 0.1, True)],
)
def test_a_member_that_outlasted_any_change_is_valid_by_itself(
    queried_at: float, has_outlasted: bool
) -> None:
    uptimes = WitnessUptimes()
    uptimes.record_reply(SECOND, START, queried_at)
    assert uptimes.has_outlasted_changes(SECOND, START, queried_at) is has_outlasted


AGE = SETTLED_SECONDS + 0.1
NEWEST = AGE - 1.0
"""When the last connection was opened, after the first (seconds): too recently to suffice alone."""


@pytest.mark.parametrize(
    ("connections", "has_outlasted"),
    [
        # Times of opening and query: the second was open while the first still replied.
        ([(0.0, NEWEST + 0.5), (NEWEST, AGE)], True),
        ([(0.0, NEWEST - 0.5), (NEWEST, AGE)], False),
        # The first one replies again after the second was opened.
        ([(0.0, 0.1), (NEWEST, NEWEST), (0.0, AGE)], True),
        # One connection joins two that were in use one after the other.
        ([(0.0, 0.5), (NEWEST, NEWEST + 0.1), (0.4, AGE)], True),
        # A reply of the former incarnation arrives late.
        ([(NEWEST, AGE), (0.0, 0.5)], False),
    ],
    ids=[
        "overlapping",
        "a gap between them",
        "the old one still replies",
        "joined",
        "a late reply",
    ],
)
def test_connections_in_use_at_the_same_time_belong_to_one_incarnation(
    connections: list[tuple[float, float]], has_outlasted: bool
) -> None:
    uptimes = WitnessUptimes()
    for opened_at, queried_at in connections:
        uptimes.record_reply(SECOND, START + opened_at, START + queried_at)
    assert uptimes.has_outlasted_changes(SECOND, START + NEWEST, START + AGE) is has_outlasted


async def test_a_restart_delays_nothing_if_every_member_replies() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    tracker.handle_answer(primary_answer(FIRST, 1))
    opened_at = now()
    tracker.handle_answer(replica_answer(SECOND, 1)._replace(opened_at=opened_at))
    assert not tracker.may_use(FIRST)
    tracker.handle_answer(replica_answer(THIRD, 1)._replace(opened_at=opened_at))
    assert tracker.may_use(FIRST)


async def test_the_target_of_a_change_keeps_a_restarted_member_from_confirming() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    tracker.handle_answer(primary_answer(FIRST, 1))
    tracker.handle_answer(replica_answer(THIRD, 1, held=2)._replace(opened_at=now()))
    tracker.handle_answer(replica_answer(SECOND, 1)._replace(opened_at=now()))
    tracker.record_position(SECOND, Position(1, 9), now(), now())
    assert not tracker.may_use(FIRST)


async def test_a_former_leader_that_still_claims_to_lead_blocks_no_confirmation() -> None:
    """Guards against seconds without a lease on a new leader while a former or dead one remains."""
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    opened_at = now()
    take_all(tracker, [primary_answer(SECOND, 2), primary_answer(FIRST, 1)])
    tracker.handle_answer(replica_answer(THIRD, 2)._replace(opened_at=opened_at))
    assert tracker.may_use(SECOND)


async def test_a_member_that_has_ended_blocks_no_confirmation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    opened_at = now()
    tracker.handle_answer(primary_answer(FIRST, 1))

    async def refuse_connection(instance: InstanceId, timeout: float) -> None:
        raise ProbeFailedError("connection refused", is_gone=True)

    monkeypatch.setattr(tracker._probes, "query_status", refuse_connection)
    await tracker._run_query(SECOND, tracker._probes.query_status)
    tracker.handle_answer(replica_answer(THIRD, 1)._replace(opened_at=opened_at))
    assert tracker.may_use(FIRST)


async def test_a_replica_that_has_received_nothing_yet_blocks_no_confirmation() -> None:
    """Guards against an unnecessary change of primary right after the start of a group."""
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND_AGAIN, THIRD)
    opened_at = now()
    tracker.handle_answer(primary_answer(FIRST, 1))
    empty = replica_answer(SECOND_AGAIN, 1)._replace(opened_at=opened_at)
    assert empty.status is not None
    nothing = empty.status._replace(received=Position(1, 0))
    tracker.handle_answer(empty._replace(position=Position(1, 0), status=nothing))
    assert not tracker.may_use(FIRST)
    tracker.handle_answer(replica_answer(THIRD, 1)._replace(opened_at=opened_at))
    assert tracker.may_use(FIRST)


async def test_received_positions_make_the_members_status_valid() -> None:
    """Guards against no lease right after a start, when busy databases refuse status queries."""
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    opened_at = now()
    tracker.handle_answer(primary_answer(FIRST, 1))
    tracker.record_proof(FIRST, Position(1, 6), now())
    tracker.record_position(SECOND, Position(1, 7), now(), opened_at)
    assert not tracker.may_use(FIRST)
    tracker.record_position(THIRD, Position(1, 7), now(), opened_at)
    assert tracker.may_use(FIRST)


async def test_the_position_of_a_restarted_member_confirms_nothing() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    tracker.handle_answer(primary_answer(FIRST, 1))
    tracker.record_proof(FIRST, Position(1, 6), now())
    tracker.record_position(SECOND, Position(1, 9), now(), now())
    assert not tracker.may_use(FIRST)
    tracker.record_position(SECOND, Position(1, 9), now(), now() - SETTLED_SECONDS - 0.1)
    assert tracker.may_use(FIRST)
