"""Sends the orders of a change of primary to single databases, over their pooled connections."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from bramblebeam.core.failover.messages import UNREACHABLE, StepDownOutcome, StepDownReply
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.tenants import NO_TENANT
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import MEMBER_ORDER_FAILED
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.gateway.pooled import CLOCK_STEP, PooledConnection
from bramblebeam.services.gateway.ports import (
    ConnectError,
    ConnectionLostError,
    DatabaseConnection,
    MemberStatus,
)
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

ORDER_TIMEOUT = 0.35
"""How long a database may take to respond to an order (seconds)."""
ORDER_ATTEMPTS = 3
"""Number of attempts at a database that is too busy."""
BUSY_PAUSE = 0.04
"""Pause between two of these attempts (seconds)."""

Order = Callable[[DatabaseConnection], Awaitable[MemberStatus | None]]


class MemberUnreachableError(Exception):
    """A database could not be reached, or did not respond in time.

    `is_gone`: nothing listens at its address, or another database does.
    """

    def __init__(self, detail: str, is_gone: bool = False) -> None:
        super().__init__(detail)
        self.is_gone = is_gone


class MemberOrders:
    """Sends orders to databases. Each raises MemberUnreachableError unless noted otherwise."""

    def __init__(self, placement: Placement) -> None:
        self._placement = placement

    async def status(self, instance: InstanceId) -> MemberStatus | None:
        """Return the status; None if the database is too busy."""
        return await self._run(instance, lambda conn: conn.status(ORDER_TIMEOUT))

    async def pause(self, instance: InstanceId, term: int) -> MemberStatus | None:
        """Make a replica receive only from a leader of `term` or a newer term."""
        return await self._run(instance, lambda conn: conn.pause_receiving(term, ORDER_TIMEOUT))

    async def resume(self, instance: InstanceId) -> None:
        """Undo `pause`."""

        async def resume(conn: DatabaseConnection) -> MemberStatus | None:
            await conn.resume_receiving(ORDER_TIMEOUT)
            return None

        await self._run_once(instance, resume)

    async def step_down(self, instance: InstanceId, term: int) -> StepDownReply:
        """Make a database step down. Raises nothing: the reply holds the outcome."""
        try:
            status = await self._run(instance, lambda conn: conn.step_down(term, ORDER_TIMEOUT))
        except MemberUnreachableError as error:
            return StepDownReply(StepDownOutcome.GONE) if error.is_gone else UNREACHABLE
        if status is None or status.is_primary:
            return UNREACHABLE
        return StepDownReply(StepDownOutcome.DONE, status.received)

    async def pause_departed(self, entry: DatabaseEntry, term: int) -> MemberStatus | None:
        """Pause a database that is no longer registered but may still run."""
        try:
            conn = await self._placement.connector.connect(entry, NO_TENANT, ORDER_TIMEOUT)
        except ConnectError as error:
            raise _unreachable(entry.instance, str(error), error.is_gone) from error
        try:
            return await conn.pause_receiving(term, ORDER_TIMEOUT)
        except ConnectionLostError as error:
            raise _unreachable(entry.instance, str(error)) from error
        finally:
            conn.close()

    async def _run(self, instance: InstanceId, order: Order) -> MemberStatus | None:
        for _ in range(ORDER_ATTEMPTS):
            status = await self._run_once(instance, order)
            if status is not None:
                return status
            await asyncio.sleep(BUSY_PAUSE)
        return None

    async def _run_once(self, instance: InstanceId, order: Order) -> MemberStatus | None:
        """Run an order, and again if a reused connection fails only by timeout.

        The connection may be unresponsive rather than the database, so the order may run twice.
        """
        conn = await self._acquire(instance)
        was_fresh, requested_at = conn.is_fresh, loop_time()
        try:
            return await self._run_on(conn, order)
        except ConnectionLostError as error:
            if was_fresh or loop_time() - requested_at < ORDER_TIMEOUT - CLOCK_STEP:
                raise _unreachable(instance, str(error)) from error
            conn.pool.expire_connections(requested_at)
        try:
            return await self._run_on(await self._acquire(instance), order)
        except ConnectionLostError as error:
            raise _unreachable(instance, str(error)) from error

    async def _acquire(self, instance: InstanceId) -> PooledConnection:
        pool = self._placement.pools.get(instance)
        if pool is None:
            raise _unreachable(instance, "the instance is not registered")
        try:
            return await pool.acquire_any(ORDER_TIMEOUT)
        except TimeoutError as error:
            raise _unreachable(instance, "no connection became available in time") from error
        except ConnectError as error:
            raise _unreachable(instance, str(error), error.is_gone) from error

    @staticmethod
    async def _run_on(conn: PooledConnection, order: Order) -> MemberStatus | None:
        try:
            return await conn.query(order)
        finally:
            conn.release()


def _unreachable(
    instance: InstanceId, detail: str, is_gone: bool = False
) -> MemberUnreachableError:
    """Log that an order failed and return the error; callers need not log it."""
    log_event(logger, MEMBER_ORDER_FAILED, instance=instance, error=detail, gone=is_gone)
    return MemberUnreachableError(detail, is_gone)
