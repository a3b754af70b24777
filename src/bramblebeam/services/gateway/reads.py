"""Single reads at any database whose log has reached the floor."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.role import Role
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.leader_reads import read_latest
from bramblebeam.services.gateway.lending import BUSY_PAUSE, time_left
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.pooled import ANSWER_SECONDS
from bramblebeam.services.gateway.ports import ConnectError, ConnectionLostError
from bramblebeam.services.gateway.read_attempts import (
    CONNECTION_LOST,
    acquire,
    may_send,
    record_connection_lost,
)
from bramblebeam.services.gateway.read_floor import current_floor, is_floor_from_session
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.slot_queue import NoSlotError, Permit

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

MAX_ATTEMPTS = 3
"""A read whose answer is late goes to a second database too, and then to the first one again on
another connection: the connections of both earlier attempts may be unresponsive."""

_SERVABLE_ELSEWHERE = (
    Reason.QUEUE_FULL,
    Reason.QUEUE_TIMEOUT,
    Reason.UNREACHABLE,
    Reason.TOO_MANY_CONNECTIONS,
    Reason.LEAVING,
    Reason.STOPPING,
)
"""Reasons of a refusal at one database after which another one may serve the read."""

Attempt = asyncio.Task[Reply | None]


async def read_replica(context: GatewayContext, request: Request) -> Reply:
    """Read from a database whose log has reached the floor, or from the leader if there is none."""
    far_databases = _out_of_region(context, request)
    excluded = set(far_databases)
    while True:
        floor = await current_floor(context, request)
        if floor is None:
            return request.give_up(Reason.NO_PRIMARY)
        pool = context.placement.choose(request.route.group, request.tenant, excluded)
        if pool is None and _only_behind(request):
            return await _read_at_leader(context, request)
        if pool is not None and _is_better_at_leader(context, request, pool):
            return await _read_at_leader(context, request)
        if pool is None and request.no_slot is not None:
            pool = context.placement.choose_behind(request.route.group, request.tenant, excluded)
            if pool is None:
                return Reply(refusal=request.no_slot)
        if pool is None:
            excluded = set(far_databases)
            await asyncio.sleep(BUSY_PAUSE)
        else:
            request.floor = floor
            reply = await _read_through_node(context, request, pool, excluded)
            if reply is not None and not _may_go_elsewhere(context, request, reply):
                return reply
            if reply is not None and reply.refusal is not None:
                request.record_no_slot(pool.entry.instance, reply.refusal)
                excluded.add(pool.entry.instance)
        if context.now() >= request.hold_until:
            return request.give_up(Reason.QUEUE_TIMEOUT)


async def _read_through_node(
    context: GatewayContext, request: Request, pool: DatabasePool, excluded: set[InstanceId]
) -> Reply | None:
    """Read from a database through the node that runs its statements, which may be this one.

    Returns None if there was no answer and another database should be tried.
    """
    if request.session.forwarded_on and context.placement.is_unresponsive(pool):
        # The node that forwarded the read can try another database.
        return request.give_up(Reason.UNREACHABLE)
    reply = await _forward(context, request, pool)
    if reply is not None:
        return reply
    return await _read_with_retries(context, request, pool, excluded)


def _out_of_region(context: GatewayContext, request: Request) -> set[InstanceId]:
    """Return the databases of other regions if the read was forwarded to one of this region."""
    if not request.session.forwarded_on:
        return set()
    return context.placement.far_members(request.route.group)


def _is_better_at_leader(context: GatewayContext, request: Request, pool: DatabasePool) -> bool:
    """Return whether a read goes to the leader, not to a far replica, as the near one is behind.

    A far replica is as far behind, and its node would forward the read to the leader over the two
    connections that it has there.
    """
    is_behind = request.refusal is not None and request.refusal.reason is Reason.REPLICA_BEHIND
    if context.overload.enabled and not is_floor_from_session(request):
        # The near replica is far behind its leader; another one need not be.
        return False
    return is_behind and context.runs_near_databases and context.is_far(pool.entry.zone)


def _may_go_elsewhere(context: GatewayContext, request: Request, reply: Reply) -> bool:
    """Return whether another database is tried, as the chosen one's node refused the read."""
    if not context.overload.enabled or request.session.forwarded_on:
        return False
    refusal = reply.refusal
    return refusal is not None and refusal.reason in _SERVABLE_ELSEWHERE


