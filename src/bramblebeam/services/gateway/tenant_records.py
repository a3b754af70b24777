"""Logs per second how many operations of each tenant this node counted and ran.

Only the log lines of all nodes together show which nodes counted how many operations of a tenant
that reached its limit, and how many were sent to databases.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum

from bramblebeam.core.tenants import RateLimit, TenantId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ADMITTED_UNCOUNTED, COUNTING_STARTED, TENANT_RATE_SAMPLE

logger = logging.getLogger(__name__)

REPORT_SECONDS = 1.0
"""Minimum interval between reports."""
MAXIMUM_LINES = 16
"""Maximum number of tenants with a log line per second: those with the most operations."""
FOLLOWED_SECONDS = 6.0
"""How long a tenant is logged after it reached its limit: limits apply to spans of 5 s."""


class Outcome(StrEnum):
    """What happened to an operation, at the node that counts it or at the one that runs it."""

    COUNTED = "counted"
    REFUSED = "refused"
    RETURNED = "returned"
    """It was counted, has surely not run, and was refunded."""
    RETURN_IGNORED = "return_ignored"
    """Its refund had no effect: it came twice, too late, or from a node it wasn't admitted for."""
    UNCOUNTED = "uncounted"
    """It was admitted without being counted."""
    SENT = "sent"
    """This node sent it to a database; each attempt counts."""


class TenantRecords:
    """Counts of operations: by tenant since the last report, and in total."""

    def __init__(self) -> None:
        self.totals = Counter(dict.fromkeys(Outcome, 0))
        self._counts: dict[TenantId, Counter[Outcome]] = {}
        self._limit_reached_at: dict[TenantId, float] = {}
        self._counting_started: list[TenantId] = []
        self._uncounted_reasons: dict[TenantId, str] = {}
        self._reported_at = float("-inf")

    def record(self, tenant: TenantId, outcome: Outcome) -> None:
        """Count one operation."""
        self.totals[outcome] += 1
        counts = self._counts.get(tenant)
        if counts is None:
            counts = self._counts[tenant] = Counter()
        counts[outcome] += 1

    def record_limit_reached(self, tenant: TenantId, now: float) -> None:
        """Record that a tenant's operation was refused, here or by the node that counts it."""
        self._limit_reached_at[tenant] = now

    def record_uncounted(self, tenant: TenantId, why: str) -> None:
        """Record an operation that was admitted without being counted."""
        self.record(tenant, Outcome.UNCOUNTED)
        self._uncounted_reasons[tenant] = why

    def record_counting_start(self, tenant: TenantId) -> None:
        """Record that this node starts to count a tenant."""
        self._counting_started.append(tenant)

    def report(self, now: float, limit_of: Callable[[TenantId], RateLimit | None]) -> None:
        """Log the counts since the last report, at most once per second (`now`: monotonic)."""
        if now - self._reported_at < REPORT_SECONDS:
            return
        for tenant in self._logged_tenants(now):
            self._log_counts(tenant, limit_of(tenant))
        self._log_counting()
        self._counts.clear()
        self._counting_started.clear()
        self._uncounted_reasons.clear()
        self._reported_at = now

    def _logged_tenants(self, now: float) -> Iterator[TenantId]:
        reached = self._limit_reached_at
        self._limit_reached_at = {
            tenant: at for tenant, at in reached.items() if now - at <= FOLLOWED_SECONDS
        }
        followed = [tenant for tenant in self._limit_reached_at if tenant in self._counts]
        followed.sort(key=lambda tenant: -self._counts[tenant].total())
        yield from followed[:MAXIMUM_LINES]

    def _log_counts(self, tenant: TenantId, limit: RateLimit | None) -> None:
        counts = self._counts[tenant]
        log_event(
            logger,
            TENANT_RATE_SAMPLE,
            tenant=tenant,
            rate=None if limit is None else limit.rate,
            burst=None if limit is None else limit.burst,
            **{outcome.value: counts[outcome] for outcome in Outcome},
        )

    def _log_counting(self) -> None:
        if self._counting_started:
            first = self._counting_started[0]
            log_event(logger, COUNTING_STARTED, tenants=len(self._counting_started), first=first)
        for tenant, why in list(self._uncounted_reasons.items())[:MAXIMUM_LINES]:
            operations = self._counts[tenant][Outcome.UNCOUNTED]
            log_event(logger, ADMITTED_UNCOUNTED, tenant=tenant, operations=operations, why=why)
