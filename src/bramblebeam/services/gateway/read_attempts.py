"""Steps shared by all attempts of a read: acquiring, counting and losing its connection."""

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

CONNECTION_LOST = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST)


async def acquire(
    context: GatewayContext, request: Request, pool: DatabasePool
) -> PooledConnection | Refusal:
    """Return a connection; if there is none, record and return the refusal."""
    try:
        return await pool.acquire(
            request.tenant, request.session.state, time_to_hold(context, request)
        )
    except (TimeoutError, ConnectError) as error:
        reason = error.reason if isinstance(error, ConnectError) else Reason.QUEUE_TIMEOUT
        refusal = Refusal(Verdict.NOT_RUN, reason, str(error))
        request.record_failed_attempt(pool.entry.instance, refusal)
        return refusal


async def may_send(context: GatewayContext, request: Request, pooled: PooledConnection) -> bool:
    """Return whether the read may be sent on a connection; the connection is released if not."""
    allowed = False
    try:
        allowed = await may_attempt(context, request)
    finally:
        if not allowed:
            pooled.release()
    return allowed


def record_connection_lost(
    context: GatewayContext, request: Request, pool: DatabasePool, detail: str
) -> None:
    """Record a lost connection; after the read's deadline the database counts as unresponsive."""
    instance = pool.entry.instance
    if context.now() < request.deadline:
        lost = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail)
        request.record_failed_attempt(instance, lost)
        return
    request.record_failed_attempt(instance, Refusal(Verdict.UNKNOWN, Reason.DEADLINE))
    pool.record_unresponsive()
