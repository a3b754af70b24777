"""Carries one statement from its arrival to its final answer.

A pure machine: each event gives at most a few effects, of which the last is one the driver waits
for. Attempts that surely did not run are repeated within the queue wait and the retry budget;
a lost answer is asked for again under the same request id; all else is final.
"""

from typing import Any

from bramblebeam.core.identity import InstanceId, NodeId, Position
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.role import Role
from bramblebeam.core.routing.attempt import (
    ELSEWHERE,
    FLOOR_WAIT_MS,
    MOVED,
    POSITION_TIMEOUT,
    RECHECK_INTERVAL,
    REPEAT_INTERVAL,
    REPEAT_WINDOW,
    REPLY_MARGIN,
    Attempt,
    answer_term,
    new_request,
    repeated,
)
from bramblebeam.core.routing.budget import RetryBudget
from bramblebeam.core.routing.choice import (
    ReadNeed,
    choose_replica,
    choose_unweighted,
    sticky_replica,
)
from bramblebeam.core.routing.directory import Directory
from bramblebeam.core.routing.effects import (
    Abandon,
    Answered,
    Ask,
    AskPosition,
    AttemptFailed,
    Effect,
    Finish,
    GroupUpdated,
    Hold,
    PositionAnswered,
    Refresh,
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
    """One statement of a session outside a transaction, or the BEGIN of one."""

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
        """Return when `Wakeup` is due (seconds), or None."""
        return self._wakeup

    def handle(self, event: Any, now: float) -> list[Effect]:
        """Take one event at time `now` (seconds); return the effects in order."""
        self._wakeup = None
        match event:
            case Answered(reply):
                return self._answered(reply, now)
            case Started():
                return self._start(now)
            case PositionAnswered(reply):
                return self._position_answered(reply, now)
            case AttemptFailed(sent, detail):
                return self._failed(sent, detail, now)
            case GroupUpdated() | Wakeup():
                return self._resume(now)
        raise TypeError(f"{type(event).__name__} is no event of an execution")

    def _start(self, now: float) -> list[Effect]:
        self._budget.request()
        self._deadline = now + self._limit.deadline_ms / 1_000
        self._hold_until = min(self._deadline, now + self._limit.queue_wait_ms / 1_000)
        if self._directory.group(self._group) is None:
            return self._refuse(Reason.NO_CONFIGURATION)
        return self._next(now)

    def _resume(self, now: float) -> list[Effect]:
        if self._attempt is not None:
            return self._ask_again(now)
        if not self._retry.is_open(now):
            return self._hold(now)
        self._excluded.clear()
        return self._next(now)

    def _next(self, now: float) -> list[Effect]:
        if now >= self._deadline:
            return self._give_up()
        if self._must_confirm():
            return self._confirm(now)
        if self._statement.kind is StatementKind.READ:
            return self._next_read(now)
        return self._next_write(now)

    # The floor.

    def _must_confirm(self) -> bool:
        needs = self._statement.sees_writes and self._session.must_confirm(self._group)
        return needs and self._confirmed is None

    def _confirm(self, now: float) -> list[Effect]:
        primary = self._directory.primary(self._group)
        node = None if primary is None else self._directory.owner(primary.instance)
        if primary is None or node is None:
            return self._hold(now)
        timeout = max(0.01, min(POSITION_TIMEOUT, self._hold_until - now))
        name = self._session.name_for_floor(self._group)
        request = PositionRequest(primary.instance, (name,) if name else ())
        return [AskPosition(node, request, timeout)]

    def _position_answered(self, reply: PositionReply, now: float) -> list[Effect]:
        if reply.refusal is not None:
            self._last_refusal = reply.refusal
            return self._back_off(now)
        self._directory.observe_term(self._group, reply.position.term)
        floor = reply.floors[0] if reply.floors else reply.position
        self._session.record_confirmed(self._group, floor)
        self._confirmed = floor
        return self._next(now)

    # Attempts.

    def _next_read(self, now: float) -> list[Effect]:
        floor = self._session.floor(self._group)
        need = ReadNeed(self._group, floor, self._limit.staleness_ms, now)
        status = sticky_replica(self._directory, self._session, need, self._excluded)
        if status is None:
            draw = self._session.next_request()
            status = choose_replica(self._directory, self._session, need, self._excluded, draw)
        if status is not None:
            return self._ask_for_read(status, self._replica_wait_ms(status, need, now), now)
        refresh = Refresh(self._group)
        status = self._directory.primary(self._group)
        if status is not None and status.instance not in self._excluded:
            return [refresh, *self._ask_for_read(status, self._limit.queue_wait_ms, now)]
        status = choose_unweighted(self._directory, need, self._excluded)
        if status is not None:
            wait_ms = self._replica_wait_ms(status, need, now)
            return [refresh, *self._ask_for_read(status, wait_ms, now)]
        return self._back_off(now) if self._excluded else self._hold(now)

    def _replica_wait_ms(self, status: InstanceStatus, need: ReadNeed, now: float) -> int:
        """Return how long to wait for a replica: for a slot, or also for the floor (ms)."""
        if status.applied >= need.floor:
            return self._limit.queue_wait_ms
        if self._floor_wait_until is None:
            self._floor_wait_until = now + FLOOR_WAIT_MS / 1_000
        return max(0, int((self._floor_wait_until - now) * 1_000))

    def _ask_for_read(self, status: InstanceStatus, wait_ms: int, now: float) -> list[Effect]:
        node = self._directory.owner(status.instance)
        if node is None:
            self._excluded.add(status.instance)
            return self._next_read(now)
        return self._ask(status, node, wait_ms, now)

    def _next_write(self, now: float) -> list[Effect]:
        primary = self._directory.primary(self._group)
        node = None if primary is None else self._directory.owner(primary.instance)
        if primary is None or node is None:
            return self._hold(now)
        return self._ask(primary, node, self._limit.queue_wait_ms, now)

    def _ask(self, status: InstanceStatus, node: NodeId, wait_ms: int, now: float) -> list[Effect]:
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
        return [Ask(node, request, remaining + REPLY_MARGIN)]

    # Answers.

    def _answered(self, reply: ExecuteReply, now: float) -> list[Effect]:
        attempt = self._attempt
        if attempt is None or reply.request != attempt.request.request:
            return []
        if reply.status is not None:
            self._directory.observe(reply.status)
        if reply.refusal is not None:
            return self._refused(attempt, reply.refusal, now)
        return self._succeeded(attempt, reply)

    def _succeeded(self, attempt: Attempt, reply: ExecuteReply) -> list[Effect]:
        kind = self._statement.kind
        session = self._session
        if kind is StatementKind.READ:
            if attempt.role is Role.REPLICA:
                session.record_read(self._group, reply.position)
            self._directory.note_applied(attempt.instance, reply.position)
            return self._finish(reply, None)
        term = answer_term(reply, attempt.request)
        if term < self._directory.highest_term(self._group):
            session.record_uncertain_write(self._group)
            return self._overtaken(attempt)
        if kind is StatementKind.BEGIN:
            session.transaction = Transaction(
                attempt.request.transaction, self._group, attempt.instance, attempt.node, term
            )
            return self._finish(reply, None)
        session.record_write(self._group, reply.position)
        return self._finish(reply, None)

    def _overtaken(self, attempt: Attempt) -> list[Effect]:
        """The answer came from a primary that was replaced: nothing of it may be relayed."""
        detail = "the primary was replaced while the statement ran"
        if self._statement.kind is StatementKind.BEGIN:
            abandon = Abandon(attempt.node, attempt.instance, self._session.identifier)
            refusal = Refusal(Verdict.NOT_RUN, Reason.STALE_TERM, detail)
            return [abandon, *self._finish(None, refusal)]
        return self._finish(None, Refusal(Verdict.UNKNOWN, Reason.STALE_TERM, detail))

    def _refused(self, attempt: Attempt, refusal: Refusal, now: float) -> list[Effect]:
        is_read = self._statement.kind is StatementKind.READ
        self._last_refusal = refusal
        if refusal.verdict is not Verdict.NOT_RUN and not is_read:
            return self._doubtful(attempt, refusal)
        if refusal.reason is Reason.BACKEND_ERROR:
            return self._finish(None, refusal)
        if is_read and refusal.reason in ELSEWHERE:
            return self._elsewhere(attempt, refusal, now)
        if refusal.reason in MOVED:
            return self._moved(attempt, refusal, now)
        return self._finish(None, refusal)

    def _doubtful(self, attempt: Attempt, refusal: Refusal) -> list[Effect]:
        self._session.record_uncertain_write(self._group)
        if self._statement.kind is not StatementKind.BEGIN:
            return self._finish(None, refusal)
        abandon = Abandon(attempt.node, attempt.instance, self._session.identifier)
        not_run = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, refusal.detail)
        return [abandon, *self._finish(None, not_run)]

    def _moved(self, attempt: Attempt, refusal: Refusal, now: float) -> list[Effect]:
        """The primary cannot serve now: hold for news of the group."""
        if not self._retry.take(now):
            return self._finish(None, refusal)
        self._retry.refused_by(attempt)
        return self._back_off(now)

    def _elsewhere(self, attempt: Attempt, refusal: Refusal, now: float) -> list[Effect]:
        """Read from another instance. One that is only behind costs no retry budget."""
        is_behind = refusal.reason is Reason.REPLICA_BEHIND
        if not is_behind and not self._retry.take(now):
            return self._finish(None, refusal)
        if is_behind:
            self._directory.kept_waiting(attempt.instance, now)
        self._attempt = None
        self._excluded.add(attempt.instance)
        self._session.sticky.pop(self._group, None)
        return self._next(now)

    # Lost answers.

    def _failed(self, sent: bool, detail: str, now: float) -> list[Effect]:
        attempt = self._attempt
        if attempt is None:
            self._last_refusal = Refusal(Verdict.NOT_RUN, Reason.NO_PRIMARY, detail)
            return self._back_off(now)
        if not sent and attempt.lost_at is None:
            refusal = Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, detail)
            self._last_refusal = refusal
            self._directory.unreachable(attempt.instance)
            if self._statement.kind is StatementKind.READ:
                return self._elsewhere(attempt, refusal, now)
            return self._moved(attempt, refusal, now)
        if self._statement.kind is StatementKind.READ:
            self._directory.unreachable(attempt.instance)
            lost = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail)
            self._last_refusal = lost
            return self._elsewhere(attempt, lost, now)
        if attempt.lost_at is None:
            attempt.lost_at = now
            return self._ask_again(now)
        self._wakeup = now + REPEAT_INTERVAL
        return [Hold(self._group, refresh=False)]

    def _ask_again(self, now: float) -> list[Effect]:
        """Ask the same node for the same request's answer; no other one can know it."""
        attempt = self._attempt
        assert attempt is not None
        lost_at = now if attempt.lost_at is None else attempt.lost_at
        if self._directory.is_dead(attempt.node) or now - lost_at >= REPEAT_WINDOW:
            detail = "the answer was lost"
            return self._doubtful(attempt, Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail))
        return [Ask(attempt.node, repeated(attempt.request), REPEAT_WINDOW - (now - lost_at))]

    # Ends.

    def _back_off(self, now: float) -> list[Effect]:
        """Hold, and do not ask the same primary again at once."""
        self._retry.back_off(now)
        return self._hold(now)

    def _hold(self, now: float) -> list[Effect]:
        self._attempt = None
        if now >= self._hold_until:
            return self._give_up()
        self._wakeup = min(self._hold_until, now + RECHECK_INTERVAL)
        return [Hold(self._group)]

    def _give_up(self) -> list[Effect]:
        """Refuse for the last known reason, or for want of a primary."""
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
