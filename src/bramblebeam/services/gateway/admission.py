"""Whether an operation may begin by its tenant's limit. It is asked where the tenant is counted."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.request import Request

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

RETURN_SPREAD_SECONDS = 1.0
"""What is refused may come back once there is room, spread over so long: the callers of one tenant
are refused together, and would all return together."""
_MILLISECONDS = 1_000


def admit(context: GatewayContext, request: Request) -> Refusal | None:
    """Count the operation that a statement begins; return why it may not begin.

    A tenant that this node has not heard of yet is not counted: the sender's configuration is
    newer, for seconds at most.
    """
    tenants = context.table.tenants
    limit = None if tenants is None else tenants.limit(request.tenant)
    if limit is None:
        return None
    share = context.quota_share(request.tenant)
    admission = context.quotas.admit(request.tenant, limit, share, context.now())
    if admission.admitted:
        return None
    if admission.wait is None:
        return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "the tenant's limit is zero")
    come_back = admission.wait + random.uniform(0.0, RETURN_SPREAD_SECONDS)
    retry_after_ms = max(1, round(come_back * _MILLISECONDS))
    return Refusal(Verdict.NOT_RUN, Reason.OVER_LIMIT, "", retry_after_ms)


def settle(context: GatewayContext, request: Request, refusal: Refusal | None) -> None:
    """Give back the count of an operation that has surely not run."""
    if refusal is not None and refusal.verdict is Verdict.NOT_RUN:
        context.quotas.give_back(request.tenant)
