"""Runs statements on one instance: admission, slots, pinned transactions, streamed results."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from bramblebeam.core.identity import ServiceId
from bramblebeam.core.pool.admission import Admission, Deferred, admit
from bramblebeam.core.pool.failure import ends_transaction, refusal_of_unknown_transaction
from bramblebeam.core.pool.statements import leaves_session_state
from bramblebeam.core.statement import (
    ExecuteReply,
    ExecuteRequest,
    InstanceStatus,
    StatementKind,
)
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.edges.backend import BackendConnection, BackendResult
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import POOL_STATEMENT_CUT, POOL_TRANSACTION_ROLLED_BACK
from bramblebeam.services.pool.caller_requests import CallerRequest
from bramblebeam.services.pool.deadlines import Deadlines
from bramblebeam.services.pool.execution import Answer, StatementRun, position_of
from bramblebeam.services.pool.instance import Instance
from bramblebeam.services.pool.slots import Slot
from bramblebeam.services.pool.streams import ResultStreams, fits_in_message
from bramblebeam.services.pool.transactions import PinnedTransaction, PinnedTransactions

logger = logging.getLogger(__name__)

REFRESH_REASONS = (Reason.STALE_TERM, Reason.CONNECTION_LOST, Reason.TRANSACTION_LOST)
"""Refusals that suggest a change of primary, so that the status is refreshed."""
READMISSION_AFTER = 0.01
"""A statement that waited longer for its slot is admitted again (seconds)."""


class StatementRunner:
    """The statements, transactions and streams of one instance.

    Transactions and streams may outlast the ownership: a planned handover retains their slots.
    """

    def __init__(self, instance: Instance, deadlines: Deadlines) -> None:
        self.instance = instance
        self.transactions = PinnedTransactions()
        self.streams = ResultStreams()
        self.caller_request_service: ServiceId | None = None
        """The service that last sent a request with a caller-supplied id."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._deadlines = deadlines
        self._running: dict[BackendConnection, StatementKind] = {}
        self._ends_transactions = False
        self._loop = asyncio.get_running_loop()

    async def execute(self, request: ExecuteRequest, arrived: float) -> ExecuteReply:
        """Run a request that arrived at `arrived` (loop time); return its result or refusal."""
        self.instance.record_use()
        deadline = arrived + self._seconds_allowed(request)
        if request.minimum_term > self.instance.known_term:
            self.instance.record_term(request.minimum_term)
        if request.transaction and request.kind is not StatementKind.BEGIN:
            return await self._execute_pinned(request, deadline)
        wait_until = min(deadline, arrived + self._seconds_to_wait(request))
        refusal = await self._admit(request, wait_until)
        if refusal is not None:
            return self._refuse(request, refusal)
        acquired = await self._acquire(request, wait_until)
        if isinstance(acquired, Refusal):
            return self._refuse(request, acquired)
        return await self._execute_on(acquired, request, deadline)

    async def _acquire(self, request: ExecuteRequest, wait_until: float) -> Slot | Refusal:
        """Wait for a slot; after a long wait the instance must still admit the request."""
        slots = self.instance.slots
        if slots is None:
            return self.instance.not_owner()
        requested_at = self._loop.time()
        acquired = await slots.acquire(request.service, wait_until)
        if isinstance(acquired, Refusal) or self._loop.time() - requested_at < READMISSION_AFTER:
            return acquired
        decision = self._check_admission(request)
        if decision is Admission.RUN:
            return acquired
        self._release(acquired, False)
        return decision.refusal if isinstance(decision, Deferred) else decision

    async def _admit(self, request: ExecuteRequest, wait_until: float) -> Refusal | None:
        """Wait until the instance's state admits the request. None: it is admitted."""
        instance = self.instance
        if not instance.owned and not await instance.wait_owned(request.kind, wait_until):
            return instance.not_owner()
        polled_once = False
        while True:
            decision = self._check_admission(request)
            if decision is Admission.RUN:
                return None
            if isinstance(decision, Deferred):
                refusal = decision.refusal
                may_be_admitted_later = not (decision.next_status_only and polled_once)
            else:
                refusal = decision
                may_be_admitted_later = instance.starting
            polled_once = True
            if not may_be_admitted_later:
                return refusal
            if not await instance.next_status(wait_until):
                return refusal if instance.owned else instance.not_owner()

    def _check_admission(self, request: ExecuteRequest) -> Admission | Deferred | Refusal:
        instance = self.instance
        if not instance.owned:
            return instance.not_owner()
        return admit(request, instance.status, instance.status_age, instance.drained)

    async def _execute_on(
        self, slot: Slot, request: ExecuteRequest, deadline: float
    ) -> ExecuteReply:
        status_before = self.instance.status
        dirty = True
        kept = False
        self._running[slot.connection] = request.kind
        try:
            answer = await self._run(slot.connection, request, deadline)
            kept = not isinstance(answer, Refusal) and _keeps_slot(request, answer)
            dirty = leaves_session_state(request)
        finally:
            del self._running[slot.connection]
            if not kept:
                self._release(slot, dirty)
        if kept and not isinstance(answer, Refusal):
            answer = self._keep(slot, request, answer)
        return self._reply(request, answer, status_before)

    def _keep(self, slot: Slot, request: ExecuteRequest, result: BackendResult) -> BackendResult:
        """Keep the slot for a transaction that has begun, or for rows still to be fetched.

        Returns the part of the result that goes into the reply.
        """
        if request.kind is StatementKind.BEGIN:
            session = request.request.session
            pinned = self.transactions.pin(request.transaction, session, slot, self._loop.time())
            self._end_if_stopping(pinned)
            return result

        def finish(complete: bool) -> None:
            if not complete:
                slot.connection.abort()
            self._release(slot, True)

        return self.streams.begin(request.request, slot.connection, result, finish)

    async def _execute_pinned(self, request: ExecuteRequest, deadline: float) -> ExecuteReply:
        pinned = self.transactions.find(request.transaction)
        if pinned is None:
            return self._refuse(request, refusal_of_unknown_transaction(request))
        async with pinned.statement_lock:
            if pinned.ended:
                return self._refuse(request, refusal_of_unknown_transaction(request))
            pinned.used_at = self._loop.time()
            connection = pinned.slot.connection
            if connection.busy or connection.broken:
                self._end_transaction(pinned)
                return self._refuse(request, refusal_of_unknown_transaction(request))
            try:
                answer = await self._run(connection, request, deadline)
            except asyncio.CancelledError:
                self._end_transaction(pinned)
                raise
            pinned.used_at = self._loop.time()
            return self._after_pinned(pinned, request, answer)

    def _after_pinned(
        self, pinned: PinnedTransaction, request: ExecuteRequest, answer: Answer
    ) -> ExecuteReply:
        connection = pinned.slot.connection
        if not isinstance(answer, Refusal) and not fits_in_message(answer):

            def finish(complete: bool) -> None:
                if not complete:
                    self._end_transaction(pinned)
                self._end_if_stopping(pinned)

            head = self.streams.begin(request.request, connection, answer, finish)
            return replace(self._reply(request, head), in_transaction=True)
        refusal = answer if isinstance(answer, Refusal) else None
        over = connection.broken or ends_transaction(
            request.kind, refusal, still_open=connection.in_transaction
        )
        if over:
            self._end_transaction(pinned)
        self._end_if_stopping(pinned)
        return replace(self._reply(request, answer), in_transaction=not over)

    async def _run(
        self, connection: BackendConnection, request: ExecuteRequest, deadline: float
    ) -> Answer:
        run = StatementRun(connection, request, deadline, self._deadlines)
        if request.caller_request and request.kind is StatementKind.WRITE:
            self.caller_request_service = request.service
            answer = await CallerRequest(run).run()
        else:
            answer = await run.run()
        if isinstance(answer, Refusal) and answer.reason in REFRESH_REASONS:
            self.instance.refresh()
        if isinstance(answer, Refusal) and answer.reason is Reason.DEADLINE:
            log_event(
                logger,
                POOL_STATEMENT_CUT,
                instance=self.instance.spec.instance,
                service=request.service,
            )
        return answer

    def _seconds_to_wait(self, request: ExecuteRequest) -> float:
        limit = self.instance.limits.services.get(request.service)
        requested = request.wait_ms / 1000
        return min(requested, limit.queue_wait) if limit is not None else requested

    def _seconds_allowed(self, request: ExecuteRequest) -> float:
        limit = self.instance.limits.services.get(request.service)
        allowed = request.deadline_ms / 1000
        return min(allowed, limit.deadline) if limit is not None and limit.deadline else allowed

    def abort_on_unreachable(self) -> None:
        """Abort work on an unreachable back end that is not worth waiting for.

        Plain reads are aborted, as other instances may serve them. If the group has a higher term,
        everything is: no result of this back end may be relayed, so each request gets its verdict
        now.
        """
        status = self.instance.status
        replaced = status is not None and status.term < self.instance.known_term
        for connection, kind in list(self._running.items()):
            if replaced or kind is StatementKind.READ:
                connection.abort()
        if replaced:
            for pinned in self.transactions:
                pinned.slot.connection.abort()

    # Abandoned sessions and idle work.

    def abandon(self, session: str) -> None:
        """Roll back and free everything held by a session whose caller is gone."""
        self.streams.end_of_session(session)
        for pinned in self.transactions.of_session(session):
            self._roll_back(pinned, "abandoned")

    def end_idle(self, now: float) -> None:
        """Roll back idle transactions and those without a connection; close idle streams."""
        self.streams.end_idle(now)
        for pinned in self.transactions.idle(now):
            self._roll_back(pinned, "idle")
        for pinned in self.transactions:
            if pinned.slot.connection.broken and not pinned.statement_lock.locked():
                self._roll_back(pinned, "connection lost")

    def end_transactions(self) -> None:
        """End each transaction between its statements, now or after the one that runs."""
        self._ends_transactions = True
        for pinned in self.transactions:
            if not pinned.statement_lock.locked() and not self.streams.uses(pinned.slot.connection):
                self._end_if_stopping(pinned)

    def _end_if_stopping(self, pinned: PinnedTransaction) -> None:
        if self._ends_transactions and not pinned.ended:
            self._roll_back(pinned, "the node is stopping")

    def _roll_back(self, pinned: PinnedTransaction, cause: str) -> None:
        log_event(
            logger, POOL_TRANSACTION_ROLLED_BACK, instance=self.instance.spec.instance, cause=cause
        )
        self._end_transaction(pinned)

    def _end_transaction(self, pinned: PinnedTransaction) -> None:
        """Free the transaction's slot; a statement running on its connection is aborted."""
        if not self.transactions.unpin(pinned):
            return
        connection = pinned.slot.connection
        if pinned.statement_lock.locked() and connection.busy:
            connection.abort()
        self._release(pinned.slot, True)

    # Replies.

    def _reply(
        self, request: ExecuteRequest, answer: Answer, status_before: InstanceStatus | None = None
    ) -> ExecuteReply:
        """Build the reply; `status_before` is the status when a read began."""
        if isinstance(answer, Refusal):
            return self._refuse(request, answer)
        position = position_of(answer.info)
        if request.kind is StatementKind.READ and status_before is not None:
            position = max(status_before.applied, request.floor)
        return ExecuteReply(
            request=request.request,
            columns=answer.columns,
            rows=answer.rows,
            affected_rows=answer.affected_rows,
            last_insert_id=answer.last_insert_id,
            position=position,
            in_transaction=answer.in_transaction,
            more=answer.more,
        )

    def _refuse(self, request: ExecuteRequest, refusal: Refusal) -> ExecuteReply:
        return ExecuteReply(request.request, refusal=refusal, status=self.instance.status)

    def _release(self, slot: Slot, dirty: bool) -> None:
        if dirty and not slot.connection.broken:
            self._spawn(slot.connections.release(slot))
        else:
            slot.connections.release_clean(slot)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _keeps_slot(request: ExecuteRequest, result: BackendResult) -> bool:
    """Whether the slot stays with the request: for a transaction, or for more rows."""
    return request.kind is StatementKind.BEGIN or not fits_in_message(result)
