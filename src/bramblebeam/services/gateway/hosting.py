"""Statements of other nodes' callers, which this node runs as it serves their groups."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.messages import (
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
from bramblebeam.events.catalogue import FORWARDED_STATEMENT_UNSOUND
from bramblebeam.services.gateway.execution import execute_here
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.transaction import Transaction

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)

DECLINED = ForwardedReply(Reply(), declined=True)
ROUNDING = 0.01
"""A sender's clock may tell by so much more than a statement's whole time (seconds)."""
FORGOTTEN_SECONDS = 2.0
"""An ended transaction that its caller's node never closed is forgotten so much later."""


def is_sound(message: ForwardedStatement) -> bool:
    """Whether the numbers of a statement can be reckoned with: a time that is none never ends."""
    is_timed = 0 <= message.time_left <= message.route.timeout + ROUNDING
    return is_timed and min(message.observed_position) >= 0


class HostedSession:
    """What a forwarded statement tells of its session."""

    forwarded = True

    def __init__(self, tenant: TenantId, forwarded_on: bool) -> None:
        self.tenant = tenant
        self.forwarded_on = forwarded_on
        self.state = SessionState()
        self.observed: dict[GroupId, Position] = {}

    def take(self, message: ForwardedStatement) -> None:
        """Take what the statement tells."""
        self.state.values = message.values
        group = message.route.group
        known = self.observed.get(group, ZERO_POSITION)
        self.observed[group] = max(known, message.observed_position)


class HostedTransaction:
    """A transaction of another node's caller. `used_at`: steady clock, seconds."""

    def __init__(self, session: HostedSession, transaction: Transaction, used_at: float) -> None:
        self.session = session
        self.transaction = transaction
        self.used_at = used_at


class StatementHost:
    """Runs forwarded statements."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._transactions: dict[tuple[NodeId, int], HostedTransaction] = {}
        self._in_flight = 0
        self.declines = False

    @property
    def busy(self) -> bool:
        """Whether a statement runs or a transaction is open."""
        return bool(self._transactions) or self._in_flight > 0

    async def serve(self, sender: NodeId, message: ForwardedStatement) -> ForwardedReply:
        """Run one statement to its final answer."""
        if not is_sound(message):
            log_event(
                logger,
                FORWARDED_STATEMENT_UNSOUND,
                node=sender,
                request=message.identifier,
                observed=str(message.observed_position),
                time_left=message.time_left,
            )
            return DECLINED
        begins = message.transaction == NO_TRANSACTION or message.opens
        if begins and not self._can_serve(message):
            return DECLINED
        self._in_flight += 1
        try:
            if message.transaction == NO_TRANSACTION:
                reply = await self._alone(message)
            else:
                reply = await self._in_transaction(sender, message)
            loads = self._context.placement.loads(message.route.group)
            return ForwardedReply(reply, loads=loads)
        finally:
            self._in_flight -= 1

    def abandon(self, sender: NodeId, transaction: int) -> None:
        """Roll back a transaction whose caller has ended it or is gone."""
        hosted = self._transactions.pop((sender, transaction), None)
        if hosted is not None:
            hosted.transaction.abandon("the caller's node ended it")

    def end_idle(self, now: float) -> None:
        """Roll back transactions that rest for longer than allowed; forget those that ended."""
        idle = self._context.table.transaction_idle
        for key, hosted in list(self._transactions.items()):
            hosted.transaction.end_if_idle(now)
            if now - hosted.used_at > idle + FORGOTTEN_SECONDS:
                self._transactions.pop(key).transaction.abandon("nobody uses it any more")

    def _can_serve(self, message: ForwardedStatement) -> bool:
        knows = bool(self._context.placement.members(message.route.group))
        return knows and not self.declines

    async def _alone(self, message: ForwardedStatement) -> Reply:
        session = HostedSession(message.tenant, message.forwarded_on)
        session.take(message)
        return await execute_here(self._context, self._request(session, message))

    async def _in_transaction(self, sender: NodeId, message: ForwardedStatement) -> Reply:
        key = (sender, message.transaction)
        now = self._context.now()
        if message.opens:
            session = HostedSession(message.tenant, message.forwarded_on)
            session.take(message)
            transaction = Transaction(self._context, session, message.route, message.read_only)
            self._transactions[key] = HostedTransaction(session, transaction, now)
        hosted = self._transactions.get(key)
        if hosted is None:
            lost = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "it has ended already")
            return Reply(refusal=lost, state=TransactionState.FAILED)
        hosted.session.take(message)
        # In use until the answer is given: a long statement is no rest.
        hosted.used_at = now + message.time_left
        try:
            return await self._run(key, hosted.transaction, message)
        finally:
            hosted.used_at = self._context.now()

    async def _run(
        self, key: tuple[NodeId, int], transaction: Transaction, message: ForwardedStatement
    ) -> Reply:
        request = self._request(self._transactions[key].session, message)
        if message.statement.action is Action.COMMIT:
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
