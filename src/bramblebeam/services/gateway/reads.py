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
from bramblebeam.services.gateway.read_attempts import LOST, acquire, may_send, note_lost
from bramblebeam.services.gateway.read_floor import current_floor, lacks_own
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.slot_queue import NoSlotError, Permit

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

MOST_ATTEMPTS = 3
"""A read whose answer is late goes to a second database too, and then to the first one again, on
another connection: those to both may be silent."""

_NOT_SERVED_THERE = (
    Reason.QUEUE_FULL,
    Reason.QUEUE_TIMEOUT,
    Reason.UNREACHABLE,
    Reason.TOO_MANY_CONNECTIONS,
    Reason.LEAVING,
    Reason.STOPPING,
)
"""Why a read is refused at one database that another one may serve."""

Attempt = asyncio.Task[Reply | None]


async def read_replica(context: GatewayContext, request: Request) -> Reply:
    """Read where the log has reached the floor; at the leader where none has."""
    far = _out_of_region(context, request)
    excluded = set(far)
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
            excluded = set(far)
            await asyncio.sleep(BUSY_PAUSE)
        else:
            request.floor = floor
            reply = await _read_near(context, request, pool, excluded)
            if reply is not None and not _may_go_elsewhere(context, request, reply):
                return reply
            if reply is not None and reply.refusal is not None:
                request.no_slot_at(pool.entry.instance, reply.refusal)
                excluded.add(pool.entry.instance)
        if context.now() >= request.hold_until:
            return request.give_up(Reason.QUEUE_TIMEOUT)


async def _read_near(
    context: GatewayContext, request: Request, pool: DatabasePool, excluded: set[InstanceId]
) -> Reply | None:
    """Have a database read by the node that runs its statements, which may be this one.

    None: no answer, and another database should be asked.
    """
    if request.session.forwarded_on and context.placement.is_unresponsive(pool):
        # The node that passed the read on can turn to another database.
        return request.give_up(Reason.UNREACHABLE)
    reply = await _pass_to(context, request, pool)
    if reply is not None:
        return reply
    return await _read_patiently(context, request, pool, excluded)


def _out_of_region(context: GatewayContext, request: Request) -> set[InstanceId]:
    """Return the databases of other regions where the read was passed on for one of this region."""
    if not request.session.forwarded_on:
        return set()
    return context.placement.far_members(request.route.group)


def _is_better_at_leader(context: GatewayContext, request: Request, pool: DatabasePool) -> bool:
    """Whether a read that the near replica lacks goes to the leader, not to a far replica.

    That one is as far behind, and its node would pass the read on to the leader over the two
    connections that it has there.
    """
    is_behind = request.refusal is not None and request.refusal.reason is Reason.REPLICA_BEHIND
    if context.overload.enabled and not lacks_own(request):
        # The near replica is far behind its leader: another one need not be.
        return False
    return is_behind and context.meets_at_databases and context.is_far(pool.entry.zone)


def _may_go_elsewhere(context: GatewayContext, request: Request, reply: Reply) -> bool:
    """Whether another database is asked, as the node of the one that was chosen refused a read."""
    if not context.overload.enabled or request.session.forwarded_on:
        return False
    refusal = reply.refusal
    return refusal is not None and refusal.reason in _NOT_SERVED_THERE


async def _read_at_leader(context: GatewayContext, request: Request) -> Reply:
    """Read at the leader, by a node near it where connections are scarce."""
    region = context.leader_region(request.route.group)
    if request.session.forwarded_on and region not in (None, context.owners.location.region):
        # The node that passed the read on turns to the leader's region itself.
        return request.give_up(Reason.REPLICA_BEHIND)
    reply = await context.forwarder.pass_to_leader(request)
    return await read_latest(context, request) if reply is None else reply


async def _pass_to(context: GatewayContext, request: Request, pool: DatabasePool) -> Reply | None:
    """Have a database of another region read by a node there; where it is behind, the leader.

    None: it is asked from here.
    """
    reply = await _pass_to_zone(context, request, pool)
    if reply is None or reply.refusal is None or reply.refusal.reason is not Reason.REPLICA_BEHIND:
        return reply
    request.attempt_failed(pool.entry.instance, reply.refusal)
    if context.overload.enabled and not lacks_own(request):
        context.placement.record_behind(pool.entry.instance)
    return await _read_at_leader(context, request)


async def _pass_to_zone(
    context: GatewayContext, request: Request, pool: DatabasePool
) -> Reply | None:
    """Have a read run near a database, and count it there until it has ended."""
    targets = context.placement.targets
    if targets is None:
        return await context.forwarder.pass_to_zone(request, pool.entry.zone)
    counted = targets.passed_on(pool.entry.instance)
    try:
        reply = await context.forwarder.pass_to_zone(request, pool.entry.zone)
    finally:
        targets.answered(counted)
    if reply is not None:
        request.metrics.read_passed_on()
    return reply


def _only_behind(request: Request) -> bool:
    return request.refusal is None or request.refusal.reason is Reason.REPLICA_BEHIND


