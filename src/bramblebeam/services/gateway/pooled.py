"""A pooled database connection, checked out by one statement or transaction at a time."""

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
"""Timeout of commands that take no slot (seconds). Even a busy database replies to them at once:
without a reply, the database or the connection is unresponsive."""
CLOCK_STEP = 0.002
"""The loop's clock moves in milliseconds, so a timeout may seem to fire too early (seconds)."""
STALL_SECONDS = 0.1
"""A timer that is this late shows a stall of this process, not of the peer (seconds)."""

Result = TypeVar("Result")


class OtherTenantError(RuntimeError):
    """A statement was about to be sent on another tenant's connection, which is a bug."""


class PooledConnection:
    """A database connection with its session state and its pool (times: monotonic clock, seconds).

    `tenant`: the only tenant whose statements it carries. `received_at`: when anything was last
    received on it. `is_fresh`: it was opened for its current user. `waiting_since`: when the query
    without a reply was sent; None if there is none. `must_wait`: the query may run only once, so
    its reply is awaited to the end. `turn_since`: since when its tenant has used it without an idle
    time. `dialled_at`: when opening it began. `opened_at`: when the database had accepted it; the
    database has been running since.
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
            raise OtherTenantError(f"{self.instance}: the connection is of tenant {self.tenant}")
        self.must_wait = must_wait
        return await self.query(lambda connection: connection.run(commands, timeout))

    async def run_at_once(self, commands: list[Command], timeout: float) -> list[Reply]:
        """Run commands that take no slot. Raises ConnectionLostError.

        If there is no reply within ANSWER_SECONDS, the pool's connections become suspect.
        """
        queried_at = loop_time()
        bound = min(timeout, ANSWER_SECONDS)
        try:
            return await self.run(commands, bound)
        except ConnectionLostError:
            waited = loop_time() - queried_at
            is_whole = timeout >= ANSWER_SECONDS
            if is_whole and bound - CLOCK_STEP <= waited <= bound + STALL_SECONDS:
                self.pool.suspect_connections(queried_at)
            raise

    async def query(self, send: Callable[[DatabaseConnection], Awaitable[Result]]) -> Result:
        """Send a query; a late reply is reported to the pool. Raises ConnectionLostError."""
        loop = asyncio.get_running_loop()
        self.waiting_since = loop.time()
        self._check_after(self.pool.late_after, self._handle_late_reply)
        if self.pool.is_suspect(self):
            self.pool.close_when_late(self)
        try:
            result = await send(self.connection)
        finally:
            self._timer.cancel()
            self.waiting_since = None
            self.must_wait = False
        self.received_at = self.pool.received_at = loop.time()
        return result

    def _check_after(self, seconds: float, check: Callable[[], None]) -> None:
        """Call `check` after a time (seconds) if the reply is still missing.

        If the timer itself fires late, this process has stalled, and the reply may have arrived
        without being read: then the wait starts again.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds

        def fire() -> None:
            if loop.time() - due > STALL_SECONDS:
                self._check_after(seconds, check)
            else:
                check()

        self._timer = loop.call_at(due, fire)

    def _handle_late_reply(self) -> None:
        """Expire the connections that may have become unresponsive together with this one."""
        assert self.waiting_since is not None
        self.pool.expire_connections(self.waiting_since)
        self._check_after(self.pool.grace_period, self._close_if_others_reply)

    def _close_if_others_reply(self) -> None:
        """Close this connection if the database replies on others, so that this one is at fault.

        The reply to a statement that may run only once is still awaited.
        """
        assert self.waiting_since is not None
        replies_on_others = self.pool.received_at > self.waiting_since + self.pool.late_after
        if replies_on_others and not self.must_wait:
            self.pool.log_suspects(1)
            self.connection.close()
        else:
            self._check_after(ANSWER_SECONDS, self._close_if_others_reply)

    @property
    def instance(self) -> InstanceId:
        """The database that it is connected to."""
        return self.pool.entry.instance

    def release(self) -> None:
        """Return the connection to its pool; a closed pool closes it."""
        self.pool.release(self)
