"""How often each tenant asks for something, by counts that decay."""

import math

from bramblebeam.core.tenants import TenantId

MEMORY_SECONDS = 10.0
"""What is older counts for less than a third. Long against the pauses of a tenant of an operation a
second, short against the minutes in which the tenants' shares of the work shift."""
FORGOTTEN_RATE = 0.01
"""A tenant that asks less often (times a second) is forgotten."""
_REVIEW_EVERY = 256


class TenantUsage:
    """Rates by tenant. Times: steady clock, seconds."""

    def __init__(self) -> None:
        self._rates: dict[TenantId, tuple[float, float]] = {}
        self._noted = 0

    def note(self, tenant: TenantId, now: float) -> None:
        """Count one use."""
        self._rates[tenant] = (self.rate(tenant, now) + 1 / MEMORY_SECONDS, now)
        self._noted += 1
        if self._noted % _REVIEW_EVERY == 0:
            self._forget(now)

    def rate(self, tenant: TenantId, now: float) -> float:
        """Return how often the tenant asked lately (times a second)."""
        found = self._rates.get(tenant)
        if found is None:
            return 0.0
        rate, noted_at = found
        return rate * math.exp((noted_at - now) / MEMORY_SECONDS)

    def _forget(self, now: float) -> None:
        for tenant in list(self._rates):
            if self.rate(tenant, now) < FORGOTTEN_RATE:
                del self._rates[tenant]