async def _read_patiently(
    context: GatewayContext,
    request: Request,
    first: DatabasePool,
    excluded: set[InstanceId],
) -> Reply | None:
    """Read from one database, and from others too while no answer comes."""
    attempts: set[Attempt] = set()
    pool: DatabasePool | None = first
    excluded.add(first.entry.instance)
    # Nothing is late that has not begun.
    permit = await _enter(request, first)
    if permit is None:
        return None
    try:
        while pool is not None:
            attempts.add(asyncio.ensure_future(_read_once(context, request, pool, permit)))
            permit = None
            excluded.add(pool.entry.instance)
            done, _ = await asyncio.wait(
                attempts,
                timeout=_patience(context, pool, attempts),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for attempt in done:
                reply = attempt.result()
                if reply is not None:
                    return reply
            if len(done) == len(attempts):
                return None
            pool = _next(context, request, first, excluded, len(attempts))
        return await _first_answer(attempts)
    finally:
        for attempt in attempts:
            attempt.cancel()


def _patience(context: GatewayContext, pool: DatabasePool, attempts: set[Attempt]) -> float:
    """Return for how long the last attempt is waited for before there is another one (seconds).

    Where connections belong to tenants, a new one may have to be waited for, and a second attempt
    takes one from another tenant: what is merely late is left where it is.
    """
    if len(attempts) == 1 and context.table.tenants is None:
        return pool.late_after
    return max(ANSWER_SECONDS, pool.late_after)


def _next(
    context: GatewayContext,
    request: Request,
    first: DatabasePool,
    excluded: set[InstanceId],
    attempts: int,
) -> DatabasePool | None:
    """Return where a read without an answer goes next, or None where it has to wait."""
    if attempts >= context.load.most_attempts(request, MOST_ATTEMPTS):
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


async def _enter(request: Request, pool: DatabasePool) -> Permit | None:
    """Return a permit for a slot of a database, or None where another one should be asked."""
    try:
        return await pool.enter(request.work())
    except NoSlotError as error:
        request.no_slot_at(pool.entry.instance, error.refusal)
    except ConnectError as error:
        refusal = Refusal(Verdict.NOT_RUN, error.reason, str(error))
        request.attempt_failed(pool.entry.instance, refusal)
    return None


async def _read_once(
    context: GatewayContext, request: Request, pool: DatabasePool, permit: Permit | None
) -> Reply | None:
    """Return the answer, or None where another database should be asked.

    `permit` None: a second attempt, which waits for one of its own. Where load decides, the node
    that runs the database's statements makes it.
    """
    if permit is None and context.overload.enabled:
        reply = await _pass_to_zone(context, request, pool)
        if reply is not None:
            return None if _may_go_elsewhere(context, request, reply) else reply
    if permit is None:
        permit = await _enter(request, pool)
    if permit is None:
        return None
    reply = None
    try:
        reply = await _read_in_slot(context, request, pool)
    finally:
        permit.end(served=reply is not None and reply.refusal is None)
    return reply


async def _read_in_slot(
    context: GatewayContext, request: Request, pool: DatabasePool
) -> Reply | None:
    lent = await acquire(context, request, pool)
    if isinstance(lent, Refusal):
        context.placement.record_failure(pool, lent, context.now())
        return None
    if not await may_send(context, request, lent):
        return None
    asked_at = context.now()
    try:
        # The wait for the connection may have been long: the floor is that of this moment.
        floor = await current_floor(context, request)
        if floor is None:
            return None
        asked_at = context.now()
        commands = [*request.preparation(lent.state), request.command(floor)]
        request.note_sent()
        read = (await lent.run(commands, time_left(context, request)))[-1]
    except ConnectionLostError as error:
        note_lost(context, request, pool, str(error))
        context.placement.record_failure(pool, LOST, asked_at)
        return None
    except asyncio.CancelledError:
        if context.now() - asked_at > pool.late_after:
            # Another database answered meanwhile, as this one was late.
            context.placement.record_failure(pool, LOST, asked_at)
        raise
    finally:
        lent.release()
    seconds = context.now() - asked_at
    pool.record_reply(seconds, read.refusal)
    leaders = context.leader(request.route.group)
    leaders.record_position(pool.entry.instance, read.position, asked_at, lent.opened_at)
    if read.refusal is None:
        context.placement.record_served(pool, seconds)
    else:
        context.placement.record_failure(pool, read.refusal, asked_at)
    return _judge_read(context, request, pool.entry.instance, read)


def _judge_read(
    context: GatewayContext, request: Request, instance: InstanceId, read: Reply
) -> Reply | None:
    refusal = read.refusal
    if refusal is not None:
        request.note_refused(refusal)
    if refusal is None:
        is_leader = instance == context.leader(request.route.group).last_leader
        request.metrics.read_served(Role.PRIMARY if is_leader else Role.REPLICA)
        return read
    request.attempt_failed(instance, refusal)
    is_behind = refusal.reason is Reason.REPLICA_BEHIND
    if is_behind and not (context.overload.enabled and lacks_own(request)):
        context.placement.record_behind(instance)
    elsewhere = refusal.verdict is Verdict.NOT_RUN and refusal.reason is not Reason.BAD_REQUEST
    return None if elsewhere else Reply(refusal=refusal, state=TransactionState.IDLE)
