"""Deduplicates requests that must not run twice, both running and recently answered ones."""

from __future__ import annotations

from bramblebeam.core.pool.results import RecentResults
from bramblebeam.core.statement import ExecuteReply, ExecuteRequest, RequestId, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer


class RequestDeduplicator:
    """Joins repeats to the running request, and answers repeats of recent requests."""

    def __init__(self) -> None:
        self._results = RecentResults()
        self._waiting: dict[RequestId, list[Envelope]] = {}

    def begin(self, request: ExecuteRequest, envelope: Envelope, now: float) -> bool:
        """Register a request. False: it is a repeat, answered now or with the original."""
        if request.kind is StatementKind.READ:
            return True
        if self._answer_known(request, envelope, now):
            return False
        self._waiting[request.request] = [envelope]
        return True

    def finish(
        self, request: ExecuteRequest, envelope: Envelope, reply: ExecuteReply, now: float
    ) -> None:
        """Answer a request and the repeats of it received meanwhile."""
        waiting = self._waiting.pop(request.request, None)
        if waiting is None:
            answer(envelope, reply)
            return
        self._results.remember(reply, now)
        for waiting_envelope in waiting:
            answer(waiting_envelope, reply)

    def _answer_known(self, request: ExecuteRequest, envelope: Envelope, now: float) -> bool:
        waiting = self._waiting.get(request.request)
        if waiting is not None:
            waiting.append(envelope)
            return True
        known = self._results.find(request.request, now)
        if known is not None and (request.repeat or not _may_run_again(known)):
            answer(envelope, known)
            return True
        if request.repeat:
            detail = "no reply to the original request is stored"
            refusal = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail)
            answer(envelope, ExecuteReply(request.request, refusal=refusal))
            return True
        return False


def failed_reply(request: ExecuteRequest, detail: str) -> ExecuteReply:
    """Return the reply to a request that ended by an internal error or was cancelled."""
    is_read = request.kind is StatementKind.READ
    verdict = Verdict.NOT_RUN if is_read else Verdict.UNKNOWN
    return ExecuteReply(request.request, refusal=Refusal(verdict, Reason.CONNECTION_LOST, detail))


def may_be_cancelled(request: ExecuteRequest) -> bool:
    """Whether an abandoned request is cancelled at once; an autocommitted write continues."""
    return request.kind is StatementKind.READ or bool(request.transaction)


def _may_run_again(reply: ExecuteReply) -> bool:
    return reply.refusal is not None and reply.refusal.verdict is Verdict.NOT_RUN
