"""Single reads: at the proven leader, or at any database whose log has reached the floor."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.core.gateway.statements import BEGIN, ROLLBACK
from bramblebeam.core.identity import InstanceId, Position
from bramblebeam.core.role import Role
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.lending import BUSY_PAUSE, at_leader, time_left, time_to_hold
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.pooled import ANSWER_SECONDS, PooledConnection
from bramblebeam.services.gateway.ports import Command, ConnectError, ConnectionLostError
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.session_order import LACKS_OBSERVED, lacks_observed, watch_floor

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

STALENESS_MARGIN = 0.25
"""A watermark must be younger than the route's bound by so much (seconds)."""
MOST_ATTEMPTS = 3
"""A read whose answer is late goes to a second database too, and then to the first one again, on
another connection: those to both may be silent."""

Attempt = asyncio.Task[Reply | None]


# At the leader.


async def read_latest(context: GatewayContext, request: Request) -> Reply:
    """Read at the leader, which proves by the same transaction that it leads."""

    async def read(lent: PooledConnection) -> Reply | None:
        return await _until_replaced(context, request, lent)

    return await at_leader(context, request, read, Reason.NO_PRIMARY)


async def _until_replaced(
    context: GatewayContext, request: Request, lent: PooledConnection
) -> Reply | None:
    """Read, but leave a leader that was replaced meanwhile."""
    leaders = context.leader(request.route.group)
    attempt = asyncio.ensure_future(_read_proven(context, request, lent))
    try:
        while True:
            change = asyncio.ensure_future(leaders.wait_change(request.deadline))
            await asyncio.wait({attempt, change}, return_when=asyncio.FIRST_COMPLETED)
            change.cancel()
            if attempt.done():
                return attempt.result()
            if context.now() >= request.deadline:
                request.refusal = Refusal(Verdict.UNKNOWN, Reason.DEADLINE)
                return None
            if leaders.leader not in (None, lent.instance):
                return None
    finally:
        attempt.cancel()


async def _read_proven(
    context: GatewayContext, request: Request, lent: PooledConnection
) -> Reply | None:
    leaders = context.leader(request.route.group)
    asked_at = context.now()
    try:
        commands = [*request.preparation(lent.state), Command(BEGIN)]
        begin = (await lent.run_at_once(commands, time_left(context, request)))[-1]
        if begin.refusal is not None:
            request.attempt_failed(lent.instance, begin.refusal)
            if begin.refusal.reason is Reason.STALE_TERM:
                leaders.refused(lent.instance, "it refused to begin a transaction")
            return None
        if not leaders.proven(lent.instance, begin.position, asked_at):
            lent.connection.close()
            return None
        if lacks_observed(context, request, begin):
            request.attempt_failed(lent.instance, LACKS_OBSERVED)
            leaders.contradicted(lent.instance, request.observed)
            lent.connection.close()
            return None
        commands = [request.command(), Command(ROLLBACK)]
        read, _ = await lent.run(commands, time_left(context, request))
    except ConnectionLostError as error:
        _lost(context, request, lent.pool, str(error))
        return None
    finally:
        lent.give_back()
    lent.pool.answered(context.now() - asked_at, read.refusal)
    return _judge_leader_read(context, request, lent.instance, read)


def _judge_leader_read(
    context: GatewayContext, request: Request, instance: InstanceId, read: Reply
) -> Reply | None:
    refusal = read.refusal
    if refusal is None:
        request.metrics.read_served(Role.PRIMARY)
        return Reply(read.rows, read.signature, position=read.position)
    request.attempt_failed(instance, refusal)
    if refusal.reason is Reason.STALE_TERM:
        context.leader(request.route.group).refused(instance, "it lost the lead")
        return None
    if refusal.reason is Reason.QUEUE_FULL:
        return None
    return Reply(refusal=refusal)


# At any database.


async def read_replica(context: GatewayContext, request: Request) -> Reply:
    """Read where the log has reached the floor; at the leader where none has."""
    far = _out_of_region(context, request)
    excluded = set(far)
    while True:
        if await current_floor(context, request) is None:
            return request.give_up(Reason.NO_PRIMARY)
        pool = context.placement.choose(request.route.group, request.tenant, excluded)
        if pool is None and _only_behind(request):
            return await _read_at_leader(context, request)
        if pool is not None and _is_better_at_leader(context, request, pool):
            return await _read_at_leader(context, request)
        if pool is None:
            excluded = set(far)
            await asyncio.sleep(BUSY_PAUSE)
        else:
            reply = await _pass_to(context, request, pool)
            if reply is None:
                reply = await _read_patiently(context, request, pool, excluded)
            if reply is not None:
                return reply
        if context.now() >= request.hold_until:
            return request.give_up(Reason.QUEUE_TIMEOUT)


def _out_of_region(context: GatewayContext, request: Request) -> set[InstanceId]:
    """Return the databases of other regions where the read was passed on for one of this region."""
    if not request.session.forwarded_on:
        return set()
    return context.placement.far_members(request.route.group)


