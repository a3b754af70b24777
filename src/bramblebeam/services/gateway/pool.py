"""This node's connection pool for one database."""

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
from bramblebeam.events.catalogue import DATABASE_CONNECTIONS_UNRESPONSIVE
from bramblebeam.services.gateway.pooled import ANSWER_SECONDS, CLOCK_STEP, PooledConnection
from bramblebeam.services.gateway.ports import ConnectError, DatabaseConnector
from bramblebeam.services.gateway.resting import IdleConnections
from bramblebeam.services.gateway.slot_queue import Permit, SlotQueue, unlimited_permit
from bramblebeam.services.gateway.waiters import Waiter, Waiters
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT = 1.0
"""Timeout for opening a connection (seconds)."""
REFUSED_PAUSE = 0.25
"""Pause before the next connection is opened after the database refused one (seconds)."""
FAILED_PAUSE = 0.05
"""The same after the database could not be reached (seconds)."""
KEPT_IDLE = 1
"""Connections that stay open however long they are idle."""
TURN_SECONDS = 0.3
"""How long a connection goes to its tenant's next statements although another tenant waits, which
needs a new connection (12 ms of one of the database's slots). After that, a waiter that has waited
for as long is next."""
SMOOTHING = 0.2
"""Weight of the newest sample in the running means."""
UNRESPONSIVE_SECONDS = 1.0
"""How long an unresponsive database is avoided before it is tried again."""
LATE_SECONDS = 0.15
LATE_FACTOR = 5.0
"""A reply is late after this multiple of the usual latency, and after at least LATE_SECONDS."""
GRACE_SECONDS = 1.0
GRACE_FACTOR = 20.0
"""A late reply is lost after a further multiple of the usual latency, and after at least
GRACE_SECONDS, if the database replies on other connections in the meantime."""