async def _read_at_leader(context: GatewayContext, request: Request) -> Reply:
    """Read from the leader, through a node near it where connections are scarce."""
    region = context.leader_region(request.route.group)
    if request.session.forwarded_on and region not in (None, context.owners.location.region):
        # The node that forwarded the read contacts the leader's region itself.
        return request.give_up(Reason.REPLICA_BEHIND)
    reply = await context.forwarder.forward_to_leader(request)
    return await read_latest(context, request) if reply is None else reply


async def _forward(context: GatewayContext, request: Request, pool: DatabasePool) -> Reply | None:
    """Read from another region's database through a node there; if it is behind, from the leader.

    Returns None if this node has to send the read itself.
    """
    reply = await _forward_to_zone(context, request, pool)
    if reply is None or reply.refusal is None or reply.refusal.reason is not Reason.REPLICA_BEHIND:
        return reply
    request.record_failed_attempt(pool.entry.instance, reply.refusal)
    if context.overload.enabled and not is_floor_from_session(request):
        context.placement.record_behind(pool.entry.instance)
    return await _read_at_leader(context, request)


async def _forward_to_zone(
    context: GatewayContext, request: Request, pool: DatabasePool
) -> Reply | None:
    """Run a read near a database, and count it as in flight there until it has ended."""
    targets = context.placement.targets
    if targets is None:
        return await context.forwarder.forward_to_zone(request, pool.entry.zone)
    counted = targets.record_forwarded(pool.entry.instance)
    try:
        reply = await context.forwarder.forward_to_zone(request, pool.entry.zone)
    finally:
        targets.record_forwarded_done(counted)
    if reply is not None:
        request.metrics.read_forwarded()
    return reply


def _only_behind(request: Request) -> bool:
    return request.refusal is None or request.refusal.reason is Reason.REPLICA_BEHIND


