"""Orders of a change of primary to single databases, on the connections of their pools."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from bramblebeam.core.failover.messages import (
    UNREACHABLE,
    StepDownOutcome,
    StepDownReply,
)
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
"""For how long a database may take to answer an order (seconds)."""
ORDER_ATTEMPTS = 3
"""So often a database that is too busy is asked."""
BUSY_PAUSE = 0.04

Order = Callable[[DatabaseConnection], Awaitable[MemberStatus | None]]


class MemberUnreachableError(Exception):
    """A database could not be asked, or did not answer in time.

    `is_gone`: nothing listens at its address, or another database does.
    """

    def __init__(self, detail: str, is_gone: bool = False) -> None:
        super().__init__(detail)
        self.is_gone = is_gone


class MemberOrders:
    """Tells databases what to do. Every order raises MemberUnreachableError."""

    def __init__(self, placement: Placement) -> None:
        self._placement = placement

    async def status(self, instance: InstanceId) -> MemberStatus | None:
        """Ask for the status; None: the database is too busy."""
        return await self._run(instance, lambda conn: conn.status(ORDER_TIMEOUT))

    async def pause(self, instance: InstanceId, term: int) -> MemberStatus | None:
        """Have a replica receive only from a leader of `term` or a newer one."""
        return await self._run(instance, lambda conn: conn.pause_receiving(term, ORDER_TIMEOUT))

    async def resume(self, instance: InstanceId) -> None:
        """Undo `pause`."""

        async def resume(conn: DatabaseConnection) -> MemberStatus | None:
            await conn.resume_receiving(ORDER_TIMEOUT)
            return None

        await self._once(instance, resume)

    async def step_down(self, instance: InstanceId, term: int) -> StepDownReply:
        """Take the lead from a database. Raises nothing: the reply tells what was met."""
        try:
            status = await self._run(instance, lambda conn: conn.step_down(term, ORDER_TIMEOUT))
        except MemberUnreachableError as error:
            return StepDownReply(StepDownOutcome.GONE) if error.is_gone else UNREACHABLE
        if status is None or status.is_primary:
            return UNREACHABLE
        return StepDownReply(StepDownOutcome.DONE, status.received)

    async def pause_departed(self, entry: DatabaseEntry, term: int) -> MemberStatus | None:
        """Pause a database that is not registered any more but may still run."""
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
            status = await self._once(instance, order)
            if status is not None:
                return status
            await asyncio.sleep(BUSY_PAUSE)
        return None

    async def _once(self, instance: InstanceId, order: Order) -> MemberStatus | None:
        """Give an order, which may be given twice: a pooled connection may be silent."""
        lent = await self._lend(instance)
        was_fresh, asked_at = lent.is_fresh, loop_time()
        try:
            return await self._on(lent, order)
        except ConnectionLostError as error:
            if was_fresh or loop_time() - asked_at < ORDER_TIMEOUT - CLOCK_STEP:
                raise _unreachable(instance, str(error)) from error
            lent.pool.expire_connections(asked_at)
        try:
            return await self._on(await self._lend(instance), order)
        except ConnectionLostError as error:
            raise _unreachable(instance, str(error)) from error

    async def _lend(self, instance: InstanceId) -> PooledConnection:
        pool = self._placement.pools.get(instance)
        if pool is None:
            raise _unreachable(instance, "it is not registered")
        try:
            return await pool.acquire_any(ORDER_TIMEOUT)
        except TimeoutError as error:
            raise _unreachable(instance, "no connection came in time") from error
        except ConnectError as error:
            raise _unreachable(instance, str(error), error.is_gone) from error

    @staticmethod
    async def _on(lent: PooledConnection, order: Order) -> MemberStatus | None:
        try:
            return await lent.query(order)
        finally:
            lent.release()


def _unreachable(
    instance: InstanceId, detail: str, is_gone: bool = False
) -> MemberUnreachableError:
    """Log that an order was in vain, and return the error: not every caller needs to know why."""
    log_event(logger, MEMBER_ORDER_FAILED, instance=instance, error=detail, gone=is_gone)
    return MemberUnreachableError(detail, is_gone)
