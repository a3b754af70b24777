"""Counts the operations of tenants against their limits, at the node that holds parts of these."""

from collections.abc import Callable, Iterator

from bramblebeam.core.quota.bucket import TokenBucket
from bramblebeam.core.quota.messages import NOT_COUNTED_HERE, Admission
from bramblebeam.core.tenants import RateLimit, TenantId

FORGOTTEN_SECONDS = 60.0
"""A tenant that asked for nothing in so long is counted anew."""
NEVER = Admission(False, None)


class QuotaCounter:
    """The buckets of the tenants that are, or were, counted here.

    `first_receipt`: no receipt of a former life of the process may follow it closely.
    """

    def __init__(self, first_receipt: int) -> None:
        self._buckets: dict[TenantId, TokenBucket] = {}
        self._next_receipt = first_receipt

    @property
    def tenants(self) -> Iterator[TenantId]:
        """The tenants that were counted here lately."""
        yield from self._buckets

    def counts(self, tenant: TenantId) -> bool:
        """Whether a tenant was counted here lately."""
        return tenant in self._buckets

    def counted_operations(self, tenant: TenantId, now: float) -> int:
        """Return how many operations of the last LIMIT_SECONDS count."""
        bucket = self._buckets.get(tenant)
        return 0 if bucket is None else bucket.counted_operations(now)

    def admit(self, tenant: TenantId, limit: RateLimit, share: float, now: float) -> Admission:
        """Ask for one operation. `share`: of the limit, that this node counts by (0 to 1)."""
        if limit.rate <= 0:
            return NEVER
        bucket = self._buckets.get(tenant)
        if share <= 0.0:
            if bucket is not None:
                bucket.fill(limit, share, now)
            return NOT_COUNTED_HERE
        if bucket is None:
            bucket = self._buckets[tenant] = TokenBucket(share, now)
        self._next_receipt += 1
        return bucket.take(limit, share, self._next_receipt, now)

    def refund(self, tenant: TenantId, receipt: int, now: float) -> bool:
        """Count an operation as never begun, as no database can have run any of it.

        Return whether it counted: not one that was never admitted here, was given back already, or
        was admitted so long ago that it makes no difference.
        """
        bucket = self._buckets.get(tenant)
        return bucket is not None and bucket.refund(receipt, now)

    def update_shares(
        self,
        limit_of: Callable[[TenantId], RateLimit | None],
        share_of: Callable[[TenantId], float],
        now: float,
    ) -> None:
        """Let every bucket take note of its share now; forget what is not used any more."""
        for tenant, bucket in list(self._buckets.items()):
            limit = limit_of(tenant)
            if limit is None or now - bucket.used_at > FORGOTTEN_SECONDS:
                del self._buckets[tenant]
            else:
                bucket.fill(limit, share_of(tenant), now)
