"""Admission, returns and second attempts of one node's statements, where load is decided on."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.gateway.routes import Route, RouteTable
from bramblebeam.core.identity import GroupId
from bramblebeam.core.overload.admission import (
    KnownLoads,
    KnownWait,
    NoKnownLoads,
    RefusalCause,
    refuse_early,
)
from bramblebeam.core.overload.budget import AttemptBudgets
from bramblebeam.core.overload.ports import Refused
from bramblebeam.core.overload.retry_schedule import (
    MAX_RETRY_TIMEOUTS,
    CapacityEstimate,
    RetrySchedules,
    is_scheduled_retry,
)
from bramblebeam.core.session.errors import DEFAULT_RETRY_AFTER_MS
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import SECOND_ATTEMPT_DENIED, STATEMENT_REFUSED_EARLY
from bramblebeam.services.gateway.request import Request, StatementSession

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)

FOR_WANT_OF_ROOM = (Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT, Reason.TOO_MANY_CONNECTIONS)
"""Reasons of what is refused because others are served."""
ASSUMED_SERVICE = 0.02
"""A statement's time at a database that has not answered one yet (seconds)."""
_MILLISECONDS = 1_000


class LoadControl:
    """The decisions that concern a statement before and after its queue.

    `known`: what this node was told of the queues. Nothing is decided where `enabled` is False.
    """

    def __init__(self, context: GatewayContext) -> None:
        self.enabled = context.overload.enabled
        self.known: KnownLoads = NoKnownLoads()
        self._context = context
        self._returns = RetrySchedules()
        self._budgets = AttemptBudgets()
        self._lowest_priority = 0

    def configure(self, table: RouteTable) -> None:
        """Follow the routes and groups of a configuration."""
        groups = frozenset(table.groups)
        self._returns.keep_only(groups)
        self._budgets.keep_only(groups)
        self._context.metrics.admission.keep_only(groups)
        priorities = [route.priority for route in table.routes.values()]
        self._lowest_priority = max(priorities, default=0)

    # Admission.

    def refuse_early(self, request: Request, at_leader: bool) -> Refusal | None:
        """Return why a statement that begins an operation is not even passed on, or None."""
        if not self.enabled:
            return None
        now = self._context.now()
        known = self.known.wait(request.route.group, at_leader, now)
        if known is None:
            return None
        record = self._context.metrics.admission.of(request.route.group, at_leader)
        if known.wait <= 0.0:
            record.record_idle_slot(now)
            return None
        work = request.work()
        returns = is_scheduled_retry(request.session.returns_at, now)
        ranks_below = self._lowest_priority - request.route.priority
        refused = refuse_early(work, known, ranks_below, now, returns)
        if refused is None:
            return None
        record.record_refusal(work, known.service.mean, now)
        return self._refused(request, known, refused, returns)

    def _refused(
        self, request: Request, known: KnownWait, refused: Refused, returns: bool
    ) -> Refusal:
        cause = RefusalCause.TOO_LATE
        self._context.metrics.refused_early(cause)
        retry_after_ms = self.schedule_retry(request, refused.room_in)
        log_event(
            logger,
            STATEMENT_REFUSED_EARLY,
            request=request.identifier,
            group=request.route.group,
            cause=cause.value,
            wait_ms=round(known.wait * _MILLISECONDS),
            told_ms_ago=round((self._context.now() - known.reported_at) * _MILLISECONDS),
            returns=returns,
            retry_after_ms=retry_after_ms,
        )
        return Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "", retry_after_ms)

    # Returns.

    def add_retry_delay(self, request: Request, reply: Reply) -> Reply:
        """Add to a refusal for want of room when its caller comes back.

        One of another node holds that node's moment already.
        """
        refusal = reply.refusal
        if request.passed_on and request.no_slot is None:
            return reply
        if not self.enabled or refusal is None or not is_for_want_of_room(refusal):
            return reply
        if request.no_slot is not None:
            self._context.metrics.refused_early(RefusalCause.TOO_LATE)
        told_ms = refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS.get(refusal.reason, 0)
        retry_after_ms = self.schedule_retry(request, told_ms / _MILLISECONDS)
        return reply._replace(refusal=refusal._replace(retry_after_ms=retry_after_ms))

    def schedule_retry(self, request: Request, room_in: float) -> int:
        """Return after how long a refused caller comes back (milliseconds, at least 1).

        `room_in`: until there is room for it, as far as that is known (seconds).
        """
        group = request.route.group
        at_leader = self._context.runs_at_leader(request.route, request.writes)
        schedule = self._returns.of(group, at_leader)
        outlook = CapacityEstimate(room_in, self._pace(group, at_leader))
        longest = MAX_RETRY_TIMEOUTS * request.route.timeout
        told = schedule.assign(outlook, longest, self._context.now())
        return max(1, round(told.after * _MILLISECONDS))

    def _pace(self, group: GroupId, at_leader: bool) -> float:
        """Return how long it takes until one more statement has ended there (seconds)."""
        members = self._context.placement.members(group)
        latencies = [pool.latency for pool in members if pool.latency]
        service = min(latencies, default=ASSUMED_SERVICE)
        databases = 1 if at_leader else max(1, len(members))
        return service / (self._context.placement.slots(group) * databases)

    def record_reply(
        self, session: StatementSession, route: Route | None, reply: Reply, arrived: float
    ) -> None:
        """Note what a caller was told, and whether it waited for that in vain."""
        refusal = reply.refusal
        if not self.enabled or route is None:
            return
        if refusal is None or not is_for_want_of_room(refusal):
            session.returns_at = None
            return
        now = self._context.now()
        session.returns_at = now + refusal.retry_after_ms / _MILLISECONDS
        wanted_within = min(route.target, route.timeout)
        record = self._context.metrics.admission.of(route.group, self._context.needs_leader(route))
        record.record_unstarted(now - arrived, wanted_within)

    # Second attempts.

    def record_first_attempt(self, request: Request) -> None:
        """Note that a statement goes to a database for the first time."""
        self._budgets.of(request.route.group).record_first_attempt()

    def may_try_again(self, request: Request) -> bool:
        """Whether a statement without an answer may be sent once more, beside or after the first.

        Asking takes it from the budget.
        """
        if not self.enabled:
            return True
        group = request.route.group
        now = self._context.now()
        at_leader = self._context.runs_at_leader(request.route, request.writes)
        known = self.known.wait(group, at_leader, now)
        wait = self._own_wait(group, at_leader) if known is None else known.wait
        if self._budgets.of(group).take(wait, now):
            return True
        self._context.metrics.second_attempt_denied()
        log_event(
            logger,
            SECOND_ATTEMPT_DENIED,
            request=request.identifier,
            group=group,
            wait_ms=round(wait * _MILLISECONDS),
        )
        return False

    def _own_wait(self, group: GroupId, at_leader: bool) -> float:
        """Return how long a statement waits at the databases that this node runs them at (seconds).

        Where it has nothing under way there it does not know.
        """
        tracker = self._context.known_leader(group) if at_leader else None
        leader = None if tracker is None else tracker.leader
        waits = [
            pool.slots.load().wait
            for pool in self._context.placement.members(group)
            if pool.slots is not None
            and pool.slots.under_way
            and leader in (None, pool.entry.instance)
        ]
        return min(waits, default=0.0)

    def most_attempts(self, request: Request, own: int) -> int:
        """Return how often a read may be sent side by side: by its route, at most `own`."""
        told = request.route.most_attempts
        return min(own, told) if self.enabled and told else own


def is_for_want_of_room(refusal: Refusal) -> bool:
    """Whether a statement was refused, and has not run, because others are served."""
    return refusal.verdict is Verdict.NOT_RUN and refusal.reason in FOR_WANT_OF_ROOM