async def _read_with_retries(
    context: GatewayContext,
    request: Request,
    first: DatabasePool,
    excluded: set[InstanceId],
) -> Reply | None:
    """Read from one database, and from others too while no answer arrives."""
    attempts: set[Attempt] = set()
    pool: DatabasePool | None = first
    excluded.add(first.entry.instance)
    # The time before a second attempt starts only when the first one has a permit.
    permit = await _acquire_permit(request, first)
    if permit is None:
        return None
    try:
        while pool is not None:
            attempts.add(asyncio.ensure_future(_read_once(context, request, pool, permit)))
            permit = None
            excluded.add(pool.entry.instance)
            done, _ = await asyncio.wait(
                attempts,
                timeout=_attempt_timeout(context, pool, attempts),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for attempt in done:
                reply = attempt.result()
                if reply is not None:
                    return reply
            if len(done) == len(attempts):
                return None
            pool = _next_target(context, request, first, excluded, len(attempts))
        return await _first_answer(attempts)
    finally:
        for attempt in attempts:
            attempt.cancel()


def _attempt_timeout(context: GatewayContext, pool: DatabasePool, attempts: set[Attempt]) -> float:
    """Return how long to wait for the last attempt before another one is made (seconds).

    Where connections belong to tenants, a new attempt may have to wait for a new connection and
    takes one from another tenant, so that an attempt that is merely late is left to finish.
    """
    if len(attempts) == 1 and context.table.tenants is None:
        return pool.late_after
    return max(ANSWER_SECONDS, pool.late_after)


def _next_target(
    context: GatewayContext,
    request: Request,
    first: DatabasePool,
    excluded: set[InstanceId],
    attempts: int,
) -> DatabasePool | None:
    """Return where a read without an answer is sent next, or None if it has to wait."""
    if attempts >= context.load.most_attempts(request, MAX_ATTEMPTS):
        return None
    if request.withdrawn or not context.load.may_try_again(request):
        return None
    second = None
    if attempts == 1:
        second = context.placement.choose(request.route.group, request.tenant, excluded)
    if second is None or second.unresponsive:
        return first
    if context.now() - first.received_at > first.late_after:
        first.record_unresponsive()
    return second


async def _first_answer(attempts: set[Attempt]) -> Reply | None:
    pending = attempts
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            reply = attempt.result()
            if reply is not None:
                return reply
    return None


async def _acquire_permit(request: Request, pool: DatabasePool) -> Permit | None:
    """Return a permit for a slot of a database, or None if another one should be tried."""
    try:
        return await pool.enter(request.work())
    except NoSlotError as error:
        request.record_no_slot(pool.entry.instance, error.refusal)
    except ConnectError as error:
        refusal = Refusal(Verdict.NOT_RUN, error.reason, str(error))
        request.record_failed_attempt(pool.entry.instance, refusal)
    return None


async def _read_once(
    context: GatewayContext, request: Request, pool: DatabasePool, permit: Permit | None
) -> Reply | None:
    """Return the answer, or None if another database should be tried.

    `permit` None: a second attempt, which acquires its own permit. With overload control, the node
    that runs the database's statements makes it.
    """
    if permit is None and context.overload.enabled:
        reply = await _forward_to_zone(context, request, pool)
        if reply is not None:
            return None if _may_go_elsewhere(context, request, reply) else reply
    if permit is None:
        permit = await _acquire_permit(request, pool)
    if permit is None:
        return None
    reply = None
    try:
        reply = await _read_in_slot(context, request, pool)
    finally:
        permit.release(served=reply is not None and reply.refusal is None)
    return reply


async def _read_in_slot(
    context: GatewayContext, request: Request, pool: DatabasePool
) -> Reply | None:
    pooled = await acquire(context, request, pool)
    if isinstance(pooled, Refusal):
        context.placement.record_failure(pool, pooled, context.now())
        return None
    if not await may_send(context, request, pooled):
        return None
    queried_at = context.now()
    try:
        # Acquiring the connection may have taken long, so the floor is computed again.
        floor = await current_floor(context, request)
        if floor is None:
            return None
        queried_at = context.now()
        commands = [*request.preparation(pooled.state), request.command(floor)]
        request.record_sent()
        read = (await pooled.run(commands, time_left(context, request)))[-1]
    except ConnectionLostError as error:
        record_connection_lost(context, request, pool, str(error))
        context.placement.record_failure(pool, CONNECTION_LOST, queried_at)
        return None
    except asyncio.CancelledError:
        if context.now() - queried_at > pool.late_after:
            # This database was late, and another one answered in the meantime.
            context.placement.record_failure(pool, CONNECTION_LOST, queried_at)
        raise
    finally:
        pooled.release()
    seconds = context.now() - queried_at
    pool.record_reply(seconds, read.refusal)
    leaders = context.leader(request.route.group)
    leaders.record_position(pool.entry.instance, read.position, queried_at, pooled.opened_at)
    if read.refusal is None:
        context.placement.record_served(pool, seconds)
    else:
        context.placement.record_failure(pool, read.refusal, queried_at)
    return _handle_reply(context, request, pool.entry.instance, read)


def _handle_reply(
    context: GatewayContext, request: Request, instance: InstanceId, read: Reply
) -> Reply | None:
    refusal = read.refusal
    if refusal is not None:
        request.record_refused(refusal)
    if refusal is None:
        is_leader = instance == context.leader(request.route.group).last_leader
        request.metrics.read_served(Role.PRIMARY if is_leader else Role.REPLICA)
        return read
    request.record_failed_attempt(instance, refusal)
    is_behind = refusal.reason is Reason.REPLICA_BEHIND
    if is_behind and not (context.overload.enabled and is_floor_from_session(request)):
        context.placement.record_behind(instance)
    try_elsewhere = refusal.verdict is Verdict.NOT_RUN and refusal.reason is not Reason.BAD_REQUEST
    return None if try_elsewhere else Reply(refusal=refusal, state=TransactionState.IDLE)
