"""Early admission, retry times and second attempts of one node's statements."""

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

CAPACITY_REASONS = (Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT, Reason.TOO_MANY_CONNECTIONS)
"""Reasons of refusals that are due to a lack of capacity."""
ASSUMED_SERVICE = 0.02
"""Service time assumed for a database that has not replied to a statement yet (seconds)."""
_MILLISECONDS = 1_000


class LoadControl:
    """Decides on statements before they enter a queue and after they leave it.

    `known`: the reported loads of the queues. If `enabled` is False, everything is admitted.
    """

    def __init__(self, context: GatewayContext) -> None:
        self.enabled = context.overload.enabled
        self.known: KnownLoads = NoKnownLoads()
        self._context = context
        self._retry_schedules = RetrySchedules()
        self._budgets = AttemptBudgets()
        self._lowest_priority = 0

    def configure(self, table: RouteTable) -> None:
        """Apply the routes and groups of a configuration."""
        groups = frozenset(table.groups)
        self._retry_schedules.keep_only(groups)
        self._budgets.keep_only(groups)
        self._context.metrics.admission.keep_only(groups)
        priorities = [route.priority for route in table.routes.values()]
        self._lowest_priority = max(priorities, default=0)

    # Admission.

    def refuse_early(self, request: Request, at_leader: bool) -> Refusal | None:
        """Refuse a statement that begins an operation, or return None to let it proceed."""
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
        is_retry = is_scheduled_retry(request.session.retry_at, now)
        ranks_below = self._lowest_priority - request.route.priority
        refused = refuse_early(work, known, ranks_below, now, is_retry)
        if refused is None:
            return None
        record.record_refusal(work, known.service.mean, now)
        return self._refused(request, known, refused, is_retry)

    def _refused(
        self, request: Request, known: KnownWait, refused: Refused, is_retry: bool
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
            returns=is_retry,
            retry_after_ms=retry_after_ms,
        )
        return Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "", retry_after_ms)

    # Retries.

    def add_retry_delay(self, request: Request, reply: Reply) -> Reply:
        """Add a retry delay to a refusal for lack of capacity.

        A refusal by another node already contains that node's delay.
        """
        refusal = reply.refusal
        if request.passed_on and request.no_slot is None:
            return reply
        if not self.enabled or refusal is None or not is_capacity_refusal(refusal):
            return reply
        if request.no_slot is not None:
            self._context.metrics.refused_early(RefusalCause.TOO_LATE)
        delay_ms = refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS.get(refusal.reason, 0)
        retry_after_ms = self.schedule_retry(request, delay_ms / _MILLISECONDS)
        return reply._replace(refusal=refusal._replace(retry_after_ms=retry_after_ms))

    def schedule_retry(self, request: Request, room_in: float) -> int:
        """Return the delay after which a refused caller should retry (milliseconds, at least 1).

        `room_in`: expected time until there is capacity (seconds).
        """
        group = request.route.group
        at_leader = self._context.runs_at_leader(request.route, request.writes)
        schedule = self._retry_schedules.of(group, at_leader)
        estimate = CapacityEstimate(room_in, self._completion_interval(group, at_leader))
        max_delay = MAX_RETRY_TIMEOUTS * request.route.timeout
        retry = schedule.assign(estimate, max_delay, self._context.now())
        return max(1, round(retry.after * _MILLISECONDS))

    def _completion_interval(self, group: GroupId, at_leader: bool) -> float:
        """Return the mean time between two completed statements there (seconds)."""
        members = self._context.placement.members(group)
        latencies = [pool.latency for pool in members if pool.latency]
        service = min(latencies, default=ASSUMED_SERVICE)
        databases = 1 if at_leader else max(1, len(members))
        return service / (self._context.placement.slots(group) * databases)

    def record_reply(
        self, session: StatementSession, route: Route | None, reply: Reply, arrived: float
    ) -> None:
        """Record the reply to a caller; if it is a refusal, also whether its wait was wasted."""
        refusal = reply.refusal
        if not self.enabled or route is None:
            return
        if refusal is None or not is_capacity_refusal(refusal):
            session.retry_at = None
            return
        now = self._context.now()
        session.retry_at = now + refusal.retry_after_ms / _MILLISECONDS
        wanted_within = min(route.target, route.timeout)
        record = self._context.metrics.admission.of(route.group, self._context.needs_leader(route))
        record.record_unstarted(now - arrived, wanted_within)

    # Second attempts.

    def record_first_attempt(self, request: Request) -> None:
        """Record that a statement is sent to a database for the first time."""
        self._budgets.of(request.route.group).record_first_attempt()

    def may_try_again(self, request: Request) -> bool:
        """Take a second attempt from the budget for a statement without a reply; False: denied.

        The attempt may be sent while the first one is still in flight, or after it.
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
        """Return the shortest wait at databases that this node runs statements at (seconds).

        0 if it has no statements in flight there, as the wait is unknown then.
        """
        tracker = self._context.known_leader(group) if at_leader else None
        leader = None if tracker is None else tracker.leader
        waits = [
            pool.slots.load().wait
            for pool in self._context.placement.members(group)
            if pool.slots is not None
            and pool.slots.in_flight
            and leader in (None, pool.entry.instance)
        ]
        return min(waits, default=0.0)

    def most_attempts(self, request: Request, own: int) -> int:
        """Return the number of concurrent attempts of a read: by its route, at most `own`."""
        configured = request.route.most_attempts
        return min(own, configured) if self.enabled and configured else own


def is_capacity_refusal(refusal: Refusal) -> bool:
    """Whether a statement was refused for lack of capacity and has not run."""
    return refusal.verdict is Verdict.NOT_RUN and refusal.reason in CAPACITY_REASONS
