"""Whether an operation may begin by its tenant's limit, which holds over all nodes together.

Each attempt that a database may run is paid for by a count; what is left in the end is given back.

The node that runs the operation asks the one where the tenant is counted. Where that one gives no
answer, those that run the tenant's operations count for themselves, each a part of the limit.
"""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, NamedTuple

from bramblebeam.core.gateway.messages import AdmissionRequest, AdmissionReturned
from bramblebeam.core.gateway.quota import ADMITTED, Admission
from bramblebeam.core.identity import NodeId
from bramblebeam.core.quota.account import Count
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ADMISSION_UNANSWERED, FURTHER_ATTEMPT_REFUSED
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.tenant_records import Part

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
_MILLISECONDS = 1_000


class _Answer(NamedTuple):
    """What the node says that counted an operation, or refused it."""

    node: NodeId
    admission: Admission


async def admit(context: GatewayContext, request: Request) -> Refusal | None:
    """Count the operation that a statement begins; return why it may not begin."""
    tenant = request.tenant
    if context.limit_of(tenant) is None:
        return None
    answer = await _ask(context, tenant)
    if answer.admission.admitted:
        request.account.add(Count(tenant, answer.node))
        return None
    context.metrics.tenants.met_limit(tenant, context.now())
    if answer.admission.wait is None:
        return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "the tenant's limit is zero")
    come_back = answer.admission.wait + random.uniform(0.0, RETURN_SPREAD_SECONDS)
    retry_after_ms = max(1, round(come_back * _MILLISECONDS))
    return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "", retry_after_ms)


async def may_attempt(context: GatewayContext, request: Request) -> bool:
    """Return whether an attempt at a database is paid for, taking a further count if need be.

    Where there is none, the statement is not tried again.
    """
    tenant = request.tenant
    if request.account.has_free or context.limit_of(tenant) is None:
        return True
    answer = await _ask(context, tenant)
    if answer.admission.admitted:
        request.account.add(Count(tenant, answer.node))
        return True
    request.may_not_repeat = True
    log_event(logger, FURTHER_ATTEMPT_REFUSED, request=request.identifier, tenant=tenant)
    return False


def settle(context: GatewayContext, request: Request) -> None:
    """Give back the counts of an operation by which nothing can have run."""
    for count in request.account.take_free():
        if count.node == context.owners.place.node:
            give_back_here(context, count.tenant)
        elif count.node is not None:
            context.forwarder.peers.tell(count.node, AdmissionReturned(count.tenant))


def count_here(context: GatewayContext, tenant: TenantId) -> Admission:
    """Count one operation at this node.

    A tenant that this node has not heard of yet is not counted: the asker's configuration is newer,
    for seconds at most.
    """
    records = context.metrics.tenants
    limit = context.limit_of(tenant)
    if limit is None:
        records.uncounted(tenant, "its limit is not known here")
        return ADMITTED
    if not context.quotas.counts(tenant):
        records.began(tenant)
    now = context.now()
    admission = context.quotas.admit(tenant, limit, context.standing(tenant), now)
    records.note(tenant, Part.COUNTED if admission.admitted else Part.REFUSED)
    if not admission.admitted:
        records.met_limit(tenant, now)
    return admission


def give_back_here(context: GatewayContext, tenant: TenantId) -> None:
    """Count an operation as never begun, as no database has run any of it."""
    context.metrics.tenants.note(tenant, Part.RETURNED)
    context.quotas.give_back(tenant)


async def _ask(context: GatewayContext, tenant: TenantId) -> _Answer:
    """Ask the tenant's own node; count here where that one is silent."""
    own = context.owners.place.node
    home = own if context.is_home(tenant) else context.homes(tenant)[0]
    if home == own or context.forwarder.is_avoided(home):
        return _Answer(own, count_here(context, tenant))
    answer = await context.forwarder.peers.ask_admission(
        home, AdmissionRequest(tenant), ANSWER_SECONDS
    )
    if isinstance(answer, Admission):
        return _Answer(home, answer)
    log_event(logger, ADMISSION_UNANSWERED, tenant=tenant, node=home, error=answer.detail)
    context.forwarder.avoid(home, AVOIDED_SECONDS)
    return _Answer(own, count_here(context, tenant))
