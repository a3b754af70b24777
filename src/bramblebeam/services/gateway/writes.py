"""Single writes: sent to the leader once, and again only if they certainly have not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.lending import run_at_leader, time_left
from bramblebeam.services.gateway.pooled import CLOCK_STEP, PooledConnection
from bramblebeam.services.gateway.ports import ConnectionLostError
from bramblebeam.services.gateway.request import Request

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext


async def write(context: GatewayContext, request: Request) -> Reply:
    """Run a single write at the leader."""

    async def send(pooled: PooledConnection) -> Reply | None:
        return await _send(context, request, pooled)

    try:
        return await run_at_leader(context, request, send, Reason.QUEUE_TIMEOUT)
    finally:
        request.release_permit()


async def _send(
    context: GatewayContext, request: Request, pooled: PooledConnection
) -> Reply | None:
    """Return the final reply, or None if the write has not run and may be sent again."""
    leaders = context.leader(request.route.group)
    queried_at = context.now()
    commands = [*request.preparation(pooled.state), request.command()]
    remaining = time_left(context, request)
    request.record_sent()
    try:
        replies = await pooled.run(commands, remaining, must_wait=True)
    except ConnectionLostError as error:
        if context.now() - queried_at >= remaining - CLOCK_STEP and not pooled.pool.is_suspect(
            pooled
        ):
            leaders.record_write_timeout(pooled.instance, queried_at)
        uncertain = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, str(error))
        request.record_failed_attempt(pooled.instance, uncertain)
        return Reply(refusal=uncertain)
    finally:
        pooled.release()
    reply = replies[-1]
    request.release_permit(served=reply.refusal is None)
    pooled.pool.record_reply(context.now() - queried_at, reply.refusal)
    leaders.record_write_reply()
    if reply.refusal is None:
        leaders.record_commit(reply.position)
        leaders.record_proof(pooled.instance, reply.position, queried_at)
        return reply
    request.record_refused(reply.refusal)
    if reply.refusal.verdict is not Verdict.NOT_RUN:
        return reply
    request.at_database = False
    request.record_failed_attempt(pooled.instance, reply.refusal)
    if reply.refusal.reason is Reason.STALE_TERM:
        leaders.record_denial(pooled.instance, "it refused a write")
        return None
    return None if reply.refusal.reason is Reason.QUEUE_FULL else reply
