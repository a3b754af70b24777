"""The tracker of a group's leader."""

import asyncio

from bramblebeam.core.gateway.routes import GroupSettings, RouteTable
from bramblebeam.core.identity import GroupId, InstanceId, Position, ZoneId
from bramblebeam.platform.database_connection import LineDatabaseConnector
from bramblebeam.services.gateway.leaders import LeaderProven, LeaderSuspected, LeaderTracker
from bramblebeam.services.gateway.placement import Placement

GROUP = GroupId("deliveries")
FIRST, SECOND = InstanceId("db-a"), InstanceId("db-b")


def make_tracker(published: list[LeaderProven | LeaderSuspected]) -> LeaderTracker:
    placement = Placement(ZoneId("a"), LineDatabaseConnector(), lambda group: True)
    placement.configure(RouteTable(1, {}, {GROUP: GroupSettings(GROUP, 36)}))
    return LeaderTracker(GROUP, placement, published.append)


async def test_a_statement_that_waits_for_a_new_leader_lets_the_others_run() -> None:
    """Found in a day's log: waiting right after a loss, the loop turned without a pause."""
    tracker = make_tracker([])
    now = asyncio.get_running_loop().time()
    tracker.proven(FIRST, Position(1, 5), now)
    tracker.refused(FIRST, "it lost the lead")
    asked = 0
    wait_proof = tracker.wait_proof

    async def count(asked_after: float, deadline: float) -> bool:
        nonlocal asked
        asked += 1
        return await wait_proof(asked_after, deadline)

    tracker.wait_proof = count  # type: ignore[method-assign]
    waiting = asyncio.ensure_future(tracker.wait(now + 60))
    for _ in range(10):
        await asyncio.sleep(0)
    assert asked == 0
    assert not waiting.done()
    tracker.proven(SECOND, Position(2, 6), asyncio.get_running_loop().time())
    assert await waiting == SECOND


async def test_a_proof_that_was_asked_for_earlier_does_not_replace_a_later_one() -> None:
    published: list[LeaderProven | LeaderSuspected] = []
    tracker = make_tracker(published)
    now = asyncio.get_running_loop().time()
    tracker.proven(SECOND, Position(2, 6), now)
    tracker.proven(FIRST, Position(1, 9), now - 1)
    assert tracker.leader == SECOND
    assert tracker.watermark.position == Position(2, 6)
    assert published == [LeaderProven(GROUP, SECOND, Position(2, 6))]


async def test_a_leader_that_acknowledges_no_writes_is_stalled_until_one_is_answered() -> None:
    tracker = make_tracker([])
    tracker.proven(FIRST, Position(1, 5), asyncio.get_running_loop().time())
    tracker.write_unanswered(FIRST)
    assert tracker.stalled_since is None
    tracker.write_unanswered(FIRST)
    assert tracker.stalled_since is not None
    tracker.write_answered()
    assert tracker.stalled_since is None