class DatabasePool:
    """Opens and closes connections to one database, and checks them out.

    A connection is checked out by one statement or transaction at a time. `budget` limits the open
    connections; `kept_idle` is how many stay open while idle. `latency` is a running mean of a
    statement's time at the database, `open_seconds` of the time to open a connection (seconds; 0 if
    unknown). `received_at`: when anything was last received from the database. `is_gone`: nothing
    listened at its address at the last attempt to connect.

    A connection carries the statements of one tenant only. An idle one is closed if another tenant
    needs a connection and the budget allows no more.

    Connections may become unresponsive together. If a reply is late, connections that have received
    nothing since its query was sent are not checked out again (`expire_connections`). If the reply
    should have been immediate, such connections are also suspect while in use
    (`suspect_connections`): statements that may be repeated are abandoned on them, and a
    transaction's COMMIT is not sent.

    `slots`: the queue for the database's slots; None if only connections limit the work.
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
        self._open_timer: asyncio.TimerHandle | None = None
        self._refused_until = 0.0
        self._valid_since = float("-inf")
        self._suspect_before = float("-inf")
        self._closed = False

    @property
    def late_after(self) -> float:
        """Time after which a reply is late (seconds)."""
        return max(LATE_SECONDS, LATE_FACTOR * self.latency)

    @property
    def grace_period(self) -> float:
        """Further time after which a late reply counts as lost (seconds)."""
        return max(GRACE_SECONDS, GRACE_FACTOR * self.latency)

    @property
    def checked_out(self) -> int:
        """Number of connections in use by statements and transactions."""
        return len(self._checked_out)

    @property
    def load(self) -> int:
        """Number of statements and transactions that use or wait for a connection or a slot."""
        waiting = 0 if self.slots is None else self.slots.waiting
        return len(self._checked_out) + len(self._waiters) + waiting

    @property
    def unresponsive(self) -> bool:
        """Whether the database recently failed to reply."""
        if self.unresponsive_since is None:
            return False
        return loop_time() - self.unresponsive_since < UNRESPONSIVE_SECONDS

    def has_idle(self, tenant: TenantId) -> bool:
        """Whether a connection of the tenant is idle, so that none needs to be opened."""
        return self._idle.has(tenant)

    async def enter(self, work: Work) -> Permit:
        """Wait until a statement may be sent. Raises NoSlotError, ConnectError."""
        return unlimited_permit() if self.slots is None else await self.slots.enter(work)

    async def acquire(
        self, tenant: TenantId, session: SessionState, timeout: float
    ) -> PooledConnection:
        """Check out the tenant's connection whose state is closest to the session's.

        Raises ConnectError, TimeoutError (`timeout` in seconds).
        """
        self._usage.record(tenant, loop_time())
        idle = self._idle.take(tenant, session)
        if idle is not None:
            idle.turn_since = loop_time()
            return self._check_out(idle, is_fresh=False)
        return await self._wait(tenant, timeout)

    async def acquire_any(self, timeout: float) -> PooledConnection:
        """Check out any connection, for the gateway's own queries, ahead of all waiters.

        Raises ConnectError, TimeoutError (`timeout` in seconds).
        """
        idle = self._idle.take_any(NO_STATE)
        if idle is not None:
            return self._check_out(idle, is_fresh=False)
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
        """Remove a cancelled waiter, and release the connection that it may already have got."""
        future = waiter.future
        if not future.done():
            future.cancel()
            self._waiters.remove(waiter)
        elif not future.cancelled() and future.exception() is None:
            self.release(future.result())

    def release(self, pooled: PooledConnection) -> None:
        """Return a connection to the pool, or drop it if it is closed or expired."""
        self._checked_out.discard(pooled)
        if pooled.connection.closed:
            self._open_more()
            return
        if self._closed or pooled.received_at < self._valid_since:
            pooled.connection.close()
            self._open_more()
            return
        pooled.idle_since = loop_time()
        self._offer(pooled)

    def discard(self, pooled: PooledConnection) -> None:
        """Close and release a connection; the database rolls back its open transaction."""
        pooled.connection.close()
        self.release(pooled)

    def record_reply(self, seconds: float, refusal: Refusal | None) -> None:
        """Record that the database replied to a statement after `seconds`.

        Refusals are fast, and are no measure of the time that a served statement takes.
        """
        self.received_at = loop_time()
        self.unresponsive_since = None
        if refusal is None:
            self.latency += SMOOTHING * (seconds - self.latency)
        elif refusal.reason is Reason.QUEUE_FULL and self.slots is not None:
            self.slots.refused()

    def record_unresponsive(self) -> None:
        """Record that the database did not reply in time."""
        self.unresponsive_since = loop_time()

    def expire_connections(self, queried_at: float) -> None:
        """Expire connections that have received nothing since a query whose reply is late.

        Idle ones are closed now, others when they are released.
        """
        self._valid_since = max(self._valid_since, queried_at)
        self._idle.close_not_received(self._valid_since)

    def suspect_connections(self, queried_at: float) -> None:
        """Expire connections after a query without the reply that should have been immediate.

        Connections in use that have received nothing since are suspect, and are closed when late.
        """
        self.expire_connections(queried_at)
        self._suspect_before = max(self._suspect_before, queried_at)
        suspects = [pooled for pooled in self._checked_out if self.is_suspect(pooled)]
        for pooled in suspects:
            if pooled.waiting_since is not None:
                self.close_when_late(pooled)
        if suspects:
            self.log_suspects(len(suspects))
        self._open_more()

    def log_suspects(self, count: int) -> None:
        """Log the number of connections in use that are unresponsive."""
        instance = self.entry.instance
        log_event(logger, DATABASE_CONNECTIONS_UNRESPONSIVE, instance=instance, lent=count)

    def is_suspect(self, pooled: PooledConnection) -> bool:
        """Whether a connection has received nothing since connections became suspect."""
        return pooled.received_at < self._suspect_before

    def close_when_late(self, pooled: PooledConnection) -> None:
        """Close a suspect connection once its reply is late, unless its reply must be awaited."""
        queried_at = pooled.waiting_since
        assert queried_at is not None

        def close() -> None:
            if pooled.waiting_since == queried_at and not pooled.must_wait:
                pooled.connection.close()

        due = queried_at + max(ANSWER_SECONDS, self.late_after)
        asyncio.get_running_loop().call_at(max(due, loop_time()), close)

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        self._idle.close_surplus(self.kept_idle, now)

    def close(self) -> None:
        """Close idle connections; those in use are closed when they are released."""
        self._closed = True
        self._idle.close_all()
        self._waiters.fail(ConnectError(Reason.LEAVING, "the database has left"))
        if self.slots is not None:
            self.slots.close()

    def _offer(self, free: PooledConnection, is_fresh: bool = False) -> None:
        """Give a free connection to the next waiter that it suits, or keep it idle."""
        must_yield = not is_fresh and self._must_yield(free)
        waiter = None if must_yield else self._waiters.pop_for(free.tenant)
        if waiter is not None:
            waiter.future.set_result(self._check_out(free, is_fresh))
            return
        self._idle.add(free)
        if self._waiters:
            self._open_more()

    def _must_yield(self, free: PooledConnection) -> bool:
        """Whether the turn of a connection's tenant is over and another tenant waits."""
        due = loop_time() - TURN_SECONDS
        return free.turn_since < due and self._waiters.must_yield(free.tenant, due, self._held())

    def _held(self) -> Counter[TenantId]:
        """Return the number of connections in use by tenant."""
        return Counter(pooled.tenant for pooled in self._checked_out)

    def _check_out(self, free: PooledConnection, is_fresh: bool) -> PooledConnection:
        self._checked_out.add(free)
        free.is_fresh = is_fresh
        return free

    def _open_more(self) -> None:
        """Open connections for waiters, closing idle ones of other tenants if necessary."""
        now = loop_time()
        if self._closed or not self._waiters:
            return
        if now < self._refused_until:
            self._open_later()
            return
        # A suspect connection that is still in use must not prevent others from being opened.
        held = sum(not self.is_suspect(pooled) for pooled in self._checked_out)
        room = self.budget.limit(now) - held - len(self._idle) - len(self._opening)
        for waiter in self._waiters.without_connection(self._opening.values(), self._held()):
            if room > 0:
                room -= 1
            elif not self._idle.close_for_room(self._usage, now):
                return
            self._start_opening(waiter.opens_for)

    def _open_later(self) -> None:
        """Retry at the end of the pause after a refusal or failure."""
        if self._open_timer is None:
            loop = asyncio.get_running_loop()
            self._open_timer = loop.call_at(self._refused_until + CLOCK_STEP, self._open_again)

    def _open_again(self) -> None:
        self._open_timer = None
        self._open_more()

    def _start_opening(self, tenant: TenantId) -> None:
        task = asyncio.get_running_loop().create_task(self._open(tenant))
        self._opening[task] = tenant
        self._waiters.record_turn(tenant)
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
        self._record_opened(self.received_at - began)
        self._offer(PooledConnection(self, connection, tenant, began), is_fresh=True)

    def _record_opened(self, seconds: float) -> None:
        """Record the time to open a connection, the first estimate of a statement's latency."""
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
            is_closed = self._idle.close_for_room(self._usage, now)
            if is_closed or any(not self.is_suspect(pooled) for pooled in self._checked_out):
                self._open_more()
                return
        else:
            self._refused_until = now + FAILED_PAUSE
            self.unresponsive_since = now
            self.is_gone = error.is_gone
        self._waiters.fail(error)
