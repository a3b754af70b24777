"""Executes one statement outside a transaction, from its arrival to its final outcome.

A state machine: each event returns at most a few effects, and the driver waits for the last one.
Attempts that certainly did not run are retried within the queue wait and the retry budget; a lost
reply is requested again under the same request id; every other outcome is final.
"""

from typing import Any

from bramblebeam.core.identity import InstanceId, NodeId, Position
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.role import Role
from bramblebeam.core.routing.attempt import (
    FLOOR_WAIT_MS,
    POSITION_TIMEOUT,
    READ_RETRY_REASONS,
    RECHECK_INTERVAL,
    REPEAT_INTERVAL,
    REPEAT_WINDOW,
    REPLY_MARGIN,
    STOPPING_DETAIL,
    TRANSIENT_REASONS,
    Attempt,
    answer_term,
    new_request,
    repeated,
)
from bramblebeam.core.routing.budget import RetryBudget
from bramblebeam.core.routing.choice import (
    ReadRequirement,
    choose_replica,
    choose_unweighted,
    sticky_replica,
)
from bramblebeam.core.routing.directory import Directory
from bramblebeam.core.routing.effects import (
    Abandon,
    Answered,
    AttemptFailed,
    Effect,
    Finish,
    GroupUpdated,
    Hold,
    PositionAnswered,
    Refresh,
    RequestPosition,
    SendRequest,
    Started,
    StatementRequest,
)
from bramblebeam.core.routing.retry import RetryGate
from bramblebeam.core.session.session import Session, Transaction
from bramblebeam.core.statement import (
    ExecuteReply,
    InstanceStatus,
    PositionReply,
    PositionRequest,
    StatementKind,
)
from bramblebeam.core.verdict import Reason, Refusal, Verdict


