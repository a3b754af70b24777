"""Whether an operation may begin by its tenant's limit, which holds over all nodes together.

The node that runs the operation asks the one where the tenant is counted. Where that one gives no
answer, those that run the tenant's operations count for themselves, each a part of the limit.
"""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.messages import AdmissionRequest, AdmissionReturned
from bramblebeam.core.gateway.quota import ADMITTED, Admission
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ADMISSION_UNANSWERED
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


async def admit(context: GatewayContext, request: Request) -> Refusal | None:
    """Count the operation that a statement begins; return why it may not begin."""
    tenant = request.tenant
    if context.limit_of(tenant) is None:
        return None
    is_home = context.is_home(tenant)
    admission = count_here(context, tenant) if is_home else await _ask(context, tenant)
    if admission.admitted:
        return None
    context.metrics.tenants.met_limit(tenant, context.now())
    if admission.wait is None:
        return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "the tenant's limit is zero")
    come_back = admission.wait + random.uniform(0.0, RETURN_SPREAD_SECONDS)
    retry_after_ms = max(1, round(come_back * _MILLISECONDS))
    return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "", retry_after_ms)


def settle(context: GatewayContext, request: Request, refusal: Refusal | None) -> None:
    """Give back the count of an operation that has surely not run."""
    tenant = request.tenant
    if refusal is None or refusal.verdict is not Verdict.NOT_RUN:
        return
    if context.limit_of(tenant) is None:
        return
    if context.is_home(tenant):
        give_back_here(context, tenant)
    else:
        context.forwarder.peers.tell(context.homes(tenant)[0], AdmissionReturned(tenant))


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


async def _ask(context: GatewayContext, tenant: TenantId) -> Admission:
    """Ask the tenant's own node; count here where that one is silent."""
    home = context.homes(tenant)[0]
    if context.forwarder.is_avoided(home):
        return count_here(context, tenant)
    answer = await context.forwarder.peers.ask_admission(
        home, AdmissionRequest(tenant), ANSWER_SECONDS
    )
    if isinstance(answer, Admission):
        return answer
    log_event(logger, ADMISSION_UNANSWERED, tenant=tenant, node=home, error=answer.detail)
    context.forwarder.avoid(home, AVOIDED_SECONDS)
    return count_here(context, tenant)
