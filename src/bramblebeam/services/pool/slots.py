"""The slot connections of one ownership epoch: the shell of the slot machine."""

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
    """The right to use one connection until it is given back."""

    ticket: int
    connections: SlotConnections
    connection: BackendConnection


class SlotConnections:
    """Grants slots and keeps the connections behind them."""

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
        self._held: dict[int, Slot] = {}
        self._waiting: dict[int, asyncio.Future[Refusal | None]] = {}
        self._next_ticket = 0
        self._opening = 0
        self._closing = 0
        self._retained = 0
        self._ending: set[asyncio.Task[None]] = set()
        self._quiet = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self.machine.handle(Opened(), self._loop.time())

    @property
    def held(self) -> frozenset[int]:
        """The back end's ids of the connections that serve something now."""
        return frozenset(slot.connection.id for slot in self._held.values())

    @property
    def own(self) -> frozenset[int]:
        """The back end's ids of all connections that are held or idle."""
        return self.held | {connection.id for connection in self._idle}

    def set_limits(self, limits: InstanceLimits) -> None:
        """Take other rows; idle connections beyond them are closed now, others as they end."""
        self._carry_out(self.machine.handle(LimitsChanged(limits), self._loop.time()))
        self._trim()

    def suspend(self, reason: Reason) -> None:
        """Refuse what waits and what comes, until `resume`; what runs goes on."""
        self._carry_out(self.machine.handle(Closed(reason), self._loop.time()))

    def resume(self) -> None:
        """Grant slots again."""
        if not self.retired:
            self._carry_out(self.machine.handle(Opened(), self._loop.time()))

    def set_retained(self, count: int) -> None:
        """Account for connections that a former owner still uses."""
        self._retained = count
        self._trim()
        self._occupied_changed()

    async def acquire(self, service: ServiceId, wait_until: float) -> Slot | Refusal:
        """Wait for a slot until `wait_until` (loop time), and for its connection."""
        self._next_ticket += 1
        ticket = self._next_ticket
        effects = self.machine.handle(Arrived(ticket, service, wait_until), self._loop.time())
        if len(effects) != 1 or effects[0] != Grant(ticket):
            refusal = await self._wait(ticket, effects)
            if refusal is not None:
                return refusal
        if self._idle:
            slot = Slot(ticket, self, self._idle.pop())
            self._held[ticket] = slot
            return slot
        return await self._connect(ticket, wait_until)

    async def give_back(self, slot: Slot) -> None:
        """Take a slot back after its connection's session state was reset."""
        connection = slot.connection
        if not connection.broken and not connection.busy:
            await self._reset(connection)
        self.release_clean(slot)

    def release_clean(self, slot: Slot) -> None:
        """Take a slot back whose connection needs no reset, or is broken."""
        connection = self._held.pop(slot.ticket).connection
        if connection.broken or connection.busy or connection.in_transaction:
            self._end(connection)
        elif self.retired or self.machine.free < 0:
            self._close(connection)
        else:
            self._idle.append(connection)
        self._finish(slot.ticket)

    async def retire(self) -> frozenset[int]:
        """Grant nothing more, close what is idle; return the ids of connections still in use."""
        self.retired = True
        self._carry_out(self.machine.handle(Closed(Reason.NOT_OWNER), self._loop.time()))
        self._close_idle()
        while self._opening or self._closing:
            self._quiet.clear()
            await self._quiet.wait()
        return self.held

    async def wait_unused(self) -> None:
        """Return when no connection is held any more."""
        while self._held or self._closing:
            self._quiet.clear()
            await self._quiet.wait()

    def cut(self) -> None:
        """Close every connection at once: ownership was lost."""
        self.retired = True
        self._carry_out(self.machine.handle(Closed(Reason.NOT_OWNER), self._loop.time()))
        for connection in self._idle:
            connection.abort()
        self._idle.clear()
        for slot in self._held.values():
            slot.connection.abort()

    async def _wait(self, ticket: int, effects: list[Effect]) -> Refusal | None:
        granted = self._loop.create_future()
        self._waiting[ticket] = granted
        self._carry_out(effects)
        try:
            refusal: Refusal | None = await granted
        except asyncio.CancelledError:
            self._waiting.pop(ticket, None)
            self._carry_out(self.machine.handle(Withdrawn(ticket), self._loop.time()))
            raise
        return refusal

    async def _connect(self, ticket: int, wait_until: float) -> Slot | Refusal:
        self._opening += 1
        opened: Result[BackendConnection, Refusal] | None = None
        try:
            opened = await self._open_connection(wait_until)
        finally:
            self._opening -= 1
            self._quiet.set()
            if opened is None or opened.is_error():
                self._finish(ticket)
        if opened.is_error():
            return opened.error
        slot = Slot(ticket, self, opened.ok)
        self._held[ticket] = slot
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
            self._carry_out(effects)
        if self.retired:
            self._quiet.set()

    def _trim(self) -> None:
        """Close idle connections that the slots no longer allow."""
        while self._idle and self._counted() > self.machine.total:
            self._close(self._idle.pop(0))

    def _counted(self) -> int:
        return self.machine.in_use + self._retained + len(self._idle)

    def _close_idle(self) -> None:
        for connection in self._idle:
            self._close(connection)
        self._idle.clear()

    def _close(self, connection: BackendConnection) -> None:
        self._track(connection.close())

    def _end(self, connection: BackendConnection) -> None:
        """End a connection whose server side may still be at work."""
        connection.abort()
        self._track(self._end_connection(connection.id))

    def _track(self, closing: Awaitable[None]) -> None:
        """Count a connection as occupying its slot until the back end has let it go."""
        self._closing += 1
        self._occupied_changed()
        task = asyncio.ensure_future(closing)
        self._ending.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._ending.discard(task)
        self._closing -= 1
        if not task.cancelled():
            task.exception()
        self._occupied_changed()
        self._quiet.set()

    def _occupied_changed(self) -> None:
        event = OccupiedChanged(self._closing + self._retained)
        self._carry_out(self.machine.handle(event, self._loop.time()))

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            waiting = self._waiting.pop(effect.ticket, None)
            if isinstance(effect, Grant):
                if waiting is None or waiting.done():
                    self._loop.call_soon(self._finish, effect.ticket)
                else:
                    waiting.set_result(None)
            elif waiting is not None and not waiting.done():
                detail = "no slot of the back end is free"
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
        self._carry_out(self.machine.handle(Wakeup(), self._loop.time()))
