"""Counts the operations of tenants against their limits, at the node where each tenant's meet.

A limit holds over all nodes together. Each tenant's operations are counted at one node; while
nodes can't see each other there may be one in each part of the fleet, and each admits only its
part's share of the limit (nodes seen of nodes known), so that all together never admit more. A node
that takes over from another does not know what that one has admitted: it begins with next to
nothing saved up.
"""

from collections.abc import Callable
from typing import NamedTuple

from bramblebeam.core.tenants import RateLimit, TenantId

FIRST_OPERATIONS = 5.0
"""A node that begins to count a tenant admits so many operations at once: a tenant of a few
operations a second is not refused for that, and what the former node had admitted leaves room for
as many (a quarter of the 20 that may be admitted beside the limit in any 5 s)."""
FORGOTTEN_SECONDS = 60.0
"""A tenant that asked for nothing in so long is counted anew: its bucket is full by then."""
_REVIEW_EVERY = 1_024


class Admission(NamedTuple):
    """Whether an operation may begin. `wait`: seconds until the next one may where it may not.

    None: it never may, as the limit is zero.
    """

    admitted: bool
    wait: float | None = 0.0


ADMITTED = Admission(True)


class TokenBucket:
    """What one tenant may still begin. Times: steady clock, seconds."""

    def __init__(self, now: float) -> None:
        self._tokens = FIRST_OPERATIONS
        self._filled_at = now

    @property
    def used_at(self) -> float:
        """When it was last asked."""
        return self._filled_at

    def take(self, limit: RateLimit, now: float) -> Admission:
        """Admit one operation by the limit in force now, or tell how long to wait."""
        grown = self._tokens + limit.rate * (now - self._filled_at)
        self._tokens = min(max(limit.burst, 1.0), grown)
        self._filled_at = now
        if limit.rate <= 0:
            return Admission(False, None)
        if self._tokens < 1.0:
            return Admission(False, (1.0 - self._tokens) / limit.rate)
        self._tokens -= 1.0
        return ADMITTED

    def give_back(self) -> None:
        """Count an operation as never begun."""
        self._tokens += 1.0


class QuotaCounter:
    """The buckets of the tenants that are counted here."""

    def __init__(self) -> None:
        self._buckets: dict[TenantId, TokenBucket] = {}
        self._asked = 0

    def admit(self, tenant: TenantId, limit: RateLimit, share: float, now: float) -> Admission:
        """Ask for one operation. `share`: the part of the limit that is admitted here, 0 to 1."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = TokenBucket(now)
        self._asked += 1
        if self._asked % _REVIEW_EVERY == 0:
            self._forget(now)
        return bucket.take(RateLimit(limit.rate * share, limit.burst * share), now)

    def give_back(self, tenant: TenantId) -> None:
        """Count an operation as never begun, as no database has run any of it."""
        bucket = self._buckets.get(tenant)
        if bucket is not None:
            bucket.give_back()

    def keep_only(self, is_counted_here: Callable[[TenantId], bool]) -> None:
        """Forget what tenants have saved up that are counted at other nodes now.

        Should one come back, then what that node has admitted is not known here.
        """
        for tenant in list(self._buckets):
            if not is_counted_here(tenant):
                del self._buckets[tenant]

    def _forget(self, now: float) -> None:
        for tenant, bucket in list(self._buckets.items()):
            if now - bucket.used_at > FORGOTTEN_SECONDS:
                del self._buckets[tenant]
