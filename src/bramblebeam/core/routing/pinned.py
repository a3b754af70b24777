"""Executes one statement in a transaction, on the connection that the transaction is pinned to.

Statements are never moved to another instance. A transaction whose connection is lost before its
COMMIT was sent is certainly rolled back; a COMMIT without a reply has an uncertain outcome.
"""

from typing import Any

from bramblebeam.core.identity import ZERO_POSITION
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.routing.attempt import (
    REPEAT_INTERVAL,
    REPEAT_WINDOW,
    REPLY_MARGIN,
    STOPPING_TRANSACTION_DETAIL,
    answer_term,
    repeated,
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
    SendRequest,
    Started,
    StatementRequest,
)
from bramblebeam.core.session.session import Session, Transaction
from bramblebeam.core.statement import ExecuteReply, ExecuteRequest, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict


class PinnedExecution:
    """Executes a statement of an open transaction, its COMMIT or its ROLLBACK.

    Raises ValueError for a session without a transaction.
    """

    def __init__(self, session: Session, statement: StatementRequest, directory: Directory) -> None:
        if session.transaction is None:
            raise ValueError("the session has no transaction")
        self._session = session
        self._transaction: Transaction = session.transaction
        self._statement = statement
        self._directory = directory
        self._request: ExecuteRequest | None = None
        self._lost_at: float | None = None
        self._wakeup: float | None = None

    def next_wakeup(self) -> float | None:
        """Return when to deliver `Wakeup` (seconds), or None."""
        return self._wakeup

    def handle(self, event: Any, now: float) -> list[Effect]:
        """Process an event at time `now` (seconds); return the effects in order."""
        self._wakeup = None
        match event:
            case Started():
                return self._start()
            case Answered(reply):
                return self._handle_reply(reply)
            case AttemptFailed(sent, detail):
                return self._failed(sent, detail, now)
            case Wakeup() | GroupUpdated():
                return self._request_lost_reply(now)
        raise TypeError(f"a pinned execution does not handle {type(event).__name__}")

    def interrupted(self) -> Refusal:
        """Return the verdict if the statement is given up now, as its node stops.

        Without its COMMIT a transaction is rolled back.
        """
        if self._commits and self._request is not None:
            return Refusal(Verdict.UNKNOWN, Reason.STOPPING)
        return Refusal(Verdict.NOT_RUN, Reason.STOPPING, STOPPING_TRANSACTION_DETAIL)

    @property
    def _commits(self) -> bool:
        return self._statement.kind is StatementKind.COMMIT or self._statement.implicit_commit

    def _start(self) -> list[Effect]:
        transaction = self._transaction
        limit = self._directory.limit(self._session.service, transaction.group)
        self._request = ExecuteRequest(
            request=self._session.next_request(),
            instance=transaction.instance,
            service=self._session.service,
            kind=self._statement.kind,
            sql=self._statement.sql,
            database=transaction.group,
            wait_ms=limit.queue_wait_ms,
            deadline_ms=limit.deadline_ms,
            transaction=transaction.name,
            minimum_term=transaction.term,
            caller_request=self._statement.caller_request,
            session_name=self._session.roaming_name,
        )
        return [
            SendRequest(transaction.node, self._request, limit.deadline_ms / 1_000 + REPLY_MARGIN)
        ]

    def _handle_reply(self, reply: ExecuteReply) -> list[Effect]:
        if self._request is None or reply.request != self._request.request:
            return []
        if reply.status is not None:
            self._directory.observe(reply.status)
        if reply.refusal is not None:
            return self._handle_refusal(reply, reply.refusal)
        if self._commits:
            return self._handle_commit(reply)
        if not reply.in_transaction:
            self._session.transaction = None
        return self._finish(reply, None)

    def _handle_commit(self, reply: ExecuteReply) -> list[Effect]:
        self._session.transaction = None
        group = self._transaction.group
        term = self._term_of(reply)
        if reply.position != ZERO_POSITION and term < self._directory.highest_term(group):
            detail = "the primary was replaced while the transaction committed"
            return self._finish_uncertain(Refusal(Verdict.UNKNOWN, Reason.STALE_TERM, detail))
        if reply.position != ZERO_POSITION or self._statement.implicit_commit:
            self._session.record_write(group, reply.position)
        return self._finish(reply, None)

    def _term_of(self, reply: ExecuteReply) -> int:
        assert self._request is not None
        return answer_term(reply, self._request)

    def _handle_refusal(self, reply: ExecuteReply, refusal: Refusal) -> list[Effect]:
        is_uncertain = refusal.verdict is not Verdict.NOT_RUN
        if refusal.reason is Reason.BACKEND_ERROR and not is_uncertain:
            if not reply.in_transaction:
                self._session.transaction = None
            return self._finish(None, refusal)
        return self._finish_lost(refusal)

    def _finish_lost(self, refusal: Refusal) -> list[Effect]:
        """End a lost transaction; only a COMMIT that may have run has an uncertain outcome."""
        if self._commits and refusal.verdict is not Verdict.NOT_RUN:
            return self._finish_uncertain(refusal)
        self._session.transaction = None
        transaction = self._transaction
        abandon = Abandon(transaction.node, transaction.instance, self._session.identifier)
        if self._statement.kind is StatementKind.ROLLBACK:
            return [abandon, *self._finish(self._rollback_reply(), None)]
        detail = refusal.detail or refusal.reason.name.lower()
        lost = Refusal(
            Verdict.NOT_RUN,
            Reason.TRANSACTION_LOST,
            f"nothing of it is kept; {detail}",
            refusal.retry_after_ms,
        )
        return [abandon, *self._finish(None, lost)]

    def _finish_uncertain(self, refusal: Refusal) -> list[Effect]:
        self._session.transaction = None
        self._session.record_uncertain_write(self._transaction.group)
        return self._finish(None, refusal)

    def _rollback_reply(self) -> ExecuteReply:
        """Return a success reply: a transaction that can no longer commit is rolled back."""
        assert self._request is not None
        return ExecuteReply(self._request.request)

    def _failed(self, sent: bool, detail: str, now: float) -> list[Effect]:
        if not sent and self._lost_at is None:
            return self._finish_lost(Refusal(Verdict.NOT_RUN, Reason.CONNECTION_LOST, detail))
        if self._lost_at is None:
            self._lost_at = now
            return self._request_lost_reply(now)
        self._wakeup = now + REPEAT_INTERVAL
        return [Hold(self._transaction.group, refresh=False)]

    def _request_lost_reply(self, now: float) -> list[Effect]:
        assert self._request is not None
        lost_for = 0.0 if self._lost_at is None else now - self._lost_at
        transaction = self._transaction
        if lost_for >= REPEAT_WINDOW or self._directory.is_dead(transaction.node):
            detail = "the answer was lost"
            return self._finish_lost(Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail))
        return [SendRequest(transaction.node, repeated(self._request), REPEAT_WINDOW - lost_for)]

    def _finish(self, reply: ExecuteReply | None, refusal: Refusal | None) -> list[Effect]:
        return [Finish(reply, refusal, self._transaction.instance, self._transaction.node)]
