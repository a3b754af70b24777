"""A caller's transaction that runs at another node, which serves the group."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.messages import TransactionAbandoned
from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.core.gateway.routes import Route
from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.identity import NodeId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.forwarding import to_forwarded_statement
from bramblebeam.services.gateway.request import Request, StatementSession
from bramblebeam.services.gateway.transaction import Transaction
from bramblebeam.services.transport.messages import PeerFailure

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

TRANSACTION_BITS = 63


class ForwardedTransaction:
    """A transaction that another node runs, or this one if no other node can be reached.

    The first statement determines the node. Statements sent before the COMMIT have no effect once
    that node is lost or the transaction is abandoned.
    """

    def __init__(
        self, context: GatewayContext, session: StatementSession, route: Route, read_only: bool
    ) -> None:
        self._context = context
        self._session = session
        self.route = route
        self._read_only = read_only
        self._number = secrets.randbits(TRANSACTION_BITS) or 1
        self._node: NodeId | None = None
        self._local: Transaction | None = None
        self._wrote = False
        self._running = False
        self._used_at = context.now()
        self._failure: Refusal | None = None

    @property
    def state(self) -> TransactionState:
        """Whether the transaction is open or has failed."""
        if self._local is not None:
            return self._local.state
        return TransactionState.OPEN if self._failure is None else TransactionState.FAILED

    @property
    def wrote(self) -> bool:
        """Whether a write of the transaction was acknowledged."""
        return self._wrote if self._local is None else self._local.wrote

    async def run(self, request: Request) -> Reply:
        """Run a read or a write in the transaction."""
        if self._local is not None:
            return await self._local.run(request)
        reply = await self._forward(request)
        if reply is None:
            return await self._run_here().run(request)
        if reply.refusal is not None:
            return self.fail(reply.refusal)
        self._wrote = self._wrote or request.writes
        if not self._wrote:
            request.record_observed(reply)
        return reply

    async def commit(self, request: Request) -> Reply:
        """Commit and end the transaction."""
        if self._local is not None:
            return await self._local.commit(request)
        if self._failure is not None:
            detail = self._failure.detail
            return Reply(refusal=Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail))
        reply = await self._forward(request)
        if reply is None:
            return await self._run_here().commit(request)
        request.record_observed(reply)
        return reply._replace(state=TransactionState.IDLE)

    def fail(self, refusal: Refusal) -> Reply:
        """Roll back at the other node; the caller still has to end its transaction."""
        if self._local is not None:
            return self._local.fail(refusal)
        self._failure = refusal
        self._send_abandoned()
        return Reply(refusal=refusal, state=TransactionState.FAILED)

    def abandon(self, detail: str) -> None:
        """Roll back."""
        if self._local is not None:
            self._local.abandon(detail)
        elif self._failure is None:
            self._failure = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail)
            self._send_abandoned()

    def end_if_idle(self, now: float) -> None:
        """Roll back the transaction if its caller has been idle for longer than allowed."""
        if self._local is not None:
            self._local.end_if_idle(now)
            return
        is_idle = not self._running and self._failure is None and self._node is not None
        if is_idle and now - self._used_at > self._context.table.transaction_idle:
            self.fail(Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "it was idle for too long"))

    def _run_here(self) -> Transaction:
        """Create the transaction at this node; no other node has run any part of it."""
        self._local = Transaction(self._context, self._session, self.route, self._read_only)
        return self._local

    def _send_abandoned(self) -> None:
        if self._node is not None:
            message = TransactionAbandoned(self._number)
            self._context.forwarder.peers.post(self._node, message)

    async def _forward(self, request: Request) -> Reply | None:
        """Return the reply; None if the transaction has not begun at any node."""
        self._running = True
        try:
            if self._node is not None:
                answer = await self._forward_to(self._node, request, opens=False)
                return answer if isinstance(answer, Reply) else self._lost(request, answer)
            return await self._open(request)
        finally:
            self._running = False
            self._used_at = self._context.now()

    async def _open(self, request: Request) -> Reply | None:
        at_leader = self._context.runs_at_leader(self.route, writes=not self._read_only)
        group, tenant = self.route.group, request.tenant
        for node in self._context.forwarder.candidates(group, tenant, at_leader):
            # Known before the answer: a caller that leaves meanwhile has to end it there.
            self._node = node
            answer = await self._forward_to(node, request, opens=True)
            if isinstance(answer, PeerFailure) and not answer.sent:
                self._node = None
                continue
            return answer if isinstance(answer, Reply) else self._lost(request, answer)
        return None

    async def _forward_to(self, node: NodeId, request: Request, opens: bool) -> Reply | PeerFailure:
        message = to_forwarded_statement(request, self._context.now())._replace(
            transaction=self._number, opens=opens, read_only=self._read_only
        )
        return await self._context.forwarder.send(node, request, message)

    def _lost(self, request: Request, failure: PeerFailure) -> Reply:
        """Return the reply after a failure; without its COMMIT the transaction is rolled back."""
        self._send_abandoned()
        is_commit = request.statement.action is Action.COMMIT
        if is_commit and failure.sent and self._wrote:
            return Reply(refusal=Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, failure.detail))
        refusal = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, failure.detail)
        return Reply(refusal=refusal, state=TransactionState.FAILED)
