"""Counts tenants' operations against their limits, at a node that holds parts of these limits."""

from collections.abc import Callable, Iterator

from bramblebeam.core.quota.bucket import TokenBucket
from bramblebeam.core.quota.messages import NOT_COUNTED_HERE, Admission
from bramblebeam.core.tenants import RateLimit, TenantId

IDLE_SECONDS = 60.0
"""Time without requests after which a tenant's bucket is dropped."""
NEVER_ADMITTED = Admission(False, None)


class QuotaCounter:
    """The buckets of the tenants that were recently counted at this node.

    `first_receipt`: must not be followed closely by receipts of an earlier incarnation of the
    process.
    """

    def __init__(self, first_receipt: int) -> None:
        self._buckets: dict[TenantId, TokenBucket] = {}
        self._next_receipt = first_receipt

    @property
    def tenants(self) -> Iterator[TenantId]:
        """The tenants that were recently counted here."""
        yield from self._buckets

    def has_bucket(self, tenant: TenantId) -> bool:
        """Whether a tenant was recently counted here."""
        return tenant in self._buckets

    def counted_operations(self, tenant: TenantId, now: float) -> int:
        """Return how many operations of the last LIMIT_SECONDS were not refunded."""
        bucket = self._buckets.get(tenant)
        return 0 if bucket is None else bucket.counted_operations(now)

    def admit(self, tenant: TenantId, limit: RateLimit, share: float, now: float) -> Admission:
        """Admit or refuse one operation. `share`: of the limit, held by this node (0 to 1)."""
        if limit.rate <= 0:
            return NEVER_ADMITTED
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
        """Refund an operation that never began, as no database can have run any part of it.

        Return whether it was counted until now: False if it was never admitted here, was refunded
        before, or was admitted too long ago to matter.
        """
        bucket = self._buckets.get(tenant)
        return bucket is not None and bucket.refund(receipt, now)

    def update_shares(
        self,
        limit_of: Callable[[TenantId], RateLimit | None],
        share_of: Callable[[TenantId], float],
        now: float,
    ) -> None:
        """Fill every bucket by its current share; drop buckets that are idle or have no limit."""
        for tenant, bucket in list(self._buckets.items()):
            limit = limit_of(tenant)
            if limit is None or now - bucket.used_at > IDLE_SECONDS:
                del self._buckets[tenant]
            else:
                bucket.fill(limit, share_of(tenant), now)
