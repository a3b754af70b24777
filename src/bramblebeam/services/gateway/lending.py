"""Connections to a group's proven leader, and the loop of what has to run there."""

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
"""Seconds before a database that was busy is asked again."""
MINIMUM_TIME = 0.01

Attempt = Callable[[PooledConnection], Awaitable[Reply | None]]
"""One try on a connection to the leader. None: nothing has run, and it may be tried again."""


async def run_at_leader(
    context: GatewayContext, request: Request, attempt: Attempt, reason: Reason
) -> Reply:
    """Try at the leader, as long as this node may use it, until there is an answer.

    `reason` is for a refusal where no attempt gave another one. The permit of the attempt that gave
    the answer is left with the request (`leave_slot`).
    """
    leaders = context.leader(request.route.group)
    while True:
        instance = await leaders.wait(request.hold_until)
        if instance is None:
            return request.give_up(Reason.NO_PRIMARY)
        lent = await _lend(context, request, instance)
        if lent is not None and not leaders.may_use(instance):
            # The lease ran out while the connection was waited for.
            lent.release()
            request.leave_slot()
            continue
        if lent is not None and not _leads_on(leaders, lent):
            lent.connection.close()
            lent.release()
            request.leave_slot()
            continue
        if lent is not None and request.withdrawn:
            lent.release()
            request.leave_slot()
            return request.give_up(reason)
        if lent is not None:
            reply = await attempt(lent)
            if reply is not None:
                return reply
        request.leave_slot()
        if request.no_slot is not None:
            return Reply(refusal=request.no_slot)
        if context.now() >= request.hold_until:
            return request.give_up(reason)
        if request.must_pause:
            await asyncio.sleep(BUSY_PAUSE)


def _leads_on(leaders: LeaderTracker, lent: PooledConnection) -> bool:
    """Whether the database at a new connection has the log that this node knows of.

    It may have started again without it, before anything else told so.
    """
    if not lent.is_fresh:
        return True
    return leaders.has_expected_log(lent.instance, lent.connection.position, lent.dialled_at)


async def _lend(
    context: GatewayContext, request: Request, instance: InstanceId
) -> PooledConnection | None:
    """Return a connection to the leader; None: there was none, and the leader is looked at.

    The request has a permit for a slot there then.
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
        request.no_slot_at(instance, error.refusal)
    except TimeoutError:
        request.attempt_failed(instance, Refusal(Verdict.NOT_RUN, Reason.QUEUE_TIMEOUT))
    except ConnectError as error:
        request.attempt_failed(instance, Refusal(Verdict.NOT_RUN, error.reason, str(error)))
        if error.reason is not Reason.TOO_MANY_CONNECTIONS:
            leaders.reject(instance, str(error))
    return None


def time_to_hold(context: GatewayContext, request: Request) -> float:
    """Return for how long the statement may still wait for a database (seconds)."""
    return max(MINIMUM_TIME, request.hold_until - context.now())


def time_left(context: GatewayContext, request: Request) -> float:
    """Return how much of the statement's time is left (seconds)."""
    return max(MINIMUM_TIME, request.deadline - context.now())
