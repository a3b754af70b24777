"""The slot connections of one ownership epoch; runs the slot state machine."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from expression import Result

from bramblebeam.core.identity import ServiceId
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.pool.admission import not_run
from bramblebeam.core.pool.events import (
    Arrived,
    Closed,
    Finished,
    Grant,
    LimitsChanged,
    OccupiedChanged,
    Opened,
    Withdrawn,
)
from bramblebeam.core.pool.limits import InstanceLimits
from bramblebeam.core.pool.slots import Effect, SlotMachine
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.edges.backend import BackendConnection

OpenConnection = Callable[[float], Awaitable[Result[BackendConnection, Refusal]]]
EndConnection = Callable[[int], Awaitable[None]]


@dataclass(slots=True)
class Slot:
    """The right to use one connection until the slot is released."""

    ticket: int
    connections: SlotConnections
    connection: BackendConnection


class SlotConnections:
    """Grants slots and manages the connections behind them."""

    def __init__(
        self,
        epoch: int,
        limits: InstanceLimits,
        open_connection: OpenConnection,
        end_connection: EndConnection,
    ) -> None:
        self.epoch = epoch
        self.machine = SlotMachine(limits)
        self.retired = False
        self.peak = 0
        self._open_connection = open_connection
        self._end_connection = end_connection
        self._idle: list[BackendConnection] = []
        self._in_use: dict[int, Slot] = {}
        self._waiting: dict[int, asyncio.Future[Refusal | None]] = {}
        self._next_ticket = 0
        self._opening = 0
        self._closing = 0
        self._retained = 0
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self._progress = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self.machine.handle(Opened(), self._loop.time())

    @property
    def in_use(self) -> frozenset[int]:
        """The back end's ids of the connections in use."""
        return frozenset(slot.connection.id for slot in self._in_use.values())

    @property
    def own(self) -> frozenset[int]:
        """The back end's ids of all connections, in use or idle."""
        return self.in_use | {connection.id for connection in self._idle}

    def set_limits(self, limits: InstanceLimits) -> None:
        """Apply new limits. Surplus connections are closed: idle ones now, others when released."""
        self._perform(self.machine.handle(LimitsChanged(limits), self._loop.time()))
        self._trim()

    def suspend(self, reason: Reason) -> None:
        """Refuse waiting and new requests until `resume`; running statements continue."""
        self._perform(self.machine.handle(Closed(reason), self._loop.time()))

    def resume(self) -> None:
        """Grant slots again."""
        if not self.retired:
            self._perform(self.machine.handle(Opened(), self._loop.time()))

    def set_retained(self, count: int) -> None:
        """Account for connections that a former owner still uses."""
        self._retained = count
        self._trim()
        self._occupied_changed()

    async def acquire(self, service: ServiceId, wait_until: float) -> Slot | Refusal:
        """Wait for a slot until `wait_until` (loop time), then for its connection."""
        self._next_ticket += 1
        ticket = self._next_ticket
        effects = self.machine.handle(Arrived(ticket, service, wait_until), self._loop.time())
        if len(effects) != 1 or effects[0] != Grant(ticket):
            refusal = await self._wait(ticket, effects)
            if refusal is not None:
                return refusal
        if self._idle:
            slot = Slot(ticket, self, self._idle.pop())
            self._in_use[ticket] = slot
            return slot
        return await self._connect(ticket, wait_until)

    async def release(self, slot: Slot) -> None:
        """Release a slot after resetting its connection's session state."""
        connection = slot.connection
        if not connection.broken and not connection.busy:
            await self._reset(connection)
        self.release_clean(slot)

    def release_clean(self, slot: Slot) -> None:
        """Release a slot whose connection needs no reset or is broken."""
        connection = self._in_use.pop(slot.ticket).connection
        if connection.broken or connection.busy or connection.in_transaction:
            self._end(connection)
        elif self.retired or self.machine.free < 0:
            self._close(connection)
        else:
            self._idle.append(connection)
        self._finish(slot.ticket)

    async def retire(self) -> frozenset[int]:
        """Grant no more slots, close idle connections; return the ids of those still in use."""
        self.retired = True
        self._perform(self.machine.handle(Closed(Reason.NOT_OWNER), self._loop.time()))
        self._close_idle()
        while self._opening or self._closing:
            self._progress.clear()
            await self._progress.wait()
        return self.in_use

    async def wait_unused(self) -> None:
        """Return once no connection is in use."""
        while self._in_use or self._closing:
            self._progress.clear()
            await self._progress.wait()

    def cut(self) -> None:
        """Close every connection immediately, as ownership was lost."""
        self.retired = True
        self._perform(self.machine.handle(Closed(Reason.NOT_OWNER), self._loop.time()))
        for connection in self._idle:
            connection.abort()
        self._idle.clear()
        for slot in self._in_use.values():
            slot.connection.abort()

    async def _wait(self, ticket: int, effects: list[Effect]) -> Refusal | None:
        granted = self._loop.create_future()
        self._waiting[ticket] = granted
        self._perform(effects)
        try:
            refusal: Refusal | None = await granted
        except asyncio.CancelledError:
            self._waiting.pop(ticket, None)
            self._perform(self.machine.handle(Withdrawn(ticket), self._loop.time()))
            raise
        return refusal

    async def _connect(self, ticket: int, wait_until: float) -> Slot | Refusal:
        self._opening += 1
        opened: Result[BackendConnection, Refusal] | None = None
        try:
            opened = await self._open_connection(wait_until)
        finally:
            self._opening -= 1
            self._progress.set()
            if opened is None or opened.is_error():
                self._finish(ticket)
        if opened.is_error():
            return opened.error
        slot = Slot(ticket, self, opened.ok)
        self._in_use[ticket] = slot
        if self.retired:
            self.release_clean(slot)
            return not_run(Reason.NOT_OWNER, "the instance has another owner")
        return slot

    async def _reset(self, connection: BackendConnection) -> None:
        try:
            await connection.reset()
        except Exception:
            connection.abort()

    def _finish(self, ticket: int) -> None:
        effects = self.machine.handle(Finished(ticket), self._loop.time())
        if effects:
            self._perform(effects)
        if self.retired:
            self._progress.set()

    def _trim(self) -> None:
        """Close idle connections that exceed the number of slots."""
        while self._idle and self._connection_count() > self.machine.total:
            self._close(self._idle.pop(0))

    def _connection_count(self) -> int:
        return self.machine.in_use + self._retained + len(self._idle)

    def _close_idle(self) -> None:
        for connection in self._idle:
            self._close(connection)
        self._idle.clear()

    def _close(self, connection: BackendConnection) -> None:
        self._track(connection.close())

    def _end(self, connection: BackendConnection) -> None:
        """Close a connection and kill its server side, which may still be running a statement."""
        connection.abort()
        self._track(self._end_connection(connection.id))

    def _track(self, closing: Awaitable[None]) -> None:
        """Count a connection as occupying its slot until the back end has closed it."""
        self._closing += 1
        self._occupied_changed()
        task = asyncio.ensure_future(closing)
        self._closing_tasks.add(task)
        task.add_done_callback(self._connection_closed)

    def _connection_closed(self, task: asyncio.Task[None]) -> None:
        self._closing_tasks.discard(task)
        self._closing -= 1
        if not task.cancelled():
            task.exception()
        self._occupied_changed()
        self._progress.set()

    def _occupied_changed(self) -> None:
        event = OccupiedChanged(self._closing + self._retained)
        self._perform(self.machine.handle(event, self._loop.time()))

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            waiting = self._waiting.pop(effect.ticket, None)
            if isinstance(effect, Grant):
                if waiting is None or waiting.done():
                    self._loop.call_soon(self._finish, effect.ticket)
                else:
                    waiting.set_result(None)
            elif waiting is not None and not waiting.done():
                detail = "no slot of the back end is available"
                waiting.set_result(not_run(effect.reason, detail, effect.retry_after_ms))
        self._set_timer()

    def _set_timer(self) -> None:
        if not self._waiting:
            return
        if self._timer is not None:
            self._timer.cancel()
        at = self.machine.next_wakeup()
        if at is not None:
            self._timer = self._loop.call_at(at, self._wake_up)

    def _wake_up(self) -> None:
        self._timer = None
        self._perform(self.machine.handle(Wakeup(), self._loop.time()))
