"""Request rate of each tenant, from exponentially decaying counts."""

import math

from bramblebeam.core.tenants import TenantId

DECAY_SECONDS = 10.0
"""Time in which a request's weight decays to 1/e (seconds).

It is long against the pauses of a tenant with one operation a second, and short against the minutes
in which the tenants' shares of the work shift.
"""
MINIMUM_RATE = 0.01
"""Rate below which a tenant is forgotten (requests a second)."""
_PRUNE_INTERVAL = 256
"""Requests between two searches for tenants to forget."""


class TenantUsage:
    """Request rates by tenant. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._rates: dict[TenantId, tuple[float, float]] = {}
        self._recorded = 0

    def record(self, tenant: TenantId, now: float) -> None:
        """Count one request."""
        self._rates[tenant] = (self.rate(tenant, now) + 1 / DECAY_SECONDS, now)
        self._recorded += 1
        if self._recorded % _PRUNE_INTERVAL == 0:
            self._prune(now)

    def rate(self, tenant: TenantId, now: float) -> float:
        """Return the tenant's recent request rate (requests a second)."""
        found = self._rates.get(tenant)
        if found is None:
            return 0.0
        rate, recorded_at = found
        return rate * math.exp((recorded_at - now) / DECAY_SECONDS)

    def _prune(self, now: float) -> None:
        for tenant in list(self._rates):
            if self.rate(tenant, now) < MINIMUM_RATE:
                del self._rates[tenant]
