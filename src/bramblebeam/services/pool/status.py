"""Follows one instance's status while this node owns it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from bramblebeam.core.identity import GroupId
from bramblebeam.core.statement import InstanceStatus
from bramblebeam.services.pool.control import ControlConnection

POLL_INTERVAL = 0.2
UNUSED_POLL_INTERVAL = 1.0
"""Interval for an instance that nobody uses: half of the lease at most (seconds)."""
UNUSED_AFTER = 15.0
"""An instance without a statement or a subscription for so long is not in use (seconds)."""
ALERT_POLL_INTERVAL = 0.05
"""Interval while the instance hears nothing of its primary: a change may be near (seconds)."""
ALERT_AFTER_MS = 150
ALERT_UNTIL_MS = 10_000
WAITING_POLL_INTERVAL = 0.005
"""Least time between two polls, kept while statements wait for a newer status (seconds)."""
UNREACHABLE_AFTER = 1.0
"""A back end that has not answered a status query for so long gets no new work (seconds)."""
LOST_AFTER = 3.0
"""A control connection without an answer for so long is given up (seconds)."""


class StatusMonitor:
    """Polls the status on the control connection; `follow` runs as long as the ownership."""

    def __init__(
        self,
        control: ControlConnection,
        group: GroupId,
        changed: Callable[[InstanceStatus], None],
    ) -> None:
        self.status: InstanceStatus | None = None
        self._control = control
        self._group = group
        self._changed = changed
        self._asked_at = 0.0
        self._used_at = asyncio.get_running_loop().time()
        self._polled_at = 0.0
        self._polls = 0
        self._answered_poll = 0
        self._ended = False
        self._waiters: list[asyncio.Future[None]] = []
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    @property
    def age(self) -> float:
        """Time since the last status was asked for (seconds)."""
        return self._loop.time() - self._asked_at

    def used(self) -> None:
        """Take note that an edge uses the instance; a status read for nobody is refreshed."""
        now = self._loop.time()
        if now - self._used_at > UNUSED_AFTER:
            self.refresh()
        self._used_at = now

    def refresh(self) -> None:
        """Ask for the status now instead of at the next interval."""
        self._wake.set()

    async def next_status(self, until: float) -> bool:
        """Wait for a status that is asked for from now on; False where there will be none.

        Polls are numbered for this: two of them may have the same reading of the clock. There will
        be none when `until` comes first, or the control connection is lost. Where the back end
        gives none, this returns as soon as it counts as unreachable.
        """
        next_poll = self._polls + 1
        while self._answered_poll < next_poll:
            if not await self._wait_poll(until):
                return False
            if self.status is not None and not self.status.reachable:
                return not self._ended
        return True

    async def follow(self) -> None:
        """Poll until the control connection is lost; raises BackendError then."""
        try:
            while True:
                await self._poll()
                await self._pause()
        except Exception:
            self._mark_unreachable()
            raise
        finally:
            self._ended = True
            self._release_waiters()

    async def _wait_poll(self, until: float) -> bool:
        if self._ended:
            return False
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        self._wake.set()
        try:
            async with asyncio.timeout_at(until):
                await waiter
        except TimeoutError:
            return False
        return True

    async def _pause(self) -> None:
        self._wake.clear()
        if not self._waiters:
            await self._rest()
        since_poll = self._loop.time() - self._polled_at
        if since_poll < WAITING_POLL_INTERVAL:
            await asyncio.sleep(WAITING_POLL_INTERVAL - since_poll)

    async def _rest(self) -> None:
        """Wait for the next regular poll, or for a statement that wants a newer status."""
        interval = self._interval()
        try:
            async with asyncio.timeout(interval):
                await self._wake.wait()
        except TimeoutError:
            return

    def _interval(self) -> float:
        if self._loop.time() - self._used_at > UNUSED_AFTER:
            return UNUSED_POLL_INTERVAL
        alert = ALERT_AFTER_MS < self._control.primary_contact_ms < ALERT_UNTIL_MS
        return ALERT_POLL_INTERVAL if alert else POLL_INTERVAL

    async def _poll(self) -> None:
        asked_at = self._loop.time()
        self._polled_at = asked_at
        self._polls += 1
        poll = self._polls
        query = asyncio.ensure_future(self._control.status(self._group))
        try:
            done, _ = await asyncio.wait({query}, timeout=UNREACHABLE_AFTER)
            if not done:
                self._mark_unreachable()
                done, _ = await asyncio.wait({query}, timeout=LOST_AFTER - UNREACHABLE_AFTER)
        finally:
            if not query.done():
                query.cancel()
        if not done:
            raise TimeoutError("the back end answers no status query")
        self._take(query.result(), poll, asked_at)

    def _mark_unreachable(self) -> None:
        if self.status is not None and self.status.reachable:
            self.status = replace(self.status, reachable=False)
            self._changed(self.status)
        self._release_waiters()

    def _take(self, status: InstanceStatus, poll: int, asked_at: float) -> None:
        self._answered_poll = poll
        self._asked_at = asked_at
        if status != self.status:
            self.status = status
            self._changed(status)
        self._release_waiters()

    def _release_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
