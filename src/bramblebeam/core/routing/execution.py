"""Carries one statement from its arrival to its final answer.

A pure machine: each event gives at most a few effects, of which the last is one the driver waits
for. Attempts that surely did not run are repeated within the queue wait and the retry budget;
a lost answer is asked for again under the same request id; all else is final.
"""

from dataclasses import dataclass
from typing import Any

from bramblebeam.core.identity import ZERO_POSITION, InstanceId, NodeId, Position
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.routing.budget import RetryBudget
from bramblebeam.core.routing.choice import ReadNeed, choose_replica
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
    Started,
    StatementRequest,
)
from bramblebeam.core.session.session import Session, Transaction
from bramblebeam.core.statement import (
    ExecuteReply,
    ExecuteRequest,
    InstanceStatus,
    PositionRequest,
    StatementKind,
)
from bramblebeam.core.verdict import Reason, Refusal, Verdict

FLOOR_WAIT_MS = 150
"""How long one replica's owner may wait for the floor, or for a slot, before another is tried."""
POSITION_TIMEOUT = 1.0
"""Seconds to wait for a confirmed position before asking again."""
RECHECK_INTERVAL = 0.1
"""Seconds after which a held statement looks again although nothing was heard."""
REPEAT_INTERVAL = 0.05
"""Seconds between questions for a lost answer."""
REPEAT_WINDOW = 1.5
"""Seconds for which a lost answer is asked for before the verdict is UNKNOWN."""
REPLY_MARGIN = 0.5
"""Seconds beyond the owner's own deadline that its answer may take."""

_MOVED = frozenset(
    {
        Reason.NO_PRIMARY,
        Reason.STALE_TERM,
        Reason.NOT_OWNER,
        Reason.LEAVING,
        Reason.UNREACHABLE,
        Reason.CONNECTION_LOST,
        Reason.STOPPING,
    }
)
"""Reasons that another instance, another owner or a moment's wait can cure."""
_BUSY = frozenset({Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT})


