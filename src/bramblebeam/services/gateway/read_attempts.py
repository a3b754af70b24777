"""What every attempt of a read shares: its connection, its count, and its loss."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.admission import may_attempt
from bramblebeam.services.gateway.lending import time_to_hold
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.pooled import PooledConnection
from bramblebeam.services.gateway.ports import ConnectError
from bramblebeam.services.gateway.request import Request

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

LOST = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST)


async def acquire(
    context: GatewayContext, request: Request, pool: DatabasePool
) -> PooledConnection | Refusal:
    """Return a connection, or why there is none, which the request has noted."""
    try:
        return await pool.acquire(
            request.tenant, request.session.state, time_to_hold(context, request)
        )
    except (TimeoutError, ConnectError) as error:
        reason = error.reason if isinstance(error, ConnectError) else Reason.QUEUE_TIMEOUT
        refusal = Refusal(Verdict.NOT_RUN, reason, str(error))
        request.attempt_failed(pool.entry.instance, refusal)
        return refusal


async def may_send(context: GatewayContext, request: Request, lent: PooledConnection) -> bool:
    """Whether the read may be sent on a connection, which is given back where it may not."""
    may = False
    try:
        may = await may_attempt(context, request)
    finally:
        if not may:
            lent.release()
    return may


def note_lost(context: GatewayContext, request: Request, pool: DatabasePool, detail: str) -> None:
    """Note that a read's connection was lost: where its time is over, the database was silent."""
    instance = pool.entry.instance
    if context.now() < request.deadline:
        lost = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail)
        request.attempt_failed(instance, lost)
        return
    request.attempt_failed(instance, Refusal(Verdict.UNKNOWN, Reason.DEADLINE))
    pool.record_unresponsive()
