"""The connections of this node to one database."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter

from bramblebeam.core.gateway.budget import ConnectionBudget
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.state import NO_STATE, SessionState
from bramblebeam.core.gateway.usage import TenantUsage
from bramblebeam.core.overload.work import Work
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import DATABASE_CONNECTIONS_SILENT
from bramblebeam.services.gateway.pooled import ANSWER_SECONDS, CLOCK_STEP, PooledConnection
from bramblebeam.services.gateway.ports import ConnectError, DatabaseConnector
from bramblebeam.services.gateway.resting import IdleConnections
from bramblebeam.services.gateway.slot_queue import Permit, SlotQueue, unbounded
from bramblebeam.services.gateway.waiters import Waiter, Waiters
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT = 1.0
REFUSED_PAUSE = 0.25
"""After the database refused a connection, none is opened for so long (seconds)."""
FAILED_PAUSE = 0.05
"""As after a refusal, where the database could not be reached."""
KEPT_IDLE = 1
"""Connections that stay open however long they rest."""
TURN_SECONDS = 0.3
"""A connection in use goes to its tenant's next statement for so long, as another tenant has to
open one anew (12 ms of one of its slots). Then one who has waited for so long is next."""
SMOOTHING = 0.2
SILENCE_SECONDS = 1.0
"""A database that was silent is passed over for so long, then tried again."""
PATIENCE = 0.15
PATIENCE_FACTOR = 5.0
"""What has no answer after so many times the usual latency, and PATIENCE, is late."""
LONG_PATIENCE = 1.0
LONG_PATIENCE_FACTOR = 20.0
"""What has no answer after so many times the usual latency more, and LONG_PATIENCE, while the
database answers on other connections, waits on a silent one (seconds)."""


class DatabasePool:
    """Opens, lends and closes connections to one database.

    A connection is lent to one statement or transaction at a time. `budget` bounds those that are
    open; `kept_idle`: as many stay open though they rest. `latency` is a running mean of
    a statement's time there, `open_seconds` of the time to open a connection (seconds; 0: not known
    yet), `heard_at` when the database last said anything. `is_gone`: nothing listened there when a
    connection was last tried.

    A connection carries one tenant's statements only. One that rests is closed where another tenant
    needs one and no further may be opened.

    Connections may go silent together. Once one gave no answer in time, those that were last heard
    of before it was asked are not lent again (`distrust_idle`). Where the answer would have come at
    once, those that are lent are silent too as far as is known (`silenced`): what may be repeated
    is given up on them, and a transaction's COMMIT is not sent.

    `slots`: the queue for the database's slots, None: connections alone bound the work.
    """

    def __init__(
        self,
        entry: DatabaseEntry,
        connector: DatabaseConnector,
        budget: ConnectionBudget,
        slots: SlotQueue | None = None,
    ) -> None:
        self.entry = entry
        self.budget = budget
        self.slots = slots
        self.kept_idle = KEPT_IDLE
        self.latency = 0.0
        self.received_at = loop_time()
        self.unresponsive_since: float | None = None
        self.is_gone = False
        self.open_seconds = 0.0
        self._connector = connector
        self._usage = TenantUsage()
        self._idle = IdleConnections()
        self._checked_out: set[PooledConnection] = set()
        self._opening: dict[asyncio.Task[None], TenantId] = {}
        self._waiters = Waiters()
        self._retry: asyncio.TimerHandle | None = None
        self._refused_until = 0.0
        self._trusted_since = float("-inf")
        self._silent_before = float("-inf")
        self._closed = False

    @property
    def late_after(self) -> float:
        """After how long an answer is late (seconds)."""
        return max(PATIENCE, PATIENCE_FACTOR * self.latency)

    @property
    def grace_period(self) -> float:
        """After how long more a late answer does not come any more (seconds)."""
        return max(LONG_PATIENCE, LONG_PATIENCE_FACTOR * self.latency)

    @property
    def checked_out(self) -> int:
        """Connections in use by statements and transactions."""
        return len(self._checked_out)

    @property
    def load(self) -> int:
        """Statements and transactions that hold a connection, or wait for one or for a slot."""
        waiting = 0 if self.slots is None else self.slots.waiting
        return len(self._checked_out) + len(self._waiters) + waiting

    @property
    def unresponsive(self) -> bool:
        """Whether the database was silent a moment ago."""
        if self.unresponsive_since is None:
            return False
        return loop_time() - self.unresponsive_since < SILENCE_SECONDS

    def has_idle(self, tenant: TenantId) -> bool:
        """Whether a connection of the tenant rests here, so that none needs to be opened."""
        return self._idle.has(tenant)

    async def enter(self, work: Work) -> Permit:
        """Wait until a statement may be under way. Raises NoSlotError, ConnectError."""
        return unbounded() if self.slots is None else await self.slots.enter(work)

    async def acquire(
        self, tenant: TenantId, session: SessionState, timeout: float
    ) -> PooledConnection:
        """Lend the tenant's connection that suits the session best.

        Raises ConnectError, TimeoutError (`timeout` in seconds).
        """
        self._usage.record(tenant, loop_time())
        found = self._idle.take(tenant, session)
        if found is not None:
            found.turn_since = loop_time()
            return self._lend(found, is_fresh=False)
        return await self._wait(tenant, timeout)

    async def acquire_any(self, timeout: float) -> PooledConnection:
        """Lend any connection, for the gateway's own questions and before all who wait.

        Raises ConnectError, TimeoutError (`timeout` in seconds).
        """
        found = self._idle.take_any(NO_STATE)
        if found is not None:
            return self._lend(found, is_fresh=False)
        return await self._wait(None, timeout)

    async def _wait(self, tenant: TenantId | None, timeout: float) -> PooledConnection:
        waiter = Waiter(asyncio.get_running_loop().create_future(), tenant, loop_time())
        self._waiters.add(waiter, is_urgent=tenant is None)
        self._open_more()
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(waiter.future)
        except BaseException:
            self._withdraw(waiter)
            raise

    def _withdraw(self, waiter: Waiter) -> None:
        """Give back what a waiter that has given up was lent meanwhile."""
        future = waiter.future
        if not future.done():
            future.cancel()
            self._waiters.remove(waiter)
        elif not future.cancelled() and future.exception() is None:
            self.release(future.result())

    def release(self, lent: PooledConnection) -> None:
        """Take a connection back; a closed one is forgotten."""
        self._checked_out.discard(lent)
        if lent.connection.closed:
            self._open_more()
            return
        if self._closed or lent.received_at < self._trusted_since:
            lent.connection.close()
            self._open_more()
            return
        lent.idle_since = loop_time()
        self._offer(lent)

    def discard(self, lent: PooledConnection) -> None:
        """Close a connection that is not clean; the database rolls back what is open on it."""
        lent.connection.close()
        self.release(lent)

    def record_reply(self, seconds: float, refusal: Refusal | None) -> None:
        """Note that the database answered a statement within `seconds`.

        A refusal comes fast, and tells nothing of how long a statement takes that is served.
        """
        self.received_at = loop_time()
        self.unresponsive_since = None
        if refusal is None:
            self.latency += SMOOTHING * (seconds - self.latency)
        elif refusal.reason is Reason.QUEUE_FULL and self.slots is not None:
            self.slots.refused()

    def record_unresponsive(self) -> None:
        """Note that the database did not answer in time."""
        self.unresponsive_since = loop_time()

    def expire_connections(self, asked_at: float) -> None:
        """Close idle connections not heard of since one was asked that has not answered yet."""
        self._trusted_since = max(self._trusted_since, asked_at)
        self._idle.close_unheard(self._trusted_since)

    def suspect_connections(self, asked_at: float) -> None:
        """Note that something asked then has no answer, though it would have come at once."""
        self.expire_connections(asked_at)
        self._silent_before = max(self._silent_before, asked_at)
        suspects = [lent for lent in self._checked_out if self.is_suspect(lent)]
        for lent in suspects:
            if lent.waiting_since is not None:
                self.close_when_late(lent)
        if suspects:
            self.log_suspects(len(suspects))
        self._open_more()

    def log_suspects(self, lent: int) -> None:
        """Log how many connections in use are silent."""
        instance = self.entry.instance
        log_event(logger, DATABASE_CONNECTIONS_SILENT, instance=instance, lent=lent)

    def is_suspect(self, lent: PooledConnection) -> bool:
        """Whether a connection has not been heard of since connections were found to be silent."""
        return lent.received_at < self._silent_before

    def close_when_late(self, lent: PooledConnection) -> None:
        """Close a silent connection once its answer is late, unless that must be waited for."""
        asked_at = lent.waiting_since
        assert asked_at is not None

        def give_up() -> None:
            if lent.waiting_since == asked_at and not lent.must_wait:
                lent.connection.close()

        due = asked_at + max(ANSWER_SECONDS, self.late_after)
        asyncio.get_running_loop().call_at(max(due, loop_time()), give_up)

    def close_idle(self, now: float) -> None:
        """Close connections that have rested for long."""
        self._idle.close_rested(self.kept_idle, now)

    def close(self) -> None:
        """Close idle connections; lent ones close when they come back."""
        self._closed = True
        self._idle.close_all()
        self._waiters.fail(ConnectError(Reason.LEAVING, "the database has left"))
        if self.slots is not None:
            self.slots.close()

    def _offer(self, free: PooledConnection, is_fresh: bool = False) -> None:
        """Lend a free connection to the next whom it is for, or let it rest."""
        must_yield = not is_fresh and self._must_yield(free)
        waiter = None if must_yield else self._waiters.pop_for(free.tenant)
        if waiter is not None:
            waiter.future.set_result(self._lend(free, is_fresh))
            return
        self._idle.add(free)
        if self._waiters:
            self._open_more()

    def _must_yield(self, free: PooledConnection) -> bool:
        """Whether a connection has served its tenant for its turn, and another one's is due."""
        due = loop_time() - TURN_SECONDS
        return free.turn_since < due and self._waiters.must_yield(free.tenant, due, self._held())

    def _held(self) -> Counter[TenantId]:
        """Return how many connections each tenant uses."""
        return Counter(lent.tenant for lent in self._checked_out)

    def _lend(self, free: PooledConnection, is_fresh: bool) -> PooledConnection:
        self._checked_out.add(free)
        free.is_fresh = is_fresh
        return free

    def _open_more(self) -> None:
        """Open connections for those who wait, also in place of resting ones of other tenants."""
        now = loop_time()
        if self._closed or not self._waiters:
            return
        if now < self._refused_until:
            self._open_later()
            return
        # A silent connection that is waited for must not keep others from being opened.
        held = sum(not self.is_suspect(lent) for lent in self._checked_out)
        room = self.budget.limit(now) - held - len(self._idle) - len(self._opening)
        for waiter in self._waiters.without_connection(self._opening.values(), self._held()):
            if room > 0:
                room -= 1
            elif not self._idle.close_for_room(self._usage, now):
                return
            self._start_opening(waiter.opens_for)

    def _open_later(self) -> None:
        """Look again once the database may be asked again."""
        if self._retry is None:
            loop = asyncio.get_running_loop()
            self._retry = loop.call_at(self._refused_until + CLOCK_STEP, self._open_again)

    def _open_again(self) -> None:
        self._retry = None
        self._open_more()

    def _start_opening(self, tenant: TenantId) -> None:
        task = asyncio.get_running_loop().create_task(self._open(tenant))
        self._opening[task] = tenant
        self._waiters.note_turn(tenant)
        task.add_done_callback(lambda done: self._opening.pop(done, None))

    async def _open(self, tenant: TenantId) -> None:
        task = asyncio.current_task()
        assert task is not None
        began = loop_time()
        try:
            connection = await self._connector.connect(self.entry, tenant, CONNECT_TIMEOUT)
        except ConnectError as error:
            self._opening.pop(task, None)
            self._open_failed(error)
            return
        self._opening.pop(task, None)
        if self._closed:
            connection.close()
            return
        self.received_at = loop_time()
        self.unresponsive_since = None
        self.is_gone = False
        self._note_opened(self.received_at - began)
        self._offer(PooledConnection(self, connection, tenant, began), is_fresh=True)

    def _note_opened(self, seconds: float) -> None:
        """Learn how long it takes to open a connection: a statement's time until there is one."""
        if not self.latency:
            self.latency = seconds
        if not self.open_seconds:
            self.open_seconds = seconds
        self.open_seconds += SMOOTHING * (seconds - self.open_seconds)

    def _open_failed(self, error: ConnectError) -> None:
        now = loop_time()
        if error.reason is Reason.TOO_MANY_CONNECTIONS:
            self._refused_until = now + REFUSED_PAUSE
            self.budget.record_refusal(now)
            is_room_made = self._idle.close_for_room(self._usage, now)
            if is_room_made or any(not self.is_suspect(lent) for lent in self._checked_out):
                self._open_more()
                return
        else:
            self._refused_until = now + FAILED_PAUSE
            self.unresponsive_since = now
            self.is_gone = error.is_gone
        self._waiters.fail(error)
