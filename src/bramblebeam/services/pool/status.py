"""Monitors one instance's status while this node owns it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from bramblebeam.core.identity import GroupId
from bramblebeam.core.statement import InstanceStatus
from bramblebeam.services.pool.control import ControlConnection

POLL_INTERVAL = 0.2
UNUSED_POLL_INTERVAL = 1.0
"""Interval for an instance not in use: at most half of the lease (seconds)."""
UNUSED_AFTER = 15.0
"""An instance without a statement or a subscription for this long is not in use (seconds)."""
ALERT_POLL_INTERVAL = 0.05
"""Interval while the instance has no contact with its primary, which may change soon (seconds)."""
ALERT_AFTER_MS = 150
ALERT_UNTIL_MS = 10_000
WAITING_POLL_INTERVAL = 0.005
"""Minimum time between polls, also while statements wait for a newer status (seconds)."""
UNREACHABLE_AFTER = 1.0
"""A back end that has not answered a status query for this long gets no new work (seconds)."""
LOST_AFTER = 3.0
"""A control connection without an answer for this long is given up (seconds)."""


class StatusMonitor:
    """Polls the status on the control connection; `follow` runs while the ownership lasts."""

    def __init__(
        self,
        control: ControlConnection,
        group: GroupId,
        on_change: Callable[[InstanceStatus], None],
    ) -> None:
        self.status: InstanceStatus | None = None
        self._control = control
        self._group = group
        self._on_change = on_change
        self._requested_at = 0.0
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
        """Time since the latest status was requested (seconds)."""
        return self._loop.time() - self._requested_at

    def record_use(self) -> None:
        """Record that an edge uses the instance; if it was not in use, refresh the status."""
        now = self._loop.time()
        if now - self._used_at > UNUSED_AFTER:
            self.refresh()
        self._used_at = now

    def refresh(self) -> None:
        """Request the status now instead of at the next interval."""
        self._wake.set()

    async def next_status(self, until: float) -> bool:
        """Wait for a status requested after this call; False if there will be none.

        Polls are numbered for this, because two of them may have the same clock reading. There
        will be none if `until` passes first or the control connection is lost. If the back end does
        not answer, this returns as soon as it is marked unreachable.
        """
        next_poll = self._polls + 1
        while self._answered_poll < next_poll:
            if not await self._wait_poll(until):
                return False
            if self.status is not None and not self.status.reachable:
                return not self._ended
        return True

    async def follow(self) -> None:
        """Poll until the control connection is lost, then raise its error."""
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
            await self._wait_interval()
        since_poll = self._loop.time() - self._polled_at
        if since_poll < WAITING_POLL_INTERVAL:
            await asyncio.sleep(WAITING_POLL_INTERVAL - since_poll)

    async def _wait_interval(self) -> None:
        """Wait for the next regular poll, or for a request for a newer status."""
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
        requested_at = self._loop.time()
        self._polled_at = requested_at
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
            raise TimeoutError("the back end did not answer a status query")
        self._handle_status(query.result(), poll, requested_at)

    def _mark_unreachable(self) -> None:
        if self.status is not None and self.status.reachable:
            self.status = replace(self.status, reachable=False)
            self._on_change(self.status)
        self._release_waiters()

    def _handle_status(self, status: InstanceStatus, poll: int, requested_at: float) -> None:
        self._answered_poll = poll
        self._requested_at = requested_at
        if status != self.status:
            self.status = status
            self._on_change(status)
        self._release_waiters()

    def _release_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
