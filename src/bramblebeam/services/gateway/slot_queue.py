"""The queue for one database's slots: a statement takes a permit before it takes a connection."""

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
    """A statement can't begin at a database in time. `refusal`: what its caller is told."""

    def __init__(self, refused: Refused) -> None:
        super().__init__("it could not begin in time")
        retry_after_ms = max(1, round(refused.room_in * _MILLISECONDS))
        self.refusal = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, str(self), retry_after_ms)


class Permit:
    """Lets one statement be under way at a database until it is ended."""

    __slots__ = ("_began", "_number", "_queue")

    def __init__(self, queue: SlotQueue | None, number: int, began: float) -> None:
        self._queue = queue
        self._number = number
        self._began = began

    def release(self, served: bool) -> None:
        """Give the permit back; further calls change nothing. `served`: the database served it."""
        queue = self._queue
        if queue is not None:
            self._queue = None
            queue.release(self._number, self._began, served)


def unlimited_permit() -> Permit:
    """Return a permit where connections alone bound the work."""
    return Permit(None, 0, 0.0)


class SlotQueue:
    """Lets statements for one database begin in the scheduler's order."""

    def __init__(self, instance: InstanceId, settings: OverloadSettings, slots: int) -> None:
        self._allowance = settings.slot_allowance
        self._limit = SlotAllowance(slots, self._allowance)
        self._scheduler = SlotScheduler(instance, self._limit, ServiceTimes(), settings)
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._may_leave: set[int] = set()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Statements that wait for a permit."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Statements that hold a permit."""
        return self._scheduler.in_flight

    def allow(self, slots: int, allowance: int) -> None:
        """Take other bounds, as the members or what the database tells of itself changed."""
        self._limit.allow(slots, allowance)
        if self._waiting:
            self._begin_waiting(loop_time())

    def load(self) -> DatabaseLoad:
        """Return what others are told of the database."""
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
                self._may_leave.add(number)
            try:
                await self._wait(number, begun, now)
            finally:
                self._may_leave.discard(number)
            now = loop_time()
        return Permit(self, number, now)

    async def _wait(self, number: int, begun: int | None, now: float) -> None:
        """Wait for one's turn. `begun`: another one, whose turn it was."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        if begun is not None:
            self._let_begin(begun, now)
        self._begin_waiting(now)
        try:
            await future
        except asyncio.CancelledError:
            self._give_up(number, future)
            raise

    def _give_up(self, number: int, future: asyncio.Future[None]) -> None:
        """Forget a statement whose caller has left, also when it has just begun."""
        if self._waiting.pop(number, None) is not None:
            self._scheduler.withdraw(number)
        elif not future.cancelled() and future.exception() is None:
            self.release(number, 0.0, served=False)

    def release(self, number: int, began: float, served: bool) -> None:
        """One that had begun (`began`: steady clock, seconds) has ended."""
        now = loop_time()
        self._scheduler.finished(number, now - began if served else None, now)
        if self._waiting:
            self._begin_waiting(now)

    def refused(self) -> None:
        """The database had no room for a statement that held a permit."""
        self._limit.refused(loop_time())

    def refuse_waiting(self) -> None:
        """Refuse those that wait and can run elsewhere, as the database gives no answers.

        What belongs to an open transaction has nowhere else to go.
        """
        for number in sorted(self._may_leave):
            future = self._waiting.pop(number, None)
            if future is None:
                continue
            # One whose caller has left a moment ago is withdrawn as well: it gives up nothing more.
            self._scheduler.withdraw(number)
            if not future.done():
                future.set_exception(NoSlotError(Refused(0.0)))

    def close(self) -> None:
        """Tell all who wait that the database has left."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for number, future in list(self._waiting.items()):
            self._scheduler.withdraw(number)
            if not future.done():
                future.set_exception(ConnectError(Reason.LEAVING, "the database has left"))
        self._waiting.clear()

    def _begin_waiting(self, now: float) -> None:
        """Let those begin for whom there is room."""
        while (number := self._scheduler.next(now)) is not None:
            self._let_begin(number, now)
        if self._waiting:
            self._watch_due()

    def _let_begin(self, number: int, now: float) -> None:
        future = self._waiting.pop(number)
        if future.done():
            # Its caller has left, and has not been told yet.
            self._scheduler.finished(number, None, now)
        else:
            future.set_result(None)

    def _watch_due(self) -> None:
        """Have those refused in time that can't begin any more."""
        due = self._scheduler.next_wakeup
        if due is None or (self._timer is not None and self._timer.when() <= due + CLOCK_STEP):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due + CLOCK_STEP, self._refuse_expired)

    def _refuse_expired(self) -> None:
        self._timer = None
        now = loop_time()
        for number, refused in self._scheduler.pop_expired(now):
            future = self._waiting.pop(number, None)
            if future is not None and not future.done():
                future.set_exception(NoSlotError(refused))
        self._begin_waiting(now)
