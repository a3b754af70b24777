"""LeaderTracker: which leader is used, and which replies confirm its lease."""

import asyncio
from collections.abc import Iterable

import pytest

from bramblebeam.core.gateway.owners import Distance
from bramblebeam.core.gateway.routes import GroupSettings, RouteTable
from bramblebeam.core.identity import (
    ZERO_POSITION,
    GroupId,
    InstanceId,
    Position,
    ZoneId,
    server_name,
)
from bramblebeam.platform.database_connection import LineDatabaseConnector
from bramblebeam.services.gateway.leader_news import FormerLeaderFound, LeaderEvent, LeaderProven
from bramblebeam.services.gateway.leaders import LeaderTracker
from bramblebeam.services.gateway.member_probes import MemberAnswer
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.gateway.ports import MemberStatus

GROUP = GroupId("deliveries")
FIRST, SECOND, THIRD = InstanceId("db-a"), InstanceId("db-b"), InstanceId("db-c")
LONG_OPEN = float("-inf")
"""Opening time of a connection that has outlasted any change of primary."""


class SoleOwner:
    """Group owners with a single node, which serves every group."""

    decides_on_load = False
    runs_near_databases = False
    seen_share = 1.0
    decides_on_load = False

    def serves(self, group: GroupId) -> bool:
        return True

    def owner_count(self, group: GroupId) -> int:
        return 1

    def distance(self, zone: ZoneId) -> Distance:
        return Distance.ZONE

    def slots_a_node(self, group: GroupId, slots: int) -> float:
        return slots


def make_tracker(published: list[LeaderEvent]) -> LeaderTracker:
    placement = Placement(LineDatabaseConnector(), SoleOwner())
    placement.configure(RouteTable(1, {}, {GROUP: GroupSettings(GROUP, 36)}))
    return LeaderTracker(GROUP, placement, published.append, asyncio.ensure_future)


def now() -> float:
    return asyncio.get_running_loop().time()


def primary_answer(instance: InstanceId, term: int, offset: int = 5) -> MemberAnswer:
    """Return the reply of a member that claims to lead."""
    position = Position(term, offset)
    status = MemberStatus(True, term, position, 0.0)
    return MemberAnswer(instance, LONG_OPEN, now(), True, position, status)


def replica_answer(instance: InstanceId, follows: int, held: int = 0) -> MemberAnswer:
    """Return the reply of a replica."""
    position = Position(follows, 1)
    status = MemberStatus(False, follows, position, 0.0, held)
    return MemberAnswer(instance, LONG_OPEN, now(), False, position, status)


def take_all(tracker: LeaderTracker, answers: Iterable[MemberAnswer]) -> None:
    for answer in answers:
        tracker.handle_answer(answer)


async def test_waiting_for_a_new_leader_does_not_block_the_event_loop() -> None:
    """A wait right after the loss of a leader must not spin without yielding to the event loop."""
    tracker = make_tracker([])
    take_all(tracker, [primary_answer(FIRST, 1), replica_answer(THIRD, 1)])
    tracker.reject(FIRST, "it lost the lead")
    queried = 0
    wait_proof = tracker.wait_proof

    async def count(queried_after: float, deadline: float) -> bool:
        nonlocal queried
        queried += 1
        return await wait_proof(queried_after, deadline)

    tracker.wait_proof = count  # type: ignore[method-assign]
    waiting = asyncio.ensure_future(tracker.wait(now() + 60))
    for _ in range(10):
        await asyncio.sleep(0)
    assert queried == 0
    assert not waiting.done()
    take_all(tracker, [primary_answer(SECOND, 2), replica_answer(THIRD, 2)])
    assert await waiting == SECOND


async def test_an_earlier_queried_proof_does_not_replace_a_later_one() -> None:
    published: list[LeaderEvent] = []
    tracker = make_tracker(published)
    take_all(tracker, [primary_answer(SECOND, 2, 6), replica_answer(THIRD, 2)])
    tracker.record_proof(SECOND, Position(2, 5), now() - 1)
    tracker.record_proof(FIRST, Position(1, 9), now() + 1)
    assert tracker.leader == SECOND
    assert tracker.watermarks.newest.position == Position(2, 6)
    assert published == [LeaderProven(GROUP, SECOND, Position(2, 6))]


async def test_a_leader_is_stalled_from_repeated_write_timeouts_until_a_write_reply() -> None:
    tracker = make_tracker([])
    tracker.handle_answer(primary_answer(FIRST, 1))
    tracker.record_write_timeout(FIRST, now())
    assert tracker.stalled_since is None
    tracker.record_write_timeout(FIRST, now())
    assert tracker.stalled_since is not None
    tracker.record_write_reply()
    assert tracker.stalled_since is None


@pytest.mark.parametrize(
    ("replies", "may_use"),
    [
        ([], False),
        ([(SECOND, 1, 0)], True),
        ([(SECOND, 1, 2)], False),
        ([(SECOND, 1, 2), (THIRD, 1, 0)], True),
        ([(SECOND, 1, 0), (THIRD, 2, 0)], False),
    ],
    ids=["alone", "confirmed", "paused", "one is paused", "one follows another leader"],
)
async def test_a_leader_is_used_only_while_another_member_confirms_it(
    replies: list[tuple[InstanceId, int, int]], may_use: bool
) -> None:
    tracker = make_tracker([])
    tracker.handle_answer(primary_answer(FIRST, 1))
    take_all(tracker, [replica_answer(*fields) for fields in replies])
    assert tracker.may_use(FIRST) is may_use


