"""Whether an operation may begin by its tenant's limit, which holds over all nodes together.

The node that runs the operation asks the one that counts the tenant. Each attempt that a database
may run is paid for by a count; what is left in the end is given back to where it was taken.
"""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, NamedTuple

from bramblebeam.core.identity import NodeId
from bramblebeam.core.quota.account import Count
from bramblebeam.core.quota.messages import Admission, AdmissionRequest, AdmissionReturned
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ADMISSION_UNANSWERED, FURTHER_ATTEMPT_REFUSED
from bramblebeam.services.gateway.request import Request

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)

RETURN_SPREAD_SECONDS = 1.0
"""What is refused may come back once there is room, spread over so long: the callers of one tenant
are refused together, and would all return together."""
ANSWER_SECONDS = 0.25
"""The question crosses two regions at most, 40 ms there and back; what takes longer (seconds) waits
for a node that is lost or cut off."""
AVOIDED_SECONDS = 0.5
"""A node that gave no answer is not asked for so long, as each operation would wait for it."""
COUNTING_PATIENCE = 0.25
"""A planned move of the counting to another node is mostly over sooner; after a loss it takes
longer, and callers are better told to come back (seconds)."""
COUNTING_PAUSE = 0.1
"""Before nodes are asked again of which none counts the tenant (seconds)."""
NOBODY_COUNTS = "no node counts its tenant at the moment"
SURE_SHARE = 0.5
"""No other node can count by more than one that holds so much of a limit."""
_MILLISECONDS = 1_000


class _Answer(NamedTuple):
    """What a node says that counts the tenant."""

    node: NodeId
    admission: Admission


async def admit(context: GatewayContext, request: Request) -> Refusal | None:
    """Count the operation that a statement begins; return why it may not begin."""
    tenant = request.tenant
    if not context.may_have_limit(tenant):
        return None
    patience_ends = min(context.now() + COUNTING_PATIENCE, request.hold_until)
    while True:
        answer = await _ask(context, tenant)
        if answer is not None or context.now() >= patience_ends:
            break
        await asyncio.sleep(COUNTING_PAUSE)
    if answer is not None and answer.admission.admitted:
        request.account.add(Count(tenant, answer.node, answer.admission.receipt))
        return None
    context.metrics.tenants.record_limit_reached(tenant, context.now())
    return _refusal(answer)


def _refusal(answer: _Answer | None) -> Refusal:
    if answer is None:
        come_back = random.uniform(0.0, RETURN_SPREAD_SECONDS)
        retry_after_ms = round((COUNTING_PATIENCE + come_back) * _MILLISECONDS)
        return Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, NOBODY_COUNTS, retry_after_ms)
    wait = answer.admission.wait
    if wait is None:
        return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "the tenant's limit is zero")
    come_back = wait + random.uniform(0.0, RETURN_SPREAD_SECONDS)
    retry_after_ms = max(1, round(come_back * _MILLISECONDS))
    return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "", retry_after_ms)


async def may_attempt(context: GatewayContext, request: Request) -> bool:
    """Return whether an attempt at a database is paid for, taking a further count if need be.

    Where there is none, the statement is not tried again.
    """
    tenant = request.tenant
    if request.account.has_unused or not context.may_have_limit(tenant):
        return True
    answer = await _ask(context, tenant)
    if answer is not None and answer.admission.admitted:
        request.account.add(Count(tenant, answer.node, answer.admission.receipt))
        return True
    request.may_not_repeat = True
    log_event(logger, FURTHER_ATTEMPT_REFUSED, request=request.identifier, tenant=tenant)
    return False


def settle(context: GatewayContext, request: Request) -> None:
    """Give back the counts of an operation by which nothing can have run."""
    for count in request.account.take_unused():
        returned = AdmissionReturned(count.tenant, count.receipt)
        if count.node == context.owners.location.node:
            context.limits.refund(returned)
        elif count.node is not None:
            context.forwarder.peers.tell(count.node, returned)


def count_here(context: GatewayContext, tenant: TenantId) -> Admission:
    """Count one operation at this node, if it counts the tenant."""
    return context.limits.count(_question(context, tenant))


def _question(context: GatewayContext, tenant: TenantId) -> AdmissionRequest:
    return AdmissionRequest(tenant, context.limit_of(tenant), context.table.version)


async def _ask(context: GatewayContext, tenant: TenantId) -> _Answer | None:
    """Ask the nodes that may count a tenant until one admits the operation, or surely counts it.

    None: no node that answers counts it.
    """
    best: _Answer | None = None
    for node in context.homes(tenant):
        admission = await _ask_node(context, tenant, node)
        if admission is None:
            continue
        if admission.admitted or admission.wait is None or admission.share >= SURE_SHARE:
            return _Answer(node, admission)
        if admission.share > (0.0 if best is None else best.admission.share):
            best = _Answer(node, admission)
    return best


async def _ask_node(context: GatewayContext, tenant: TenantId, node: NodeId) -> Admission | None:
    """Return what one node says; None: it gave no answer, now or a moment ago."""
    if node == context.owners.location.node:
        return count_here(context, tenant)
    if context.forwarder.is_avoided(node):
        return None
    answer = await context.forwarder.peers.ask_admission(
        node, _question(context, tenant), ANSWER_SECONDS
    )
    if isinstance(answer, Admission):
        return answer
    log_event(logger, ADMISSION_UNANSWERED, tenant=tenant, node=node, error=answer.detail)
    context.forwarder.avoid(node, AVOIDED_SECONDS)
    return None
