"""Runs statements that other nodes forward, for groups that this node serves."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.messages import (
    NO_NUMBER,
    NO_TRANSACTION,
    ForwardedReply,
    ForwardedStatement,
)
from bramblebeam.core.gateway.replies import TRANSACTION_FAILED, Reply, TransactionState
from bramblebeam.core.gateway.state import SessionState
from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.identity import ZERO_POSITION, GroupId, NodeId, Position
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import FORWARDED_STATEMENT_INVALID, STATEMENT_WITHDRAWN
from bramblebeam.services.gateway.execution import execute_here
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.running import RunningStatement, RunningStatements, Stage
from bramblebeam.services.gateway.transaction import Transaction

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)

DECLINED = ForwardedReply(Reply(), declined=True)
TRANSACTION_ENDED = Refusal(
    Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "the node that ran it is stopping"
)
TIME_TOLERANCE = 0.01
"""By how much a statement's remaining time may exceed its timeout, due to the sender's clock
(seconds)."""
DROP_SECONDS = 2.0
"""Time beyond the idle limit after which a transaction that its caller's node never closed is
dropped."""


def is_valid(message: ForwardedStatement) -> bool:
    """Whether a statement's numbers are valid: with a NaN as its time it would never end."""
    is_timed = 0 <= message.time_left <= message.route.timeout + TIME_TOLERANCE
    return is_timed and min(message.observed_position) >= 0


class HostedSession:
    """The part of a session's state that its forwarded statements carry."""

    forwarded = True
    retry_at: float | None = None
    """Tracked by the node that received the statement from its caller, not here."""

    def __init__(self, tenant: TenantId, forwarded_on: bool) -> None:
        self.tenant = tenant
        self.forwarded_on = forwarded_on
        self.state = SessionState()
        self.observed: dict[GroupId, Position] = {}

    def apply(self, message: ForwardedStatement) -> None:
        """Apply the session state that a statement carries."""
        self.state.values = message.values
        group = message.route.group
        known = self.observed.get(group, ZERO_POSITION)
        self.observed[group] = max(known, message.observed_position)


class HostedTransaction:
    """A transaction of another node's caller. `used_at`: monotonic clock, seconds."""

    def __init__(self, session: HostedSession, transaction: Transaction, used_at: float) -> None:
        self.session = session
        self.transaction = transaction
        self.used_at = used_at


class HostedStatement(RunningStatement):
    """A forwarded statement in progress."""

    @property
    def is_begun(self) -> bool:
        """Whether it was sent to a database."""
        return self.stage is Stage.AT_DATABASE

    def withdraw(self) -> None:
        """Cancel it, unless it was sent to a database: then it ends there and is not retried."""
        if self.request is not None:
            self.request.withdrawn = True
        if not self.is_begun:
            self.end(Reason.DEADLINE)