@dataclass(slots=True)
class _Attempt:
    instance: InstanceId
    node: NodeId
    request: ExecuteRequest
    lost_at: float | None = None


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
        self._attempt: _Attempt | None = None
        self._excluded: set[InstanceId] = set()
        self._last_refusal: Refusal | None = None
        self._confirmed: Position | None = None
        self._retry_term = -1

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
                return self._position_answered(reply.refusal, reply.position, now)
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
        return [AskPosition(node, PositionRequest(primary.instance), timeout)]

    def _position_answered(
        self, refusal: Refusal | None, position: Position, now: float
    ) -> list[Effect]:
        if refusal is not None:
            self._last_refusal = refusal
            return self._hold(now)
        self._directory.observe_term(self._group, position.term)
        self._session.confirmed(self._group, position)
        self._confirmed = position
        return self._next(now)

    # Attempts.

    def _next_read(self, now: float) -> list[Effect]:
        need = ReadNeed(self._group, self._session.floor(self._group), self._limit.staleness_ms)
        request = self._session.next_request()
        excluded = self._excluded
        status = choose_replica(self._directory, self._session, need, excluded, request)
        wait_ms = FLOOR_WAIT_MS
        if status is None:
            status = self._directory.primary(self._group)
            wait_ms = self._limit.queue_wait_ms
        if status is None or status.instance in excluded:
            return self._hold(now)
        node = self._directory.owner(status.instance)
        if node is None:
            self._excluded.add(status.instance)
            return self._next_read(now)
        return self._ask(status, node, wait_ms, now)

    def _next_write(self, now: float) -> list[Effect]:
        primary = self._directory.primary(self._group)
        node = None if primary is None else self._directory.owner(primary.instance)
        if primary is None or node is None or primary.instance in self._excluded:
            return self._hold(now)
        return self._ask(primary, node, self._limit.queue_wait_ms, now)

    def _ask(self, status: InstanceStatus, node: NodeId, wait_ms: int, now: float) -> list[Effect]:
        session = self._session
        statement = self._statement
        floor = session.floor(self._group)
        is_read = statement.kind is StatementKind.READ
        is_begin = statement.kind is StatementKind.BEGIN
        highest_term = max(self._directory.highest_term(self._group), floor.term)
        remaining = self._deadline - now
        request = ExecuteRequest(
            request=session.next_request(),
            instance=status.instance,
            service=session.service,
            kind=statement.kind,
            sql=statement.sql,
            database=self._group,
            floor=floor if statement.sees_writes else ZERO_POSITION,
            staleness_ms=self._limit.staleness_ms if is_read else -1,
            wait_ms=min(wait_ms, max(0, int(remaining * 1_000))),
            deadline_ms=max(1, int(remaining * 1_000)),
            transaction=session.next_transaction_name() if is_begin else "",
            minimum_term=0 if is_read else highest_term,
            caller_request=statement.caller_request,
        )
        self._attempt = _Attempt(status.instance, node, request)
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

    def _succeeded(self, attempt: _Attempt, reply: ExecuteReply) -> list[Effect]:
        kind = self._statement.kind
        session = self._session
        if kind is StatementKind.READ:
            session.read(self._group, reply.position)
            return self._finish(reply, None)
        term = answer_term(reply)
        if term < self._directory.highest_term(self._group):
            session.doubted(self._group)
            return self._overtaken(attempt)
        if kind is StatementKind.BEGIN:
            session.transaction = Transaction(
                attempt.request.transaction, self._group, attempt.instance, attempt.node, term
            )
            return self._finish(reply, None)
        session.wrote(self._group, reply.position)
        return self._finish(reply, None)

    def _overtaken(self, attempt: _Attempt) -> list[Effect]:
        """The answer came from a primary that was replaced: nothing of it may be relayed."""
        detail = "the primary was replaced while the statement ran"
        if self._statement.kind is StatementKind.BEGIN:
            abandon = Abandon(attempt.node, attempt.instance, self._session.identifier)
            refusal = Refusal(Verdict.NOT_RUN, Reason.STALE_TERM, detail)
            return [abandon, *self._finish(None, refusal)]
        return self._finish(None, Refusal(Verdict.UNKNOWN, Reason.STALE_TERM, detail))

    def _refused(self, attempt: _Attempt, refusal: Refusal, now: float) -> list[Effect]:
        is_read = self._statement.kind is StatementKind.READ
        self._last_refusal = refusal
        if refusal.reason is Reason.BACKEND_ERROR:
            return self._finish(None, refusal)
        if refusal.verdict is not Verdict.NOT_RUN and not is_read:
            return self._doubtful(attempt, refusal)
        if refusal.reason in _MOVED:
            return self._moved(attempt, refusal, now)
        if is_read and (refusal.reason in _BUSY or refusal.reason is Reason.REPLICA_BEHIND):
            return self._elsewhere(attempt, now)
        return self._finish(None, refusal)

    def _doubtful(self, attempt: _Attempt, refusal: Refusal) -> list[Effect]:
        self._session.doubted(self._group)
        if self._statement.kind is not StatementKind.BEGIN:
            return self._finish(None, refusal)
        abandon = Abandon(attempt.node, attempt.instance, self._session.identifier)
        not_run = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, refusal.detail)
        return [abandon, *self._finish(None, not_run)]

    def _moved(self, attempt: _Attempt, refusal: Refusal, now: float) -> list[Effect]:
        """The instance cannot serve now: look for another, or hold for news of the group."""
        if self._statement.kind is StatementKind.READ:
            return self._elsewhere(attempt, now)
        self._attempt = None
        if not self._may_retry(now):
            return self._refuse(Reason.RETRY_BUDGET)
        return self._hold(now)

    def _elsewhere(self, attempt: _Attempt, now: float) -> list[Effect]:
        self._attempt = None
        self._excluded.add(attempt.instance)
        self._session.sticky.pop(self._group, None)
        if not self._may_retry(now):
            return self._refuse(Reason.RETRY_BUDGET)
        return self._next(now)

    def _may_retry(self, now: float) -> bool:
        """Take a retry from the budget; the first one after a change of primary is free."""
        term = self._directory.highest_term(self._group)
        if term != self._retry_term:
            self._retry_term = term
            return True
        return self._budget.take(now)

    # Lost answers.

    def _failed(self, sent: bool, detail: str, now: float) -> list[Effect]:
        attempt = self._attempt
        if attempt is None:
            self._last_refusal = Refusal(Verdict.NOT_RUN, Reason.NO_PRIMARY, detail)
            return self._hold(now)
        if not sent and attempt.lost_at is None:
            refusal = Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, detail)
            self._last_refusal = refusal
            self._directory.unreachable(attempt.instance)
            return self._moved(attempt, refusal, now)
        if self._statement.kind is StatementKind.READ:
            self._directory.unreachable(attempt.instance)
            self._last_refusal = Refusal(Verdict.UNKNOWN, Reason.UNREACHABLE, detail)
            return self._elsewhere(attempt, now)
        if attempt.lost_at is None:
            attempt.lost_at = now
            return self._ask_again(now)
        self._wakeup = now + REPEAT_INTERVAL
        return [Hold(self._group, refresh=False)]

    def _ask_again(self, now: float) -> list[Effect]:
        """Ask the same owner for the same request's answer; no other one can know it."""
        attempt = self._attempt
        assert attempt is not None
        lost_at = now if attempt.lost_at is None else attempt.lost_at
        same_owner = self._directory.owner(attempt.instance) == attempt.node
        if not same_owner or now - lost_at >= REPEAT_WINDOW:
            detail = "the answer was lost"
            return self._doubtful(attempt, Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail))
        return [Ask(attempt.node, repeated(attempt.request), REPEAT_WINDOW - (now - lost_at))]

    # Ends.

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


def answer_term(reply: ExecuteReply) -> int:
    """Return the term that a primary's answer was given in."""
    if reply.position.term:
        return reply.position.term
    return reply.status.term if reply.status is not None else 0


def repeated(request: ExecuteRequest) -> ExecuteRequest:
    """Return the request as a question for an answer that was lost."""
    return ExecuteRequest(
        request=request.request,
        instance=request.instance,
        service=request.service,
        kind=request.kind,
        sql=request.sql,
        database=request.database,
        floor=request.floor,
        staleness_ms=request.staleness_ms,
        wait_ms=request.wait_ms,
        deadline_ms=request.deadline_ms,
        transaction=request.transaction,
        minimum_term=request.minimum_term,
        caller_request=request.caller_request,
        repeat=True,
    )
