"""The connections of this node to one database."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TypeVar

from bramblebeam.core.gateway.budget import ConnectionBudget
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.gateway.state import ConnectionState, SessionState
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import DATABASE_CONNECTIONS_SILENT
from bramblebeam.services.gateway.ports import (
    Command,
    ConnectError,
    ConnectionLostError,
    DatabaseConnection,
    DatabaseConnector,
)

logger = logging.getLogger(__name__)

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
PATIENCE = 0.15
PATIENCE_FACTOR = 5.0
"""What has no answer after so many times the usual latency, and PATIENCE, is late."""
LONG_PATIENCE = 1.0
LONG_PATIENCE_FACTOR = 20.0
"""What has no answer after so many times the usual latency more, and LONG_PATIENCE, while the
database answers on other connections, waits on a silent one (seconds)."""
ANSWER_SECONDS = 0.45
"""What takes no slot is answered at once also by a busy database: one that says nothing for so long
is silent, or the connection is (seconds)."""
CLOCK_STEP = 0.002
"""The loop's clock moves in milliseconds: a time-out may seem to come earlier than its bound."""
STALL_SECONDS = 0.1
"""A timer that fires so late shows that this process stood still, and nothing of the far end."""

Answer = TypeVar("Answer")


class PooledConnection:
    """A database connection with the state that it holds, and the pool that it belongs to.

    `heard_at`: when anything came over it last (steady clock, seconds). `is_fresh`: it was
    opened for whoever has it. `asked_at`: since when an answer is waited for, None: it rests.
    `must_wait`: what was asked may run once only, so that the answer is waited for to the end.
    """

    __slots__ = (
        "_timer",
        "asked_at",
        "connection",
        "heard_at",
        "idle_since",
        "is_fresh",
        "must_wait",
        "pool",
        "state",
    )

    def __init__(self, pool: DatabasePool, connection: DatabaseConnection) -> None:
        self.pool = pool
        self.connection = connection
        self.state = ConnectionState()
        self.heard_at = self.idle_since = asyncio.get_running_loop().time()
        self.is_fresh = True
        self.asked_at: float | None = None
        self.must_wait = False
        self._timer: asyncio.TimerHandle

    async def run(
        self, commands: list[Command], timeout: float, must_wait: bool = False
    ) -> list[Reply]:
        """Run commands (`timeout` in seconds). Raises ConnectionLostError."""
        self.must_wait = must_wait
        return await self.ask(lambda connection: connection.run(commands, timeout))

    async def run_at_once(self, commands: list[Command], timeout: float) -> list[Reply]:
        """Run commands that take no slot. Raises ConnectionLostError.

        No answer within ANSWER_SECONDS shows that connections to the database are silent.
        """
        asked_at = _now()
        bound = min(timeout, ANSWER_SECONDS)
        try:
            return await self.run(commands, bound)
        except ConnectionLostError:
            waited = _now() - asked_at
            is_whole = timeout >= ANSWER_SECONDS
            if is_whole and bound - CLOCK_STEP <= waited <= bound + STALL_SECONDS:
                self.pool.silenced(asked_at)
            raise

    async def ask(self, question: Callable[[DatabaseConnection], Awaitable[Answer]]) -> Answer:
        """Ask something. When the answer is late, the pool is told. Raises ConnectionLostError."""
        loop = asyncio.get_running_loop()
        self.asked_at = loop.time()
        self._wait(self.pool.patience, self._answer_is_late)
        if self.pool.is_silent(self):
            self.pool.give_up_late(self)
        try:
            answer = await question(self.connection)
        finally:
            self._timer.cancel()
            self.asked_at = None
            self.must_wait = False
        self.heard_at = self.pool.heard_at = loop.time()
        return answer

    def _wait(self, seconds: float, look: Callable[[], None]) -> None:
        """Look at the answer that is missing after so many seconds.

        A timer that is late itself shows that this process stood still: the answer may be there
        and not yet read, so that it is looked for once more.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds

        def fire() -> None:
            if loop.time() - due > STALL_SECONDS:
                self._wait(seconds, look)
            else:
                look()

        self._timer = loop.call_at(due, fire)

    def _answer_is_late(self) -> None:
        """Have those connections closed that may have gone silent together with this one."""
        assert self.asked_at is not None
        self.pool.distrust_idle(self.asked_at)
        self._wait(self.pool.long_patience, self._give_up_if_others_answer)

    def _give_up_if_others_answer(self) -> None:
        """Give the connection up if it is the one at fault, as the database answers on others.

        What may run once only is waited for all the same.
        """
        assert self.asked_at is not None
        answers_others = self.pool.heard_at > self.asked_at + self.pool.patience
        if answers_others and not self.must_wait:
            self.pool.log_silent(1)
            self.connection.close()
        else:
            self._wait(ANSWER_SECONDS, self._give_up_if_others_answer)

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

    Connections may go silent together. Once one gave no answer in time, those that were last heard
    of before it was asked are not lent again (`distrust_idle`). Where the answer would have come at
    once, those that are lent are silent too as far as is known (`silenced`): what may be repeated
    is given up on them, and a transaction's COMMIT is not sent.
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
        self._trusted_since = float("-inf")
        self._silent_before = float("-inf")
        self._closed = False

    @property
    def patience(self) -> float:
        """After how long an answer is late (seconds)."""
        return max(PATIENCE, PATIENCE_FACTOR * self.latency)

    @property
    def long_patience(self) -> float:
        """After how long more a late answer does not come any more (seconds)."""
        return max(LONG_PATIENCE, LONG_PATIENCE_FACTOR * self.latency)

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
        if self._closed or lent.heard_at < self._trusted_since:
            lent.connection.close()
            self._open_more()
            return
        lent.idle_since = _now()
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
        """Note that the database did not answer in time."""
        self.silent_since = _now()

    def distrust_idle(self, asked_at: float) -> None:
        """Close idle connections not heard of since one was asked that has not answered yet."""
        self._trusted_since = max(self._trusted_since, asked_at)
        trusted = [idle for idle in self._idle if idle.heard_at >= self._trusted_since]
        for idle in self._idle:
            if idle not in trusted:
                idle.connection.close()
        self._idle = trusted

    def silenced(self, asked_at: float) -> None:
        """Note that something asked then has no answer, though it would have come at once."""
        self.distrust_idle(asked_at)
        self._silent_before = max(self._silent_before, asked_at)
        suspects = [lent for lent in self._lent if self.is_silent(lent)]
        for lent in suspects:
            if lent.asked_at is not None:
                self.give_up_late(lent)
        if suspects:
            self.log_silent(len(suspects))
        self._open_more()

    def log_silent(self, lent: int) -> None:
        """Log how many connections in use are silent."""
        instance = self.entry.instance
        log_event(logger, DATABASE_CONNECTIONS_SILENT, instance=instance, lent=lent)

    def is_silent(self, lent: PooledConnection) -> bool:
        """Whether a connection has not been heard of since connections were found to be silent."""
        return lent.heard_at < self._silent_before

    def give_up_late(self, lent: PooledConnection) -> None:
        """Close a silent connection once its answer is late, unless that must be waited for."""
        asked_at = lent.asked_at
        assert asked_at is not None

        def give_up() -> None:
            if lent.asked_at == asked_at and not lent.must_wait:
                lent.connection.close()

        due = asked_at + max(ANSWER_SECONDS, self.patience)
        asyncio.get_running_loop().call_at(max(due, _now()), give_up)

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
        return self._lend(best, is_fresh=False)

    def _offer(self, free: PooledConnection, is_fresh: bool = False) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(self._lend(free, is_fresh))
                return
        self._idle.append(free)

    def _lend(self, free: PooledConnection, is_fresh: bool) -> PooledConnection:
        self._lent.add(free)
        free.is_fresh = is_fresh
        return free

    def _open_more(self) -> None:
        loop = asyncio.get_running_loop()
        wanted = len(self._waiters) - len(self._opening)
        # A silent connection that is waited for must not keep others from being opened.
        held = sum(not self.is_silent(lent) for lent in self._lent)
        room = self.budget.limit(loop.time()) - held - len(self._idle) - len(self._opening)
        if self._closed or loop.time() < self._refused_until:
            if self._waiters and not held and not self._opening and not self._closed:
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
        if self._closed:
            connection.close()
            return
        self.heard_at = loop.time()
        self.silent_since = None
        if not self.latency:
            self.latency = loop.time() - began
        self._offer(PooledConnection(self, connection), is_fresh=True)

    def _open_failed(self, error: ConnectError) -> None:
        now = asyncio.get_running_loop().time()
        if error.reason is Reason.TOO_MANY_CONNECTIONS:
            self._refused_until = now + REFUSED_PAUSE
            self.budget.refused(now)
            if any(not self.is_silent(lent) for lent in self._lent):
                return
        else:
            self._refused_until = now + FAILED_PAUSE
            self.silent_since = now
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(error)


def _now() -> float:
    return asyncio.get_running_loop().time()