class StatementHost:
    """Runs forwarded statements."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._transactions: dict[tuple[NodeId, int], HostedTransaction] = {}
        self._statements: dict[tuple[NodeId, int], HostedStatement] = {}
        self.running = RunningStatements()

    @property
    def declines(self) -> bool:
        """Whether single statements and new transactions are declined, as the node stops."""
        return self._context.stop.has_begun

    @property
    def in_flight(self) -> int:
        """Number of statements in progress."""
        return len(self.running)

    @property
    def busy(self) -> bool:
        """Whether a statement is running or a transaction is open."""
        return bool(self._transactions) or self.in_flight > 0

    async def serve(self, sender: NodeId, message: ForwardedStatement) -> ForwardedReply:
        """Run one statement to its final answer."""
        if not is_valid(message):
            log_event(
                logger,
                FORWARDED_STATEMENT_INVALID,
                node=sender,
                request=message.identifier,
                observed=str(message.observed_position),
                time_left=message.time_left,
            )
            return DECLINED
        begins = message.transaction == NO_TRANSACTION or message.opens
        if begins and not self._can_serve(message):
            return DECLINED
        hosted = self._register(sender, message)
        try:
            with self.running.track(hosted):
                reply = await self._run(sender, message, hosted)
            loads = self._context.placement.loads(message.route.group)
            return ForwardedReply(reply, loads=loads, surely_not_run=hosted.reached_no_database)
        except asyncio.CancelledError:
            if hosted.ended_for is None:
                raise
            return self._end(sender, message, hosted)
        finally:
            self._unregister(sender, message, hosted)

    async def _run(
        self, sender: NodeId, message: ForwardedStatement, hosted: HostedStatement
    ) -> Reply:
        if message.transaction == NO_TRANSACTION:
            return await self._run_single(message, hosted)
        if not message.opens and not self._may_continue(message):
            return self._end_transaction(sender, message)
        return await self._run_in_transaction(sender, message, hosted)

    def _may_continue(self, message: ForwardedStatement) -> bool:
        """Return whether a statement of an open transaction may begin, as the node may be stopping.

        Its ROLLBACK is a message of another kind.
        """
        action, now = message.statement.action, self._context.now()
        return self._context.stop.may_begin(action, True, message.time_left, now)

    def _end(
        self, sender: NodeId, message: ForwardedStatement, hosted: HostedStatement
    ) -> ForwardedReply:
        """Return the reply to a statement that was withdrawn, or ended by the stop of the node."""
        refusal = hosted.refusal()
        if refusal.reason is not Reason.STOPPING or not refusal.may_retry:
            return ForwardedReply(Reply(refusal=refusal))
        if message.transaction == NO_TRANSACTION:
            return DECLINED
        return ForwardedReply(self._end_transaction(sender, message))

    def _end_transaction(self, sender: NodeId, message: ForwardedStatement) -> Reply:
        """Roll a transaction back, as the node stops."""
        hosted = self._transactions.pop((sender, message.transaction), None)
        if hosted is not None:
            hosted.transaction.abandon(TRANSACTION_ENDED.detail)
        return Reply(refusal=TRANSACTION_ENDED, state=TransactionState.FAILED)

    def withdraw(self, sender: NodeId, number: int) -> None:
        """Withdraw a statement that no caller waits for any more."""
        hosted = self._statements.get((sender, number))
        if hosted is None:
            return
        begun = hosted.is_begun
        hosted.withdraw()
        self._context.metrics.withdrawn(begun)
        request = None if hosted.request is None else hosted.request.identifier
        log_event(logger, STATEMENT_WITHDRAWN, request=request, node=sender, begun=begun)

    def _register(self, sender: NodeId, message: ForwardedStatement) -> HostedStatement:
        hosted = HostedStatement(message.identifier, message.statement.action, self._context.now())
        if message.number != NO_NUMBER:
            self._statements[sender, message.number] = hosted
        return hosted

    def _unregister(
        self, sender: NodeId, message: ForwardedStatement, hosted: HostedStatement
    ) -> None:
        """Drop a statement that has ended, unless a duplicate with its number replaced it."""
        key = (sender, message.number)
        if self._statements.get(key) is hosted:
            del self._statements[key]

    def abandon(self, sender: NodeId, transaction: int) -> None:
        """Roll back a transaction that its caller has ended or whose caller has disconnected."""
        hosted = self._transactions.pop((sender, transaction), None)
        if hosted is not None:
            hosted.transaction.abandon("the caller's node ended it")

    def end_idle(self, now: float) -> None:
        """Roll back transactions that are idle for too long; drop ended ones after a while."""
        idle = self._context.table.transaction_idle
        for key, hosted in list(self._transactions.items()):
            hosted.transaction.end_if_idle(now)
            if now - hosted.used_at > idle + DROP_SECONDS:
                self._transactions.pop(key).transaction.abandon("it is no longer used")

    def _can_serve(self, message: ForwardedStatement) -> bool:
        knows = bool(self._context.placement.members(message.route.group))
        return knows and not self.declines and self._context.knows_tenant(message.tenant)

    async def _run_single(self, message: ForwardedStatement, statement: HostedStatement) -> Reply:
        session = HostedSession(message.tenant, message.forwarded_on)
        session.apply(message)
        statement.request = self._request(session, message)
        return await execute_here(self._context, statement.request)

    async def _run_in_transaction(
        self, sender: NodeId, message: ForwardedStatement, statement: HostedStatement
    ) -> Reply:
        key = (sender, message.transaction)
        now = self._context.now()
        if message.opens:
            session = HostedSession(message.tenant, message.forwarded_on)
            session.apply(message)
            transaction = Transaction(self._context, session, message.route, message.read_only)
            self._transactions[key] = HostedTransaction(session, transaction, now)
        hosted = self._transactions.get(key)
        if hosted is None:
            lost = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "it has already ended")
            return Reply(refusal=lost, state=TransactionState.FAILED)
        hosted.session.apply(message)
        # In use until its reply is sent: a transaction in a long statement is not idle.
        hosted.used_at = now + message.time_left
        try:
            statement.request = self._request(hosted.session, message)
            return await self._run_statement(key, hosted.transaction, statement.request)
        finally:
            hosted.used_at = self._context.now()

    async def _run_statement(
        self, key: tuple[NodeId, int], transaction: Transaction, request: Request
    ) -> Reply:
        if request.statement.action is Action.COMMIT:
            self._transactions.pop(key, None)
            return await transaction.commit(request)
        if transaction.state is TransactionState.FAILED:
            return TRANSACTION_FAILED
        return await transaction.run(request)

    def _request(self, session: HostedSession, message: ForwardedStatement) -> Request:
        arrived = self._context.now() + message.time_left - message.route.timeout
        return Request(
            session,
            message.route,
            message.identifier,
            message.statement,
            message.prepared,
            arrived,
            self._context.metrics,
        )
