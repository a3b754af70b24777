"""Admission of operations by their tenant's rate limit, which is enforced over all nodes.

The node that runs an operation queries the node that counts the tenant. Each attempt that a
database may run is covered by a count; unused counts are refunded to the node that granted them.
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
"""Random spread of the advised retry time: the callers of one tenant are refused together, and
would otherwise retry together."""
ANSWER_SECONDS = 0.25
"""Timeout of an admission request. The round trip crosses two regions at most, 40 ms in all; an
answer that takes longer than this is waiting for a lost or disconnected node."""
AVOIDED_SECONDS = 0.5
"""How long a node that gave no answer is skipped, as each operation would wait for it."""
COUNTING_TIMEOUT = 0.25
"""How long to wait for a node that counts the tenant (seconds). A planned handover of the counting
is mostly shorter; after a loss it takes longer, and the caller should retry later."""
COUNTING_PAUSE = 0.1
"""Delay before the nodes are queried again when none of them counts the tenant (seconds)."""
NO_COUNTING_NODE = "no reachable node counts the tenant"
SURE_SHARE = 0.5
"""If a node holds at least this share of a limit, no other node can count by more."""
_MILLISECONDS = 1_000


class _Answer(NamedTuple):
    """The answer of a node that counts the tenant."""

    node: NodeId
    admission: Admission


async def admit(context: GatewayContext, request: Request) -> Refusal | None:
    """Count the operation that a statement begins; return the refusal if it may not begin."""
    tenant = request.tenant
    if not context.may_have_limit(tenant):
        return None
    give_up_at = min(context.now() + COUNTING_TIMEOUT, request.hold_until)
    while True:
        answer = await _query_nodes(context, tenant)
        if answer is not None or context.now() >= give_up_at:
            break
        await asyncio.sleep(COUNTING_PAUSE)
    if answer is not None and answer.admission.admitted:
        request.account.add(Count(tenant, answer.node, answer.admission.receipt))
        return None
    context.metrics.tenants.record_limit_reached(tenant, context.now())
    return _refusal(answer)


def _refusal(answer: _Answer | None) -> Refusal:
    if answer is None:
        retry_in = random.uniform(0.0, RETURN_SPREAD_SECONDS)
        retry_after_ms = round((COUNTING_TIMEOUT + retry_in) * _MILLISECONDS)
        return Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, NO_COUNTING_NODE, retry_after_ms)
    wait = answer.admission.wait
    if wait is None:
        return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "the tenant's limit is zero")
    retry_in = wait + random.uniform(0.0, RETURN_SPREAD_SECONDS)
    retry_after_ms = max(1, round(retry_in * _MILLISECONDS))
    return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "", retry_after_ms)


async def may_attempt(context: GatewayContext, request: Request) -> bool:
    """Return whether an attempt at a database is covered by a count, taking one if needed.

    If none is granted, the statement is not retried.
    """
    tenant = request.tenant
    if request.account.has_unused or not context.may_have_limit(tenant):
        return True
    answer = await _query_nodes(context, tenant)
    if answer is not None and answer.admission.admitted:
        request.account.add(Count(tenant, answer.node, answer.admission.receipt))
        return True
    request.may_not_repeat = True
    log_event(logger, FURTHER_ATTEMPT_REFUSED, request=request.identifier, tenant=tenant)
    return False


def refund_unused(context: GatewayContext, request: Request) -> None:
    """Refund the counts of an operation under which nothing can have run."""
    for count in request.account.take_unused():
        returned = AdmissionReturned(count.tenant, count.receipt)
        if count.node == context.owners.location.node:
            context.limits.refund(returned)
        elif count.node is not None:
            context.forwarder.peers.post(count.node, returned)


def count_here(context: GatewayContext, tenant: TenantId) -> Admission:
    """Count one operation at this node, if it counts the tenant."""
    return context.limits.count(_admission_request(context, tenant))


def _admission_request(context: GatewayContext, tenant: TenantId) -> AdmissionRequest:
    return AdmissionRequest(tenant, context.limit_of(tenant), context.table.version)


async def _query_nodes(context: GatewayContext, tenant: TenantId) -> _Answer | None:
    """Query the nodes that may count a tenant until the operation is admitted or surely refused.

    Returns None if no node that answers counts the tenant.
    """
    best: _Answer | None = None
    for node in context.homes(tenant):
        admission = await _query_node(context, tenant, node)
        if admission is None:
            continue
        if admission.admitted or admission.wait is None or admission.share >= SURE_SHARE:
            return _Answer(node, admission)
        if admission.share > (0.0 if best is None else best.admission.share):
            best = _Answer(node, admission)
    return best


async def _query_node(context: GatewayContext, tenant: TenantId, node: NodeId) -> Admission | None:
    """Return the answer of one node; None if it gave none, now or a moment ago."""
    if node == context.owners.location.node:
        return count_here(context, tenant)
    if context.forwarder.is_avoided(node):
        return None
    answer = await context.forwarder.peers.request_admission(
        node, _admission_request(context, tenant), ANSWER_SECONDS
    )
    if isinstance(answer, Admission):
        return answer
    log_event(logger, ADMISSION_UNANSWERED, tenant=tenant, node=node, error=answer.detail)
    context.forwarder.avoid(node, AVOIDED_SECONDS)
    return None