def _is_better_at_leader(context: GatewayContext, request: Request, pool: DatabasePool) -> bool:
    """Whether a read that the near replica lacks goes to the leader, not to a far replica.

    That one is as far behind. Passed on to it, and from there to the leader on the two connections
    that its node has there, reads timed out by the hundred on a day without trouble.
    """
    is_behind = request.refusal is not None and request.refusal.reason is Reason.REPLICA_BEHIND
    return is_behind and context.meets_at_databases and context.is_far(pool.entry.zone)


async def _read_at_leader(context: GatewayContext, request: Request) -> Reply:
    """Read at the leader, by a node near it where connections are scarce."""
    region = context.leader_region(request.route.group)
    if request.session.forwarded_on and region not in (None, context.owners.place.region):
        # The node that passed the read on turns to the leader's region itself.
        return request.give_up(Reason.REPLICA_BEHIND)
    reply = await context.forwarder.pass_to_leader(request)
    return await read_latest(context, request) if reply is None else reply


async def _pass_to(context: GatewayContext, request: Request, pool: DatabasePool) -> Reply | None:
    """Have a database of another region read by a node there; where it is behind, the leader.

    None: it is asked from here.
    """
    reply = await context.forwarder.pass_to_zone(request, pool.entry.zone)
    if reply is None or reply.refusal is None or reply.refusal.reason is not Reason.REPLICA_BEHIND:
        return reply
    request.attempt_failed(pool.entry.instance, reply.refusal)
    return await _read_at_leader(context, request)


def _only_behind(request: Request) -> bool:
    return request.refusal is None or request.refusal.reason is Reason.REPLICA_BEHIND


async def current_floor(context: GatewayContext, request: Request) -> Position | None:
    """Return the floor for a read sent now, renewing the watermark where it is too old."""
    leaders = context.leader(request.route.group)
    staleness = request.route.staleness - STALENESS_MARGIN
    while True:
        now = context.now()
        floor = leaders.watermarks.floor(request.observed, staleness, now)
        if floor is not None:
            watch_floor(context, request, floor)
            return floor
        if not await leaders.wait_proof(now - staleness, request.hold_until):
            return None


async def _read_patiently(
    context: GatewayContext,
    request: Request,
    first: DatabasePool,
    excluded: set[InstanceId],
) -> Reply | None:
    """Read from one database, and from others too while no answer comes."""
    attempts: set[Attempt] = set()
    pool: DatabasePool | None = first
    try:
        while pool is not None:
            attempts.add(asyncio.ensure_future(_read_once(context, request, pool)))
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
        return pool.patience
    return max(ANSWER_SECONDS, pool.patience)


def _next(
    context: GatewayContext,
    request: Request,
    first: DatabasePool,
    excluded: set[InstanceId],
    attempts: int,
) -> DatabasePool | None:
    """Return where a read without an answer goes next, or None where it has to wait."""
    if attempts >= MOST_ATTEMPTS:
        return None
    second = None
    if attempts == 1:
        second = context.placement.choose(request.route.group, request.tenant, excluded)
    if second is None or second.unresponsive:
        return first
    if context.now() - first.heard_at > first.patience:
        first.was_silent()
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


async def _read_once(context: GatewayContext, request: Request, pool: DatabasePool) -> Reply | None:
    """Return the answer, or None where another database should be asked."""
    try:
        lent = await pool.acquire(
            request.tenant, request.session.state, time_to_hold(context, request)
        )
    except (TimeoutError, ConnectError) as error:
        reason = error.reason if isinstance(error, ConnectError) else Reason.QUEUE_TIMEOUT
        request.attempt_failed(pool.entry.instance, Refusal(Verdict.NOT_RUN, reason, str(error)))
        return None
    try:
        # The wait for the connection may have been long: the floor is that of this moment.
        floor = await current_floor(context, request)
        if floor is None:
            return None
        asked_at = context.now()
        commands = [*request.preparation(lent.state), request.command(floor)]
        read = (await lent.run(commands, time_left(context, request)))[-1]
    except ConnectionLostError as error:
        _lost(context, request, pool, str(error))
        return None
    finally:
        lent.give_back()
    pool.answered(context.now() - asked_at, read.refusal)
    context.leader(request.route.group).heard(pool.entry.instance, read.position, asked_at)
    return _judge_read(context, request, pool.entry.instance, read)


def _judge_read(
    context: GatewayContext, request: Request, instance: InstanceId, read: Reply
) -> Reply | None:
    refusal = read.refusal
    if refusal is None:
        is_leader = instance == context.leader(request.route.group).last_leader
        request.metrics.read_served(Role.PRIMARY if is_leader else Role.REPLICA)
        return read
    request.attempt_failed(instance, refusal)
    if refusal.reason is Reason.REPLICA_BEHIND:
        context.placement.was_behind(instance)
    elsewhere = refusal.verdict is Verdict.NOT_RUN and refusal.reason is not Reason.BAD_REQUEST
    return None if elsewhere else Reply(refusal=refusal, state=TransactionState.IDLE)


def _lost(context: GatewayContext, request: Request, pool: DatabasePool, detail: str) -> None:
    instance = pool.entry.instance
    if context.now() < request.deadline:
        lost = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail)
        request.attempt_failed(instance, lost)
        return
    request.attempt_failed(instance, Refusal(Verdict.UNKNOWN, Reason.DEADLINE))
    pool.was_silent()
