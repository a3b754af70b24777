"""One connection to a database, lent to one statement or transaction at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.gateway.state import ConnectionState
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.tenants import TenantId
from bramblebeam.services.gateway.ports import (
    Command,
    ConnectionLostError,
    DatabaseConnection,
)
from bramblebeam.services.waiting import loop_time

if TYPE_CHECKING:
    from bramblebeam.services.gateway.pool import DatabasePool

ANSWER_SECONDS = 0.45
"""What takes no slot is answered at once also by a busy database: one that says nothing for so long
is silent, or the connection is (seconds)."""
CLOCK_STEP = 0.002
"""The loop's clock moves in milliseconds: a time-out may seem to come earlier than its bound."""
STALL_SECONDS = 0.1
"""A timer that fires so late shows that this process stood still, and nothing of the far end."""

Answer = TypeVar("Answer")


class OtherTenantError(RuntimeError):
    """A statement was about to go over another tenant's connection: a fault of this program."""


class PooledConnection:
    """A database connection with the state that it holds, and the pool that it belongs to.

    `tenant`: whose statements it carries, and nobody else's. `heard_at`: when anything came over it
    last (steady clock, seconds). `is_fresh`: it was opened for whoever has it. `asked_at`: since
    when an answer is waited for, None: it rests. `must_wait`: what was asked may run once only, so
    that the answer is waited for to the end. `turn_since`: since when its tenant uses it without a
    rest (steady clock, seconds). `dialled_at`: when it began to be opened. `opened_at`: when the
    database had answered, so that it has lived since.
    """

    __slots__ = (
        "_timer",
        "connection",
        "dialled_at",
        "idle_since",
        "is_fresh",
        "must_wait",
        "opened_at",
        "pool",
        "received_at",
        "state",
        "tenant",
        "turn_since",
        "waiting_since",
    )

    def __init__(
        self,
        pool: DatabasePool,
        connection: DatabaseConnection,
        tenant: TenantId,
        dialled_at: float = float("-inf"),
    ) -> None:
        self.pool = pool
        self.tenant = tenant
        self.connection = connection
        self.dialled_at = dialled_at
        self.state = ConnectionState()
        self.opened_at = asyncio.get_running_loop().time()
        self.received_at = self.idle_since = self.turn_since = self.opened_at
        self.is_fresh = True
        self.waiting_since: float | None = None
        self.must_wait = False
        self._timer: asyncio.TimerHandle

    async def run(
        self, commands: list[Command], timeout: float, must_wait: bool = False
    ) -> list[Reply]:
        """Run commands (`timeout` in seconds). Raises ConnectionLostError, OtherTenantError."""
        if any(command.tenant not in (None, self.tenant) for command in commands):
            raise OtherTenantError(f"{self.instance}: the connection is {self.tenant}'s")
        self.must_wait = must_wait
        return await self.query(lambda connection: connection.run(commands, timeout))

    async def run_at_once(self, commands: list[Command], timeout: float) -> list[Reply]:
        """Run commands that take no slot. Raises ConnectionLostError.

        No answer within ANSWER_SECONDS shows that connections to the database are silent.
        """
        asked_at = loop_time()
        bound = min(timeout, ANSWER_SECONDS)
        try:
            return await self.run(commands, bound)
        except ConnectionLostError:
            waited = loop_time() - asked_at
            is_whole = timeout >= ANSWER_SECONDS
            if is_whole and bound - CLOCK_STEP <= waited <= bound + STALL_SECONDS:
                self.pool.suspect_connections(asked_at)
            raise

    async def query(self, question: Callable[[DatabaseConnection], Awaitable[Answer]]) -> Answer:
        """Ask something. When the answer is late, the pool is told. Raises ConnectionLostError."""
        loop = asyncio.get_running_loop()
        self.waiting_since = loop.time()
        self._wait(self.pool.late_after, self._answer_is_late)
        if self.pool.is_suspect(self):
            self.pool.close_when_late(self)
        try:
            answer = await question(self.connection)
        finally:
            self._timer.cancel()
            self.waiting_since = None
            self.must_wait = False
        self.received_at = self.pool.received_at = loop.time()
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
        assert self.waiting_since is not None
        self.pool.expire_connections(self.waiting_since)
        self._wait(self.pool.grace_period, self._give_up_if_others_answer)

    def _give_up_if_others_answer(self) -> None:
        """Give the connection up if it is the one at fault, as the database answers on others.

        What may run once only is waited for all the same.
        """
        assert self.waiting_since is not None
        answers_others = self.pool.received_at > self.waiting_since + self.pool.late_after
        if answers_others and not self.must_wait:
            self.pool.log_suspects(1)
            self.connection.close()
        else:
            self._wait(ANSWER_SECONDS, self._give_up_if_others_answer)

    @property
    def instance(self) -> InstanceId:
        """The database at the other end."""
        return self.pool.entry.instance

    def release(self) -> None:
        """Return the connection to its pool; a closed pool closes it."""
        self.pool.release(self)
