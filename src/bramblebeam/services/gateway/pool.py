"""The connections of this node to one database."""

from __future__ import annotations

import asyncio
from collections import deque

from bramblebeam.core.gateway.budget import ConnectionBudget
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.state import ConnectionState, SessionState
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.services.gateway.ports import ConnectError, DatabaseConnection, DatabaseConnector

CONNECT_TIMEOUT = 1.0
REFUSED_PAUSE = 0.25
"""After the database refused a connection, none is opened for so long (seconds)."""
FAILED_PAUSE = 0.05
"""As after a refusal, where the database could not be reached."""
IDLE_SECONDS = 1.0
KEPT_IDLE = 1
"""Connections that stay open however long they rest."""
SMOOTHING = 0.2
SILENCE_SECONDS = 1.0
"""A database that was silent is passed over for so long, then tried again."""


class PooledConnection:
    """A database connection with the state that it holds, and the pool that it belongs to."""

    __slots__ = ("connection", "idle_since", "pool", "state")

    def __init__(self, pool: DatabasePool, connection: DatabaseConnection) -> None:
        self.pool = pool
        self.connection = connection
        self.state = ConnectionState()
        self.idle_since = 0.0

    @property
    def instance(self) -> InstanceId:
        """The database at the other end."""
        return self.pool.entry.instance

    def give_back(self) -> None:
        """Return the connection to its pool; a closed pool closes it."""
        self.pool.release(self)


class DatabasePool:
    """Opens, lends and closes connections to one database.

    A connection is lent to one statement or transaction at a time. `budget` bounds those that are
    open; `kept_idle`: as many stay open though they rest. `latency` is a running mean of
    a statement's time there (seconds), `heard_at` when the database last said anything.
    """

    def __init__(
        self, entry: DatabaseEntry, connector: DatabaseConnector, budget: ConnectionBudget
    ) -> None:
        self.entry = entry
        self.budget = budget
        self.kept_idle = KEPT_IDLE
        self.latency = 0.0
        self.heard_at = asyncio.get_running_loop().time()
        self.silent_since: float | None = None
        self._connector = connector
        self._idle: list[PooledConnection] = []
        self._lent: set[PooledConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._waiters: deque[asyncio.Future[PooledConnection]] = deque()
        self._refused_until = 0.0
        self._closed = False

    @property
    def load(self) -> int:
        """Statements and transactions that hold a connection or wait for one."""
        return len(self._lent) + len(self._waiters)

    @property
    def unresponsive(self) -> bool:
        """Whether the database was silent a moment ago."""
        if self.silent_since is None:
            return False
        return asyncio.get_running_loop().time() - self.silent_since < SILENCE_SECONDS

    async def acquire(
        self, session: SessionState, timeout: float, is_urgent: bool = False
    ) -> PooledConnection:
        """Lend the connection that suits the session best. Raises ConnectError, TimeoutError.

        `is_urgent`: before all others that wait.
        """
        found = self._take_idle(session)
        if found is not None:
            return found
        waiter: asyncio.Future[PooledConnection] = asyncio.get_running_loop().create_future()
        if is_urgent:
            self._waiters.appendleft(waiter)
        else:
            self._waiters.append(waiter)
        self._open_more()
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(waiter)
        except BaseException:
            self._withdraw(waiter)
            raise

    def _withdraw(self, waiter: asyncio.Future[PooledConnection]) -> None:
        """Give back what a waiter that has given up was lent meanwhile."""
        if not waiter.done():
            waiter.cancel()
            self._waiters.remove(waiter)
        elif not waiter.cancelled() and waiter.exception() is None:
            self.release(waiter.result())

    def release(self, lent: PooledConnection) -> None:
        """Take a connection back; a closed one is forgotten."""
        self._lent.discard(lent)
        if lent.connection.closed:
            self._open_more()
            return
        if self._closed:
            lent.connection.close()
            return
        lent.idle_since = asyncio.get_running_loop().time()
        self._offer(lent)

    def discard(self, lent: PooledConnection) -> None:
        """Close a connection that is not clean; the database rolls back what is open on it."""
        lent.connection.close()
        self.release(lent)

    def answered(self, seconds: float, refusal: Refusal | None) -> None:
        """Note that the database answered a statement within `seconds`.

        A refusal comes fast, and tells nothing of how long a statement takes that is served.
        """
        self.heard_at = asyncio.get_running_loop().time()
        self.silent_since = None
        if refusal is None:
            self.latency += SMOOTHING * (seconds - self.latency)

    def was_silent(self) -> None:
        """Note that the database did not answer in time; idle connections are not trusted."""
        now = asyncio.get_running_loop().time()
        self.silent_since = now
        for idle in self._idle:
            idle.connection.close()
        self._idle.clear()

    def close_idle(self, now: float) -> None:
        """Close connections that have rested for long."""
        keep = [idle for idle in self._idle if not idle.connection.closed]
        keep.sort(key=lambda idle: -idle.idle_since)
        self._idle = keep[: self.kept_idle]
        for idle in keep[self.kept_idle :]:
            if now - idle.idle_since > IDLE_SECONDS:
                idle.connection.close()
            else:
                self._idle.append(idle)

    def close(self) -> None:
        """Close idle connections; lent ones close when they come back."""
        self._closed = True
        for idle in self._idle:
            idle.connection.close()
        self._idle.clear()
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(ConnectError(Reason.LEAVING, "the database has left"))
        self._waiters.clear()

    def _take_idle(self, session: SessionState) -> PooledConnection | None:
        self._idle = [idle for idle in self._idle if not idle.connection.closed]
        if not self._idle:
            return None
        best = min(self._idle, key=lambda idle: (idle.state.distance(session), -idle.idle_since))
        self._idle.remove(best)
        self._lent.add(best)
        return best

    def _offer(self, free: PooledConnection) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._lent.add(free)
                waiter.set_result(free)
                return
        self._idle.append(free)

    def _open_more(self) -> None:
        loop = asyncio.get_running_loop()
        wanted = len(self._waiters) - len(self._opening)
        room = (
            self.budget.limit(loop.time()) - len(self._lent) - len(self._idle) - len(self._opening)
        )
        if self._closed or loop.time() < self._refused_until:
            if self._waiters and not self._lent and not self._opening and not self._closed:
                loop.call_at(self._refused_until + 0.001, self._open_more)
            return
        for _ in range(min(wanted, room)):
            task = loop.create_task(self._open())
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            connection = await self._connector.connect(self.entry, CONNECT_TIMEOUT)
        except ConnectError as error:
            self._opening.discard(asyncio.current_task())
            self._open_failed(error)
            return
        self._opening.discard(asyncio.current_task())
        self.heard_at = loop.time()
        self.silent_since = None
        if not self.latency:
            self.latency = loop.time() - began
        opened = PooledConnection(self, connection)
        opened.idle_since = loop.time()
        self._offer(opened)

    def _open_failed(self, error: ConnectError) -> None:
        now = asyncio.get_running_loop().time()
        if error.reason is Reason.TOO_MANY_CONNECTIONS:
            self._refused_until = now + REFUSED_PAUSE
            self.budget.refused(now)
            if self._lent:
                return
        else:
            self._refused_until = now + FAILED_PAUSE
            self.silent_since = now
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(error)
