"""What tenants asked for, by the second, as this node counted and ran it.

Where a tenant meets its limit, the lines of all nodes together tell which of them counted how many
operations, and how many were sent to databases: no one node sees that.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum

from bramblebeam.core.tenants import RateLimit, TenantId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ADMITTED_UNCOUNTED, COUNTING_BEGAN, TENANT_SECOND

logger = logging.getLogger(__name__)

REPORT_SECONDS = 1.0
MAXIMUM_LINES = 16
"""So many tenants have a line a second; those who asked for most go first."""
FOLLOWED_SECONDS = 6.0
"""A tenant that met its limit has a line for so long after: a limit holds in spans of 5 s."""


class Outcome(StrEnum):
    """What became of an operation, at the node that counts it or at the one that runs it."""

    COUNTED = "counted"
    REFUSED = "refused"
    RETURNED = "returned"
    """It was counted, has surely not run, and does not count any more."""
    RETURN_IGNORED = "return_ignored"
    """It was returned without counting: twice, late, or by whoever it was not admitted for."""
    UNCOUNTED = "uncounted"
    """It was let through without a count."""
    SENT = "sent"
    """It went to a database from this node; each further attempt counts."""


class TenantRecords:
    """Counts since the last line, and in all."""

    def __init__(self) -> None:
        self.totals = Counter(dict.fromkeys(Outcome, 0))
        self._second: dict[TenantId, Counter[Outcome]] = {}
        self._met_limit_at: dict[TenantId, float] = {}
        self._begun: list[TenantId] = []
        self._uncounted_why: dict[TenantId, str] = {}
        self._reported_at = float("-inf")

    def record(self, tenant: TenantId, part: Outcome) -> None:
        """Count one operation."""
        self.totals[part] += 1
        counts = self._second.get(tenant)
        if counts is None:
            counts = self._second[tenant] = Counter()
        counts[part] += 1

    def record_limit_reached(self, tenant: TenantId, now: float) -> None:
        """Note that a tenant was refused, here or by the node that counts it."""
        self._met_limit_at[tenant] = now

    def record_uncounted(self, tenant: TenantId, why: str) -> None:
        """Count one operation that was let through without a count."""
        self.record(tenant, Outcome.UNCOUNTED)
        self._uncounted_why[tenant] = why

    def record_counting_start(self, tenant: TenantId) -> None:
        """Note that this node counts a tenant from now on."""
        self._begun.append(tenant)

    def report(self, now: float, limit_of: Callable[[TenantId], RateLimit | None]) -> None:
        """Log what a second brought, once a second (`now`: steady clock, seconds)."""
        if now - self._reported_at < REPORT_SECONDS:
            return
        for tenant in self._followed(now):
            self._log_second(tenant, limit_of(tenant))
        self._log_rest()
        self._second.clear()
        self._begun.clear()
        self._uncounted_why.clear()
        self._reported_at = now

    def _followed(self, now: float) -> Iterator[TenantId]:
        met = self._met_limit_at
        self._met_limit_at = {
            tenant: at for tenant, at in met.items() if now - at <= FOLLOWED_SECONDS
        }
        followed = [tenant for tenant in self._met_limit_at if tenant in self._second]
        followed.sort(key=lambda tenant: -self._second[tenant].total())
        yield from followed[:MAXIMUM_LINES]

    def _log_second(self, tenant: TenantId, limit: RateLimit | None) -> None:
        counts = self._second[tenant]
        log_event(
            logger,
            TENANT_SECOND,
            tenant=tenant,
            rate=None if limit is None else limit.rate,
            burst=None if limit is None else limit.burst,
            **{part.value: counts[part] for part in Outcome},
        )

    def _log_rest(self) -> None:
        if self._begun:
            first = self._begun[0]
            log_event(logger, COUNTING_BEGAN, tenants=len(self._begun), first=first)
        for tenant, why in list(self._uncounted_why.items())[:MAXIMUM_LINES]:
            operations = self._second[tenant][Outcome.UNCOUNTED]
            log_event(logger, ADMITTED_UNCOUNTED, tenant=tenant, operations=operations, why=why)
