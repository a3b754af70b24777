"""The tenants that one node counts, as shown to operators."""

from __future__ import annotations

import json
from typing import NamedTuple

from bramblebeam.core.quota.bucket import LIMIT_SECONDS
from bramblebeam.services.gateway.limits import TenantLimits


class TenantRow(NamedTuple):
    """A tenant that a node counts, or counted recently.

    `share`: share of the limit that the node counts by now. `rate`, `burst`: the limit. `counted`:
    operations of the last `seconds` that were not refunded. `allowed`: operations that the whole
    limit allows in `seconds`.
    """

    tenant: str
    share: float
    rate: float
    burst: float
    counted: int
    allowed: float
    seconds: float


def tenant_rows(limits: TenantLimits) -> list[TenantRow]:
    """Return a row for each tenant that is counted here, by descending number of operations."""
    rows = [
        TenantRow(
            found.tenant,
            round(found.share, 3),
            found.limit.rate,
            found.limit.burst,
            found.counted,
            found.limit.rate * LIMIT_SECONDS + found.limit.burst,
            LIMIT_SECONDS,
        )
        for found in limits.counted()
        if found.share or found.counted
    ]
    return sorted(rows, key=lambda row: (-row.counted, row.tenant))


def tenants_as_json(limits: TenantLimits) -> bytes:
    """Return the rows as a JSON list of objects, for `bramblebeam tenants`."""
    return json.dumps([row._asdict() for row in tenant_rows(limits)]).encode()
