"""Forwarding of callers' statements to the nodes that serve their group."""

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
"""A node replies by the statement's deadline; its reply may take this much longer (seconds)."""
PEER_SILENCE_TIMEOUT = 0.4
"""A node that sent nothing for this long, not even a reply to a probe, is given up (seconds)."""
AVOIDED_SECONDS = 1.0
"""How long a node that gave no answer is skipped."""
_NUMBER_BITS = 48
"""Size of the random first statement number: a restarted node must not repeat numbers of its
previous incarnation."""


class Peers(GrantMessages, Protocol):
    """Sends messages to other nodes."""

    async def request(
        self, node: NodeId, message: ForwardedStatement, timeout: float, silence: float
    ) -> ForwardedReply | PeerFailure:
        """Return the node's answer, or what is known of its failure."""

    async def request_admission(
        self, node: NodeId, message: AdmissionRequest, timeout: float
    ) -> Admission | PeerFailure:
        """Return the answer of the node that counts a tenant, or what is known of its failure."""

    def post(
        self, node: NodeId, message: TransactionAbandoned | StatementWithdrawn | AdmissionReturned
    ) -> None:
        """Send a message without a reply or a delivery guarantee."""


class Forwarder:
    """Sends statements to the nodes that run them, in order of preference."""

    def __init__(self, context: GatewayContext, peers: Peers) -> None:
        self.peers = peers
        self._context = context
        self._avoided_until: dict[NodeId, float] = {}
        self._numbers = itertools.count(secrets.randbits(_NUMBER_BITS) + 1)

    def candidates(self, group: GroupId, tenant: TenantId, at_leader: bool) -> Iterator[NodeId]:
        """Yield the nodes to try, without those that gave no answer a moment ago.

        Stops at this node, which runs the statement itself when its turn comes.
        """
        own = self._context.owners.location.node
        for node in self._context.runners(group, tenant, at_leader):
            if node == own:
                return
            if not self.is_avoided(node):
                yield node

    def is_avoided(self, node: NodeId) -> bool:
        """Return whether a node gave no answer a moment ago."""
        return self._avoided_until.get(node, 0.0) > self._context.now()

    def avoid(self, node: NodeId, seconds: float) -> None:
        """Skip a node that gave no answer for `seconds`."""
        self._avoided_until[node] = self._context.now() + seconds

    async def execute(self, request: Request, at_leader: bool) -> Reply | None:
        """Return the reply, or None if no node has run it and there is time to run it here."""
        self._context.load.record_first_attempt(request)
        for node in self.candidates(request.route.group, request.tenant, at_leader):
            answer = await self.send(
                node, request, to_forwarded_statement(request, self._context.now())
            )
            if isinstance(answer, Reply):
                return answer
            if answer.sent and request.writes:
                return _in_doubt(answer)
            if self._context.now() >= request.hold_until:
                return request.give_up(Reason.UNREACHABLE)
            if answer.sent and not self._context.load.may_try_again(request):
                return request.give_up(Reason.UNREACHABLE)
        return None

    async def forward_to_leader(self, request: Request) -> Reply | None:
        """Run a statement near the leader, through the node that serves its region.

        Returns None if this node has to run it.
        """
        if not self._may_forward_on(request):
            return None
        return await self._forward_on(request, self._context.leader_region(request.route.group))

    async def forward_to_zone(self, request: Request, zone: ZoneId) -> Reply | None:
        """Run a statement near a database in `zone`, through the node that serves its region.

        Returns None if this node has to run it.
        """
        if not self._may_forward_on(request):
            return None
        return await self._forward_on(request, self._context.owners.region_of(zone))

    def _may_forward_on(self, request: Request) -> bool:
        """Return whether statements run near databases and this one was not forwarded on before."""
        return self._context.runs_near_databases and not request.session.forwarded_on

    async def _forward_on(self, request: Request, region: str | None) -> Reply | None:
        if region is None:
            return None
        node = self._context.serving_node_in(region, request.route.group, request.tenant)
        if node is None or self.is_avoided(node):
            return None
        if not await may_attempt(self._context, request):
            return None
        request.account.charge()
        message = to_forwarded_statement(request, self._context.now())._replace(forwarded_on=True)
        answer = await self.send(node, request, message)
        if isinstance(answer, Reply):
            return answer
        if answer.sent and request.writes:
            return _in_doubt(answer)
        return None

    async def send(
        self, node: NodeId, request: Request, message: ForwardedStatement
    ) -> Reply | PeerFailure:
        """Send a statement to one node. A failure with `sent` False means that nothing was done."""
        timeout = message.time_left + ANSWER_MARGIN
        message = message._replace(number=next(self._numbers))
        was_passed_on = request.passed_on
        request.passed_on = True
        try:
            answer = await self.peers.request(node, message, timeout, PEER_SILENCE_TIMEOUT)
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
        if not failure.sent:
            request.passed_on = was_passed_on
        if message.forwarded_on and not failure.sent:
            request.account.record_not_run()
        if not (failure.is_timeout and self._context.overload.enabled):
            # A node that is late but responsive has a long queue. Bypassing it would overload the
            # database that it queues for.
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
        """Notify a node that no caller waits for its reply."""
        if self._context.load.enabled:
            self.peers.post(node, StatementWithdrawn(message.number))


def _in_doubt(failure: PeerFailure) -> Reply:
    return Reply(refusal=Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, failure.detail))


def to_forwarded_statement(request: Request, now: float) -> ForwardedStatement:
    """Return the message that requests a single statement."""
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
