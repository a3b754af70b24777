"""The queue for one database's slots: a statement acquires a permit before a connection."""

from __future__ import annotations

import asyncio
import itertools

from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.limits import SlotAllowance
from bramblebeam.core.overload.load import DatabaseLoad
from bramblebeam.core.overload.ports import Refused
from bramblebeam.core.overload.scheduler import SlotScheduler
from bramblebeam.core.overload.service_times import ServiceTimes
from bramblebeam.core.overload.settings import OverloadSettings
from bramblebeam.core.overload.work import Work
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.pooled import CLOCK_STEP
from bramblebeam.services.gateway.ports import ConnectError
from bramblebeam.services.waiting import loop_time

_MILLISECONDS = 1_000


class NoSlotError(Exception):
    """A statement can't begin at a database in time. `refusal`: the reply to its caller."""

    def __init__(self, refused: Refused) -> None:
        super().__init__("it could not begin in time")
        retry_after_ms = max(1, round(refused.room_in * _MILLISECONDS))
        self.refusal = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, str(self), retry_after_ms)


class Permit:
    """Allows one statement to be in flight at a database, until it is released."""

    __slots__ = ("_began", "_number", "_queue")

    def __init__(self, queue: SlotQueue | None, number: int, began: float) -> None:
        self._queue = queue
        self._number = number
        self._began = began

    def release(self, served: bool) -> None:
        """Release the permit; further calls have no effect. `served`: by the database."""
        queue = self._queue
        if queue is not None:
            self._queue = None
            queue.release(self._number, self._began, served)


def unlimited_permit() -> Permit:
    """Return a permit where only the connections limit the work."""
    return Permit(None, 0, 0.0)


class SlotQueue:
    """Admits the statements for one database in the scheduler's order."""

    def __init__(self, instance: InstanceId, settings: OverloadSettings, slots: int) -> None:
        self._allowance = settings.slot_allowance
        self._limit = SlotAllowance(slots, self._allowance)
        self._scheduler = SlotScheduler(instance, self._limit, ServiceTimes(), settings)
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._movable: set[int] = set()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of statements that wait for a permit."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Number of statements that hold a permit."""
        return self._scheduler.in_flight

    def allow(self, slots: int, allowance: int) -> None:
        """Apply new limits, after the members or the database's registration changed."""
        self._limit.allow(slots, allowance)
        if self._waiting:
            self._admit_waiting(loop_time())

    def load(self) -> DatabaseLoad:
        """Return the load of the database, to be reported to other nodes."""
        return self._scheduler.load(loop_time())

    async def enter(self, work: Work) -> Permit:
        """Wait until a statement may begin. Raises NoSlotError, ConnectError."""
        now = loop_time()
        number = next(self._numbers)
        refused = self._scheduler.offer(number, work, now)
        if refused is not None:
            raise NoSlotError(refused)
        begun = self._scheduler.next(now)
        if begun != number:
            if not work.in_transaction:
                self._movable.add(number)
            try:
                await self._wait(number, begun, now)
            finally:
                self._movable.discard(number)
            now = loop_time()
        return Permit(self, number, now)

    async def _wait(self, number: int, begun: int | None, now: float) -> None:
        """Wait for the statement's turn. `begun`: another statement, whose turn it is now."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        if begun is not None:
            self._admit(begun, now)
        self._admit_waiting(now)
        try:
            await future
        except asyncio.CancelledError:
            self._cancel(number, future)
            raise

    def _cancel(self, number: int, future: asyncio.Future[None]) -> None:
        """Remove a statement whose caller has disconnected, even if it has just been admitted."""
        if self._waiting.pop(number, None) is not None:
            self._scheduler.withdraw(number)
        elif not future.cancelled() and future.exception() is None:
            self.release(number, 0.0, served=False)

    def release(self, number: int, began: float, served: bool) -> None:
        """Release the permit of a statement that began at `began` (monotonic clock, seconds)."""
        now = loop_time()
        self._scheduler.finished(number, now - began if served else None, now)
        if self._waiting:
            self._admit_waiting(now)

    def refused(self) -> None:
        """Record that the database had no room for a statement that held a permit."""
        self._limit.refused(loop_time())

    def refuse_waiting(self) -> None:
        """Refuse waiting statements that can run elsewhere, as the database gives no answers.

        A statement of an open transaction can run nowhere else.
        """
        for number in sorted(self._movable):
            future = self._waiting.pop(number, None)
            if future is None:
                continue
            # Also if its caller has just disconnected: `_cancel` then finds nothing to withdraw.
            self._scheduler.withdraw(number)
            if not future.done():
                future.set_exception(NoSlotError(Refused(0.0)))

    def close(self) -> None:
        """Fail all waiting statements, because the database has left."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for number, future in list(self._waiting.items()):
            self._scheduler.withdraw(number)
            if not future.done():
                future.set_exception(ConnectError(Reason.LEAVING, "the database has left"))
        self._waiting.clear()

    def _admit_waiting(self, now: float) -> None:
        """Admit waiting statements while there is room."""
        while (number := self._scheduler.next(now)) is not None:
            self._admit(number, now)
        if self._waiting:
            self._schedule_expiry()

    def _admit(self, number: int, now: float) -> None:
        future = self._waiting.pop(number)
        if future.done():
            # Its caller has disconnected, and its task has not been resumed yet.
            self._scheduler.finished(number, None, now)
        else:
            future.set_result(None)

    def _schedule_expiry(self) -> None:
        """Schedule the refusal of statements that can't begin in time any more."""
        wakeup = self._scheduler.next_wakeup
        if wakeup is None or (
            self._timer is not None and self._timer.when() <= wakeup + CLOCK_STEP
        ):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(wakeup + CLOCK_STEP, self._refuse_expired)

    def _refuse_expired(self) -> None:
        self._timer = None
        now = loop_time()
        for number, refused in self._scheduler.pop_expired(now):
            future = self._waiting.pop(number, None)
            if future is not None and not future.done():
                future.set_exception(NoSlotError(refused))
        self._admit_waiting(now)
