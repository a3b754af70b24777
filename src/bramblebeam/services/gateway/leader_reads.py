"""Single reads at the leader, in a transaction that also proves that it leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.gateway.statements import BEGIN, ROLLBACK
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.role import Role
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.lending import run_at_leader, time_left
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.pooled import ANSWER_SECONDS, PooledConnection
from bramblebeam.services.gateway.ports import Command, ConnectionLostError
from bramblebeam.services.gateway.read_attempts import acquire, may_send, record_connection_lost
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.session_order import LACKS_OBSERVED, lacks_observed_position

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext


async def read_latest(context: GatewayContext, request: Request) -> Reply:
    """Read at the leader, in a transaction that also proves that it leads."""

    async def read(pooled: PooledConnection) -> Reply | None:
        return await _read_until_replaced(context, request, pooled)

    try:
        return await run_at_leader(context, request, read, Reason.NO_PRIMARY)
    finally:
        request.release_permit()


async def _read_until_replaced(
    context: GatewayContext, request: Request, pooled: PooledConnection
) -> Reply | None:
    """Read, but stop waiting for a leader that is replaced in the meantime.

    A late reply may be lost, so the read is then sent once more on another connection.
    """
    leaders = context.leader(request.route.group)
    attempts = {asyncio.ensure_future(_read_proven(context, request, pooled))}
    second_attempt_at = _second_attempt_at(context, request, pooled.pool)
    change: asyncio.Future[bool] | None = None
    try:
        while True:
            change = asyncio.ensure_future(leaders.wait_change(second_attempt_at))
            await asyncio.wait({*attempts, change}, return_when=asyncio.FIRST_COMPLETED)
            change.cancel()
            ended = {attempt for attempt in attempts if attempt.done()}
            attempts -= ended
            replies = [reply for attempt in ended if (reply := attempt.result()) is not None]
            if replies or not attempts:
                return replies[0] if replies else None
            if context.now() >= request.deadline:
                request.refusal = Refusal(Verdict.UNKNOWN, Reason.DEADLINE)
                return None
            if leaders.leader not in (None, pooled.instance):
                return None
            if second_attempt_at < request.deadline and context.now() >= second_attempt_at:
                second_attempt_at = request.deadline
                if request.withdrawn or not context.load.may_try_again(request):
                    continue
                attempts.add(asyncio.ensure_future(_read_again(context, request, pooled.pool)))
    finally:
        for attempt in attempts:
            attempt.cancel()
        if change is not None:
            change.cancel()


def _second_attempt_at(context: GatewayContext, request: Request, pool: DatabasePool) -> float:
    """Return when a read at the leader without a reply is sent again."""
    if not context.overload.enabled:
        return request.deadline
    return min(request.deadline, context.now() + max(ANSWER_SECONDS, pool.late_after))


async def _read_again(
    context: GatewayContext, request: Request, pool: DatabasePool
) -> Reply | None:
    """Read on another connection to the leader; both attempts share one slot."""
    pooled = await acquire(context, request, pool)
    if isinstance(pooled, Refusal):
        return None
    if not context.leader(request.route.group).may_use(pooled.instance):
        # The lease expired while waiting for the connection.
        pooled.release()
        return None
    return await _read_proven(context, request, pooled)


async def _read_proven(
    context: GatewayContext, request: Request, pooled: PooledConnection
) -> Reply | None:
    leaders = context.leader(request.route.group)
    if not await may_send(context, request, pooled):
        return None
    queried_at = context.now()
    try:
        commands = [*request.preparation(pooled.state), Command(BEGIN)]
        begin = (await pooled.run_at_once(commands, time_left(context, request)))[-1]
        if begin.refusal is not None:
            request.record_failed_attempt(pooled.instance, begin.refusal)
            if begin.refusal.reason is Reason.STALE_TERM:
                leaders.record_denial(pooled.instance, "it refused to begin a transaction")
            return None
        if not leaders.record_proof(pooled.instance, begin.position, queried_at):
            pooled.connection.close()
            return None
        if lacks_observed_position(context, request, begin):
            request.record_failed_attempt(pooled.instance, LACKS_OBSERVED)
            leaders.record_missing_commit(pooled.instance, request.observed)
            pooled.connection.close()
            return None
        commands = [request.command(), Command(ROLLBACK)]
        request.record_sent()
        read, _ = await pooled.run(commands, time_left(context, request))
    except ConnectionLostError as error:
        record_connection_lost(context, request, pooled.pool, str(error))
        return None
    finally:
        pooled.release()
    request.release_permit(served=read.refusal is None)
    pooled.pool.record_reply(context.now() - queried_at, read.refusal)
    return _handle_reply(context, request, pooled.instance, read)


def _handle_reply(
    context: GatewayContext, request: Request, instance: InstanceId, read: Reply
) -> Reply | None:
    refusal = read.refusal
    if refusal is None:
        request.metrics.read_served(Role.PRIMARY)
        return Reply(read.rows, read.signature, position=read.position)
    request.record_refused(refusal)
    request.record_failed_attempt(instance, refusal)
    if refusal.reason is Reason.STALE_TERM:
        context.leader(request.route.group).record_denial(instance, "it lost the lead")
        return None
    if refusal.reason is Reason.QUEUE_FULL:
        return None
    return Reply(refusal=refusal)