class Execution:
    """Executes a statement of a session outside a transaction, or a BEGIN."""

    def __init__(
        self,
        session: Session,
        statement: StatementRequest,
        directory: Directory,
        budget: RetryBudget,
    ) -> None:
        self._session = session
        self._statement = statement
        self._directory = directory
        self._budget = budget
        self._group = session.group
        self._limit = directory.limit(session.service, session.group)
        self._deadline = 0.0
        self._hold_until = 0.0
        self._wakeup: float | None = None
        self._attempt: Attempt | None = None
        self._excluded: set[InstanceId] = set()
        self._last_refusal: Refusal | None = None
        self._confirmed: Position | None = None
        self._retry = RetryGate(directory, budget, session.group)
        self._floor_wait_until: float | None = None

    def next_wakeup(self) -> float | None:
        """Return when to deliver `Wakeup` (seconds), or None."""
        return self._wakeup

    def handle(self, event: Any, now: float) -> list[Effect]:
        """Process an event at time `now` (seconds); return the effects in order."""
        self._wakeup = None
        match event:
            case Answered(reply):
                return self._handle_reply(reply, now)
            case Started():
                return self._start(now)
            case PositionAnswered(reply):
                return self._handle_position(reply, now)
            case AttemptFailed(sent, detail):
                return self._failed(sent, detail, now)
            case GroupUpdated() | Wakeup():
                return self._resume(now)
        raise TypeError(f"an execution does not handle {type(event).__name__}")

    def interrupted(self) -> Refusal:
        """Return the verdict if the statement is given up now, as its node stops."""
        kind = self._statement.kind
        if self._attempt is None or kind in (StatementKind.READ, StatementKind.BEGIN):
            return Refusal(Verdict.NOT_RUN, Reason.STOPPING, STOPPING_DETAIL)
        return Refusal(Verdict.UNKNOWN, Reason.STOPPING)

    def _start(self, now: float) -> list[Effect]:
        self._budget.record_request()
        self._deadline = now + self._limit.deadline_ms / 1_000
        self._hold_until = min(self._deadline, now + self._limit.queue_wait_ms / 1_000)
        if self._directory.group(self._group) is None:
            return self._refuse(Reason.NO_CONFIGURATION)
        return self._route(now)

    def _resume(self, now: float) -> list[Effect]:
        if self._attempt is not None:
            return self._request_lost_reply(now)
        if not self._retry.is_open(now):
            return self._hold(now)
        self._excluded.clear()
        return self._route(now)

    def _route(self, now: float) -> list[Effect]:
        if now >= self._deadline:
            return self._give_up()
        if self._needs_confirmation():
            return self._request_position(now)
        if self._statement.kind is StatementKind.READ:
            return self._route_read(now)
        return self._route_write(now)

    # Confirmation of the floor.

    def _needs_confirmation(self) -> bool:
        is_required = self._statement.sees_writes and self._session.must_confirm(self._group)
        return is_required and self._confirmed is None

    def _request_position(self, now: float) -> list[Effect]:
        primary = self._directory.primary(self._group)
        node = None if primary is None else self._directory.owner(primary.instance)
        if primary is None or node is None:
            return self._hold(now)
        timeout = max(0.01, min(POSITION_TIMEOUT, self._hold_until - now))
        name = self._session.name_for_floor(self._group)
        request = PositionRequest(primary.instance, (name,) if name else ())
        return [RequestPosition(node, request, timeout)]

    def _handle_position(self, reply: PositionReply, now: float) -> list[Effect]:
        if reply.refusal is not None:
            self._last_refusal = reply.refusal
            return self._back_off(now)
        self._directory.observe_term(self._group, reply.position.term)
        floor = reply.floors[0] if reply.floors else reply.position
        self._session.record_confirmed(self._group, floor)
        self._confirmed = floor
        return self._route(now)

    # Attempts.

    def _route_read(self, now: float) -> list[Effect]:
        floor = self._session.floor(self._group)
        need = ReadRequirement(self._group, floor, self._limit.staleness_ms, now)
        status = sticky_replica(self._directory, self._session, need, self._excluded)
        if status is None:
            request_id = self._session.next_request()
            status = choose_replica(
                self._directory, self._session, need, self._excluded, request_id
            )
        if status is not None:
            return self._send_read(status, self._replica_wait_ms(status, need, now), now)
        refresh = Refresh(self._group)
        status = self._directory.primary(self._group)
        if status is not None and status.instance not in self._excluded:
            return [refresh, *self._send_read(status, self._limit.queue_wait_ms, now)]
        status = choose_unweighted(self._directory, need, self._excluded)
        if status is not None:
            wait_ms = self._replica_wait_ms(status, need, now)
            return [refresh, *self._send_read(status, wait_ms, now)]
        return self._back_off(now) if self._excluded else self._hold(now)

    def _replica_wait_ms(self, status: InstanceStatus, need: ReadRequirement, now: float) -> int:
        """Return how long the replica's owner may wait for a slot or the floor (milliseconds)."""
        if status.applied >= need.floor:
            return self._limit.queue_wait_ms
        if self._floor_wait_until is None:
            self._floor_wait_until = now + FLOOR_WAIT_MS / 1_000
        return max(0, int((self._floor_wait_until - now) * 1_000))

    def _send_read(self, status: InstanceStatus, wait_ms: int, now: float) -> list[Effect]:
        node = self._directory.owner(status.instance)
        if node is None:
            self._excluded.add(status.instance)
            return self._route_read(now)
        return self._send(status, node, wait_ms, now)

    def _route_write(self, now: float) -> list[Effect]:
        primary = self._directory.primary(self._group)
        node = None if primary is None else self._directory.owner(primary.instance)
        if primary is None or node is None:
            return self._hold(now)
        return self._send(primary, node, self._limit.queue_wait_ms, now)

    def _send(self, status: InstanceStatus, node: NodeId, wait_ms: int, now: float) -> list[Effect]:
        remaining = self._deadline - now
        remaining_ms = max(1, int(remaining * 1_000))
        request = new_request(
            self._session,
            self._statement,
            status.instance,
            min(wait_ms, remaining_ms),
            remaining_ms,
            self._limit.staleness_ms,
            self._directory.highest_term(self._group),
        )
        self._attempt = Attempt(status.instance, node, status.term, status.role, request)
        return [SendRequest(node, request, remaining + REPLY_MARGIN)]

    # Replies.

    def _handle_reply(self, reply: ExecuteReply, now: float) -> list[Effect]:
        attempt = self._attempt
        if attempt is None or reply.request != attempt.request.request:
            return []
        if reply.status is not None:
            self._directory.observe(reply.status)
        if reply.refusal is not None:
            return self._handle_refusal(attempt, reply.refusal, now)
        return self._succeeded(attempt, reply)

    def _succeeded(self, attempt: Attempt, reply: ExecuteReply) -> list[Effect]:
        kind = self._statement.kind
        session = self._session
        if kind is StatementKind.READ:
            if attempt.role is Role.REPLICA:
                session.record_read(self._group, reply.position)
            self._directory.record_applied(attempt.instance, reply.position)
            return self._finish(reply, None)
        term = answer_term(reply, attempt.request)
        if term < self._directory.highest_term(self._group):
            session.record_uncertain_write(self._group)
            return self._discard_stale(attempt)
        if kind is StatementKind.BEGIN:
            session.transaction = Transaction(
                attempt.request.transaction, self._group, attempt.instance, attempt.node, term
            )
            return self._finish(reply, None)
        session.record_write(self._group, reply.position)
        return self._finish(reply, None)

    def _discard_stale(self, attempt: Attempt) -> list[Effect]:
        """Discard the reply of a primary that was replaced: it must not reach the caller."""
        detail = "the primary was replaced while the statement ran"
        if self._statement.kind is StatementKind.BEGIN:
            abandon = Abandon(attempt.node, attempt.instance, self._session.identifier)
            refusal = Refusal(Verdict.NOT_RUN, Reason.STALE_TERM, detail)
            return [abandon, *self._finish(None, refusal)]
        return self._finish(None, Refusal(Verdict.UNKNOWN, Reason.STALE_TERM, detail))

    def _handle_refusal(self, attempt: Attempt, refusal: Refusal, now: float) -> list[Effect]:
        is_read = self._statement.kind is StatementKind.READ
        self._last_refusal = refusal
        if refusal.verdict is not Verdict.NOT_RUN and not is_read:
            return self._finish_uncertain(attempt, refusal)
        if refusal.reason is Reason.BACKEND_ERROR:
            return self._finish(None, refusal)
        if is_read and refusal.reason in READ_RETRY_REASONS:
            return self._retry_elsewhere(attempt, refusal, now)
        if refusal.reason in TRANSIENT_REASONS:
            return self._hold_for_primary(attempt, refusal, now)
        return self._finish(None, refusal)

    def _finish_uncertain(self, attempt: Attempt, refusal: Refusal) -> list[Effect]:
        self._session.record_uncertain_write(self._group)
        if self._statement.kind is not StatementKind.BEGIN:
            return self._finish(None, refusal)
        abandon = Abandon(attempt.node, attempt.instance, self._session.identifier)
        not_run = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, refusal.detail)
        return [abandon, *self._finish(None, not_run)]

    def _hold_for_primary(self, attempt: Attempt, refusal: Refusal, now: float) -> list[Effect]:
        """Hold until the group changes, because its primary cannot serve the statement now."""
        if not self._retry.take(now):
            return self._finish(None, refusal)
        self._retry.record_refusal(attempt)
        return self._back_off(now)

    def _retry_elsewhere(self, attempt: Attempt, refusal: Refusal, now: float) -> list[Effect]:
        """Read from another instance; uses no retry budget if the replica was only behind."""
        is_behind = refusal.reason is Reason.REPLICA_BEHIND
        if not is_behind and not self._retry.take(now):
            return self._finish(None, refusal)
        if is_behind:
            self._directory.record_floor_timeout(attempt.instance, now)
        self._attempt = None
        self._excluded.add(attempt.instance)
        self._session.sticky.pop(self._group, None)
        return self._route(now)

    # Lost replies.

    def _failed(self, sent: bool, detail: str, now: float) -> list[Effect]:
        attempt = self._attempt
        if attempt is None:
            self._last_refusal = Refusal(Verdict.NOT_RUN, Reason.NO_PRIMARY, detail)
            return self._back_off(now)
        if not sent and attempt.lost_at is None:
            refusal = Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, detail)
            self._last_refusal = refusal
            self._directory.forget_status(attempt.instance)
            if self._statement.kind is StatementKind.READ:
                return self._retry_elsewhere(attempt, refusal, now)
            return self._hold_for_primary(attempt, refusal, now)
        if self._statement.kind is StatementKind.READ:
            self._directory.forget_status(attempt.instance)
            lost = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail)
            self._last_refusal = lost
            return self._retry_elsewhere(attempt, lost, now)
        if attempt.lost_at is None:
            attempt.lost_at = now
            return self._request_lost_reply(now)
        self._wakeup = now + REPEAT_INTERVAL
        return [Hold(self._group, refresh=False)]

    def _request_lost_reply(self, now: float) -> list[Effect]:
        """Request the lost reply from the same node; no other node can have it."""
        attempt = self._attempt
        assert attempt is not None
        lost_at = now if attempt.lost_at is None else attempt.lost_at
        if self._directory.is_dead(attempt.node) or now - lost_at >= REPEAT_WINDOW:
            detail = "the answer was lost"
            return self._finish_uncertain(
                attempt, Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail)
            )
        return [
            SendRequest(attempt.node, repeated(attempt.request), REPEAT_WINDOW - (now - lost_at))
        ]

    # Holding and finishing.

    def _back_off(self, now: float) -> list[Effect]:
        """Hold, and do not query the same primary again immediately."""
        self._retry.back_off(now)
        return self._hold(now)

    def _hold(self, now: float) -> list[Effect]:
        self._attempt = None
        if now >= self._hold_until:
            return self._give_up()
        self._wakeup = min(self._hold_until, now + RECHECK_INTERVAL)
        return [Hold(self._group)]

    def _give_up(self) -> list[Effect]:
        """Refuse for the last known reason, or because there is no primary."""
        refusal = self._last_refusal
        if refusal is not None and refusal.reason is not Reason.UNREACHABLE:
            return self._finish(None, refusal)
        return self._refuse(Reason.NO_PRIMARY)

    def _refuse(self, reason: Reason) -> list[Effect]:
        return self._finish(None, Refusal(Verdict.NOT_RUN, reason))

    def _finish(self, reply: ExecuteReply | None, refusal: Refusal | None) -> list[Effect]:
        attempt = self._attempt
        instance = InstanceId("") if attempt is None else attempt.instance
        node = NodeId("") if attempt is None else attempt.node
        return [Finish(reply, refusal, instance, node)]
