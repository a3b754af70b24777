"""How often an instance's status is polled while statements wait for a newer one."""

import asyncio
from typing import Any

from bramblebeam.core.identity import GroupId, InstanceId, NodeId, Position
from bramblebeam.core.role import Role
from bramblebeam.core.statement import InstanceStatus
from bramblebeam.lab.simulator.loop import VirtualLoop
from bramblebeam.services.pool.status import WAITING_POLL_INTERVAL, StatusMonitor

SECONDS = 1.0
ROUND_TRIP = 0.0002


class Control:
    """Answers every status query after a round trip."""

    primary_contact_ms = 0

    def __init__(self, round_trip: float = ROUND_TRIP) -> None:
        self.polls = 0
        self._round_trip = round_trip

    async def status(self, group: GroupId) -> InstanceStatus:
        self.polls += 1
        await asyncio.sleep(self._round_trip)
        return InstanceStatus(
            instance=InstanceId("db"),
            group=group,
            term=1,
            role=Role.REPLICA,
            last=Position(1, self.polls),
            applied=Position(1, 1),
            lag_ms=0,
            leaving=False,
            reachable=True,
            owner=NodeId("n"),
            epoch=1,
        )


def test_repeated_waits_keep_the_minimum_interval_between_polls() -> None:
    loop = VirtualLoop()
    control = Control()

    async def wait_repeatedly() -> None:
        stand_in: Any = control
        monitor = StatusMonitor(stand_in, GroupId("g"), lambda *statuses: None)
        follower = loop.create_task(monitor.follow())
        end = loop.time() + SECONDS
        waits = 0
        while loop.time() < end:
            assert await monitor.next_status(end + SECONDS)
            waits += 1
        assert waits > 1
        follower.cancel()

    loop.run_until_complete(wait_repeatedly())
    loop.close()
    assert control.polls <= SECONDS / WAITING_POLL_INTERVAL + 2


def test_status_requested_at_the_same_clock_reading_is_not_the_next_one() -> None:
    """Polls are ordered by number, as the clock may read the same at two of them."""
    loop = VirtualLoop()
    control = Control(round_trip=0.0)

    async def wait_twice() -> tuple[int, int]:
        stand_in: Any = control
        monitor = StatusMonitor(stand_in, GroupId("g"), lambda *statuses: None)
        follower = loop.create_task(monitor.follow())
        assert await monitor.next_status(loop.time() + SECONDS)
        before = control.polls
        assert await monitor.next_status(loop.time() + SECONDS)
        follower.cancel()
        return before, control.polls

    before, after = loop.run_until_complete(wait_twice())
    loop.close()
    assert after > before
