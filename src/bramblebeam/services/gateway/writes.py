"""Single writes: sent to the leader once, and again only where they surely have not run."""

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

    async def send(lent: PooledConnection) -> Reply | None:
        return await _send(context, request, lent)

    try:
        return await run_at_leader(context, request, send, Reason.QUEUE_TIMEOUT)
    finally:
        request.leave_slot()


async def _send(context: GatewayContext, request: Request, lent: PooledConnection) -> Reply | None:
    """Return the final answer, or None where the write has not run and may be sent again."""
    leaders = context.leader(request.route.group)
    asked_at = context.now()
    commands = [*request.preparation(lent.state), request.command()]
    remaining = time_left(context, request)
    request.note_sent()
    try:
        replies = await lent.run(commands, remaining, must_wait=True)
    except ConnectionLostError as error:
        if context.now() - asked_at >= remaining - CLOCK_STEP and not lent.pool.is_suspect(lent):
            leaders.record_write_timeout(lent.instance, asked_at)
        doubt = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, str(error))
        request.attempt_failed(lent.instance, doubt)
        return Reply(refusal=doubt)
    finally:
        lent.release()
    reply = replies[-1]
    request.leave_slot(served=reply.refusal is None)
    lent.pool.record_reply(context.now() - asked_at, reply.refusal)
    leaders.record_write_reply()
    if reply.refusal is None:
        leaders.record_commit(reply.position)
        leaders.record_proof(lent.instance, reply.position, asked_at)
        return reply
    request.note_refused(reply.refusal)
    if reply.refusal.verdict is not Verdict.NOT_RUN:
        return reply
    request.attempt_failed(lent.instance, reply.refusal)
    if reply.refusal.reason is Reason.STALE_TERM:
        leaders.record_denial(lent.instance, "it refused a write")
        return None
    return None if reply.refusal.reason is Reason.QUEUE_FULL else reply
