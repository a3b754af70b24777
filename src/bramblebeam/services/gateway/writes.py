"""Single writes: sent to the leader once, and again only where they surely have not run."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.floors import OwnCommit
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.pool import DatabasePool, PooledConnection
from bramblebeam.services.gateway.ports import ConnectError, ConnectionLostError, Reply
from bramblebeam.services.gateway.request import Request

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

BUSY_PAUSE = 0.02
"""Seconds before a database that was busy is asked again."""
MINIMUM_TIME = 0.01


async def write(context: GatewayContext, request: Request) -> Reply:
    """Run a single write at the leader."""
    leaders = context.leader(request.route.group)
    while True:
        instance = await leaders.wait(request.hold_until)
        if instance is None:
            return request.give_up(Reason.NO_PRIMARY)
        lent = await lend_at(context, request, instance)
        if lent is not None:
            reply = await _send(context, request, lent)
            if reply is not None:
                return reply
        if context.now() >= request.hold_until:
            return request.give_up(Reason.QUEUE_TIMEOUT)
        if request.must_pause:
            await asyncio.sleep(BUSY_PAUSE)


async def lend_at(
    context: GatewayContext, request: Request, instance: InstanceId
) -> PooledConnection | None:
    """Return a connection to the leader; None: there was none, and the leader is looked at."""
    leaders = context.leader(request.route.group)
    pool = context.placement.pools.get(instance)
    if pool is None:
        leaders.refused(instance, "it is not registered")
        return None
    timeout = max(MINIMUM_TIME, request.hold_until - context.now())
    try:
        return await pool.acquire(request.session.state, timeout)
    except TimeoutError:
        request.attempt_failed(instance, Refusal(Verdict.NOT_RUN, Reason.QUEUE_TIMEOUT))
    except ConnectError as error:
        request.attempt_failed(instance, Refusal(Verdict.NOT_RUN, error.reason, str(error)))
        if error.reason is not Reason.TOO_MANY_CONNECTIONS:
            leaders.refused(instance, str(error))
    return None


async def _send(context: GatewayContext, request: Request, lent: PooledConnection) -> Reply | None:
    """Return the final answer, or None where the write has not run and may be sent again."""
    leaders = context.leader(request.route.group)
    pool = context.placement.pools.get(lent.instance)
    asked_at = context.now()
    commands = [*request.preparation(lent.state), request.command()]
    remaining = max(MINIMUM_TIME, request.deadline - asked_at)
    try:
        replies = await lent.connection.run(commands, remaining)
    except ConnectionLostError as error:
        if context.now() - asked_at >= remaining:
            leaders.write_unanswered(lent.instance)
        doubt = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, str(error))
        request.attempt_failed(lent.instance, doubt)
        return Reply(refusal=doubt)
    finally:
        give_back(context, lent)
    reply = replies[-1]
    if pool is not None:
        pool.answered(context.now() - asked_at)
    leaders.write_answered()
    if reply.refusal is None:
        leaders.proven(lent.instance, reply.position, asked_at)
        request.session.own_commit = OwnCommit(reply.position, context.now())
        return reply
    if reply.refusal.verdict is not Verdict.NOT_RUN:
        return reply
    request.attempt_failed(lent.instance, reply.refusal)
    if reply.refusal.reason is Reason.STALE_TERM:
        leaders.refused(lent.instance, "it refused a write")
        return None
    return None if reply.refusal.reason is Reason.QUEUE_FULL else reply


def give_back(context: GatewayContext, lent: PooledConnection) -> None:
    """Return a connection to its pool, or close it where the pool is gone."""
    pool: DatabasePool | None = context.placement.pools.get(lent.instance)
    if pool is None:
        lent.connection.close()
        return
    pool.release(lent)
