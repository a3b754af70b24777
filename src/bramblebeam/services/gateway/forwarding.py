"""Statements of this node's callers that other nodes run, as those serve the group."""

from __future__ import annotations

import asyncio
import itertools
import logging
import secrets
from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from bramblebeam.core.gateway.messages import (
    JUST_OBSERVED,
    ForwardedReply,
    ForwardedStatement,
    StatementWithdrawn,
    TransactionAbandoned,
)
from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.identity import GroupId, NodeId, ZoneId
from bramblebeam.core.quota.messages import Admission, AdmissionRequest, AdmissionReturned
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import REQUEST_FORWARD_FAILED
from bramblebeam.services.gateway.admission import may_attempt
from bramblebeam.services.gateway.limits import GrantMessages
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.transport.messages import PeerFailure

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)

ANSWER_MARGIN = 0.1
"""The node that runs a statement answers at its deadline; so long its answer may travel (s)."""
SILENCE = 0.4
"""A node from which nothing came for so long, not even to a probe, is given up (seconds)."""
AVOIDED_SECONDS = 1.0
"""A node that gave no answer is asked again after so long."""
_NUMBER_BITS = 48
"""Of the first number of a statement: a node that starts again repeats none of its former life."""


class Peers(GrantMessages, Protocol):
    """Carries messages to other nodes."""

    async def ask(
        self, node: NodeId, message: ForwardedStatement, timeout: float, silence: float
    ) -> ForwardedReply | PeerFailure:
        """Return the node's answer, or what is known of its failure."""

    async def ask_admission(
        self, node: NodeId, message: AdmissionRequest, timeout: float
    ) -> Admission | PeerFailure:
        """Return the answer of the node that counts a tenant, or what is known of its failure."""

    def tell(
        self, node: NodeId, message: TransactionAbandoned | StatementWithdrawn | AdmissionReturned
    ) -> None:
        """Send without an answer and without a promise."""


class Forwarder:
    """Asks the nodes that run a statement, in the order in which they are to be turned to."""

    def __init__(self, context: GatewayContext, peers: Peers) -> None:
        self.peers = peers
        self._context = context
        self._avoided_until: dict[NodeId, float] = {}
        self._numbers = itertools.count(secrets.randbits(_NUMBER_BITS) + 1)

    def candidates(self, group: GroupId, tenant: TenantId, at_leader: bool) -> Iterator[NodeId]:
        """Yield the nodes to ask; those that gave no answer a moment ago are left out.

        Where this node is the next in turn it asks nobody.
        """
        own = self._context.owners.location.node
        for node in self._context.runners(group, tenant, at_leader):
            if node == own:
                return
            if not self.is_avoided(node):
                yield node

    def is_avoided(self, node: NodeId) -> bool:
        """Whether a node gave no answer a moment ago."""
        return self._avoided_until.get(node, 0.0) > self._context.now()

    def avoid(self, node: NodeId, seconds: float) -> None:
        """Ask a node that gave no answer again after so long only."""
        self._avoided_until[node] = self._context.now() + seconds

    async def execute(self, request: Request, at_leader: bool) -> Reply | None:
        """Return the answer, or None where no node has run it and there is time to run it here."""
        self._context.load.record_first_attempt(request)
        for node in self.candidates(request.route.group, request.tenant, at_leader):
            answer = await self.ask(node, request, statement_of(request, self._context.now()))
            if isinstance(answer, Reply):
                return answer
            if answer.sent and request.writes:
                return _in_doubt(answer)
            if self._context.now() >= request.hold_until:
                return request.give_up(Reason.UNREACHABLE)
            if answer.sent and not self._context.load.may_try_again(request):
                return request.give_up(Reason.UNREACHABLE)
        return None

    async def pass_to_leader(self, request: Request) -> Reply | None:
        """Have a statement run near the leader, by the node that serves its region.

        None: this node runs it.
        """
        if not self._may_pass_on(request):
            return None
        return await self._pass_on(request, self._context.leader_region(request.route.group))

    async def pass_to_zone(self, request: Request, zone: ZoneId) -> Reply | None:
        """Have a statement run near a database in `zone`, by the node that serves its region.

        None: this node runs it.
        """
        if not self._may_pass_on(request):
            return None
        return await self._pass_on(request, self._context.owners.region_of(zone))

    def _may_pass_on(self, request: Request) -> bool:
        """Whether statements meet at databases; what was passed on once is not passed on again."""
        return self._context.meets_at_databases and not request.session.forwarded_on

    async def _pass_on(self, request: Request, region: str | None) -> Reply | None:
        if region is None:
            return None
        node = self._context.server_in(region, request.route.group, request.tenant)
        if node is None or self.is_avoided(node):
            return None
        if not await may_attempt(self._context, request):
            return None
        request.account.charge()
        message = statement_of(request, self._context.now())._replace(forwarded_on=True)
        answer = await self.ask(node, request, message)
        if isinstance(answer, Reply):
            return answer
        if answer.sent and request.writes:
            return _in_doubt(answer)
        return None

    async def ask(
        self, node: NodeId, request: Request, message: ForwardedStatement
    ) -> Reply | PeerFailure:
        """Ask one node. A failure with `sent` False: nothing was done."""
        timeout = message.time_left + ANSWER_MARGIN
        message = message._replace(number=next(self._numbers))
        request.passed_on = True
        try:
            answer = await self.peers.ask(node, message, timeout, SILENCE)
        except asyncio.CancelledError:
            self._withdraw(node, message)
            raise
        if isinstance(answer, PeerFailure) and answer.sent:
            self._withdraw(node, message)
        if isinstance(answer, ForwardedReply) and not answer.declined:
            self._context.placement.handle_reported_loads(answer.loads)
            if message.forwarded_on and answer.surely_not_run:
                request.account.record_not_run()
            return answer.reply
        failure = answer if isinstance(answer, PeerFailure) else PeerFailure(False, "declined")
        if message.forwarded_on and not failure.sent:
            request.account.record_not_run()
        if not (failure.is_late and self._context.overload.enabled):
            # One that is late, but is heard of, has a long queue: those who pass it by would
            # overfill the database that it queues for.
            self.avoid(node, AVOIDED_SECONDS)
        log_event(
            logger,
            REQUEST_FORWARD_FAILED,
            request=request.identifier,
            node=node,
            group=request.route.group,
            sent=failure.sent,
            error=failure.detail,
            waited_ms=round((self._context.now() - request.arrived) * 1000),
        )
        return failure

    def _withdraw(self, node: NodeId, message: ForwardedStatement) -> None:
        """Tell a node that nobody waits for its answer."""
        if self._context.load.enabled:
            self.peers.tell(node, StatementWithdrawn(message.number))


def _in_doubt(failure: PeerFailure) -> Reply:
    return Reply(refusal=Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, failure.detail))


def statement_of(request: Request, now: float) -> ForwardedStatement:
    """Return the message that asks for a single statement."""
    return ForwardedStatement(
        request.route,
        request.identifier,
        request.statement,
        request.prepared,
        request.session.state.values,
        request.observed,
        JUST_OBSERVED,
        max(0.0, request.deadline - now),
        tenant=request.tenant,
    )