async def test_an_unconfirmed_proof_is_no_watermark() -> None:
    tracker = make_tracker([])
    tracker.handle_answer(primary_answer(FIRST, 1, 5))
    assert tracker.watermarks.newest.position == Position(0, 0)
    tracker.handle_answer(replica_answer(SECOND, 1))
    assert tracker.watermarks.newest.position == Position(1, 5)


async def test_a_replica_read_confirms_the_lease_if_it_shows_a_commit_after_the_proof() -> None:
    tracker = make_tracker([])
    tracker.handle_answer(primary_answer(FIRST, 1, 5))
    tracker.record_position(SECOND, Position(1, 5), now(), LONG_OPEN)
    assert not tracker.may_use(FIRST)
    tracker.record_position(SECOND, Position(1, 6), now(), LONG_OPEN)
    assert tracker.may_use(FIRST)


@pytest.mark.parametrize("is_read", [True, False], ids=["a read", "a status"])
async def test_a_newer_term_ends_the_use_of_a_leader_for_good(is_read: bool) -> None:
    published: list[LeaderEvent] = []
    tracker = make_tracker(published)
    take_all(tracker, [primary_answer(FIRST, 1), replica_answer(SECOND, 1)])
    if is_read:
        tracker.record_position(THIRD, Position(2, 7), now(), LONG_OPEN)
    else:
        tracker.handle_answer(primary_answer(THIRD, 2))
    assert not tracker.may_use(FIRST)
    tracker.handle_answer(primary_answer(FIRST, 1))
    assert tracker.leader != FIRST
    assert FormerLeaderFound(GROUP, FIRST, 2) in published


async def test_two_leaders_of_the_same_term_are_both_rejected() -> None:
    tracker = make_tracker([])
    take_all(
        tracker, [primary_answer(FIRST, 2), replica_answer(THIRD, 2), primary_answer(SECOND, 2)]
    )
    assert tracker.leader is None
    take_all(
        tracker, [primary_answer(FIRST, 2), primary_answer(SECOND, 2), replica_answer(THIRD, 2)]
    )
    assert tracker.leader is None
    take_all(tracker, [primary_answer(SECOND, 3), replica_answer(THIRD, 3)])
    assert tracker.may_use(SECOND)


async def test_losing_a_leader_that_was_never_proven_is_logged_without_an_age() -> None:
    """The age of a missing proof is infinite; logging it as a number ended the service."""
    tracker = make_tracker([])
    tracker.leader = FIRST
    tracker.reject(FIRST, "the connection was lost")
    assert tracker.leader is None


@pytest.mark.parametrize(
    ("lost_meanwhile", "may_use"), [(False, True), (True, False)], ids=["kept", "given up"]
)
async def test_a_status_queried_before_relinquishing_a_leader_starts_no_lease_on_it_later(
    lost_meanwhile: bool, may_use: bool
) -> None:
    """Another node pauses the members and relies on this node's reply that it has no lease."""
    tracker = make_tracker([])
    tracker.handle_answer(primary_answer(FIRST, 1))
    reply: asyncio.Future[MemberAnswer] = asyncio.get_running_loop().create_future()

    async def query(instance: InstanceId, timeout: float) -> MemberAnswer:
        return await reply

    tracker._probes.query_status = query  # type: ignore[method-assign]
    tracker.start_status_query(SECOND)
    await asyncio.sleep(0)
    before_the_pause = replica_answer(SECOND, 1)
    if lost_meanwhile:
        tracker.relinquish(server_name(FIRST), 0)
        tracker.handle_answer(primary_answer(FIRST, 1))
    reply.set_result(before_the_pause)
    await tracker._queries[SECOND]
    assert tracker.leader == FIRST
    assert tracker.may_use(FIRST) is may_use


@pytest.mark.parametrize(
    "reported", [ZERO_POSITION, Position(1, 8)], ids=["no position", "a smaller position"]
)
async def test_a_proof_never_lowers_the_position_of_its_leader(reported: Position) -> None:
    """Otherwise any member's position would confirm the lease, and reads would have no floor."""
    tracker = make_tracker([])
    take_all(tracker, [primary_answer(FIRST, 1, 9), replica_answer(THIRD, 1)])
    tracker.record_proof(FIRST, reported, now() + 0.01)
    assert tracker.watermarks.newest.position == Position(1, 9)


async def test_a_watermark_has_the_term_of_its_leader() -> None:
    """This holds even if the leader has not committed anything in its term yet."""
    tracker = make_tracker([])
    status = MemberStatus(True, 2, Position(1, 4), 0.0)
    take_all(
        tracker,
        [
            MemberAnswer(SECOND, LONG_OPEN, now(), True, Position(1, 4), status),
            replica_answer(THIRD, 2),
        ],
    )
    assert tracker.watermarks.newest.term == 2
    assert tracker.watermarks.floor(Position(1, 9), 60.0, now()) == Position(1, 4)
