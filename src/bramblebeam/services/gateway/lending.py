"""Runs a request's statements at its group's leader, with retries on new connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.leaders import LeaderTracker
from bramblebeam.services.gateway.pooled import PooledConnection
from bramblebeam.services.gateway.ports import ConnectError
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.slot_queue import NoSlotError

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

BUSY_PAUSE = 0.02
"""Seconds before a retry at a database that was busy."""
MINIMUM_TIME = 0.01
"""Minimum timeout of any wait (seconds)."""

Attempt = Callable[[PooledConnection], Awaitable[Reply | None]]
"""One attempt on a connection to the leader. Returns None if nothing ran and a retry is safe."""


async def run_at_leader(
    context: GatewayContext, request: Request, attempt: Attempt, reason: Reason
) -> Reply:
    """Attempt a request at the leader until there is a reply or the request's time is over.

    `reason`: of the refusal, if no attempt gave another one. The request keeps the permit of the
    attempt that gave the reply (`release_permit`).
    """
    leaders = context.leader(request.route.group)
    while True:
        instance = await leaders.wait(request.hold_until)
        if instance is None:
            return request.give_up(Reason.NO_PRIMARY)
        pooled = await _acquire(context, request, instance)
        if pooled is not None and not leaders.may_use(instance):
            # The lease expired while waiting for the connection.
            pooled.release()
            request.release_permit()
            continue
        if pooled is not None and not _has_expected_log(leaders, pooled):
            pooled.connection.close()
            pooled.release()
            request.release_permit()
            continue
        if pooled is not None and request.withdrawn:
            pooled.release()
            request.release_permit()
            return request.give_up(reason)
        if pooled is not None:
            reply = await attempt(pooled)
            if reply is not None:
                return reply
        request.release_permit()
        if request.no_slot is not None:
            return Reply(refusal=request.no_slot)
        if context.now() >= request.hold_until:
            return request.give_up(reason)
        if request.must_back_off:
            await asyncio.sleep(BUSY_PAUSE)


def _has_expected_log(leaders: LeaderTracker, pooled: PooledConnection) -> bool:
    """Whether the database at a new connection still has the log that this node knows of.

    It may have restarted without its log before anything else reports that.
    """
    if not pooled.is_fresh:
        return True
    return leaders.has_expected_log(pooled.instance, pooled.connection.position, pooled.dialled_at)


async def _acquire(
    context: GatewayContext, request: Request, instance: InstanceId
) -> PooledConnection | None:
    """Acquire a slot permit for the request and a connection to the leader.

    Returns None on failure, after recording it; if the leader cannot be reached, it is rejected.
    """
    leaders = context.leader(request.route.group)
    pool = context.placement.pools.get(instance)
    if pool is None:
        leaders.reject(instance, "it is not registered")
        return None
    try:
        request.permit = await pool.enter(request.work())
        return await pool.acquire(
            request.tenant, request.session.state, time_to_hold(context, request)
        )
    except NoSlotError as error:
        request.record_no_slot(instance, error.refusal)
    except TimeoutError:
        request.record_failed_attempt(instance, Refusal(Verdict.NOT_RUN, Reason.QUEUE_TIMEOUT))
    except ConnectError as error:
        request.record_failed_attempt(instance, Refusal(Verdict.NOT_RUN, error.reason, str(error)))
        if error.reason is not Reason.TOO_MANY_CONNECTIONS:
            leaders.reject(instance, str(error))
    return None


def time_to_hold(context: GatewayContext, request: Request) -> float:
    """Return how long the statement may still wait for a database (seconds)."""
    return max(MINIMUM_TIME, request.hold_until - context.now())


def time_left(context: GatewayContext, request: Request) -> float:
    """Return the time left until the statement's deadline (seconds)."""
    return max(MINIMUM_TIME, request.deadline - context.now())
