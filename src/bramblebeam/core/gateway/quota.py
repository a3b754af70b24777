"""Counts the operations of tenants against their limits, at the node where each tenant's meet.

A limit holds over all nodes together: in any 5 s, 1.1 times what it lets begin in that time and
saves up, and 20 operations more. Each tenant's operations are counted at its home. What nodes can't
know of each other leaves its mark on what they admit:

- While nodes are cut off from each other there may be a home in each part of the fleet. Each admits
  the limit times the nodes seen of those known, so that all parts together admit the limit.
- A cut is noticed late. A node that takes a tenant over, or stands in for a home that gives no
  answer, does not know whether that one still counts: it begins with next to nothing saved up, and
  admits half as much until the former one must have noticed.
- The home admits four fifths of the limit, which leaves room for that. Tenants usually send five
  eighths of their limits.

The model `spec/quota.py` refutes more than that.
"""

from collections.abc import Callable
from typing import NamedTuple

from bramblebeam.core.tenants import RateLimit, TenantId

HOME_SHARE = 0.8
"""The part of a tenant's limit that all who count it together admit."""
UNSURE_SHARE = 0.5
"""Of that, what is admitted by nodes that can't know whether another one counts."""
UNSURE_SECONDS = 3.0
"""So long after the loss of a node all others have noticed it: suspicion lasts 1.5 s and more, the
news spreads in about one."""
FIRST_OPERATIONS = 5.0
"""A node that begins to count a tenant admits so many operations at once: a tenant of a few
operations a second is not refused for that, and the 20 beside the limit leave room for it."""
FORGOTTEN_SECONDS = 60.0
"""A tenant that asked for nothing in so long is counted anew."""
_REVIEW_EVERY = 1_024


class Standing(NamedTuple):
    """What a node that counts a tenant knows of the others.

    `seen`: nodes that are seen of those that are known (0 to 1). `stand_ins`: how many nodes may
    stand in for the tenant's home besides; 0: this node is the home. `changed_at`: when the nodes
    that serve tenants were others last (steady clock, seconds).
    """

    seen: float
    stand_ins: int
    changed_at: float

    def share(self, counted_since: float, now: float) -> float:
        """Return the part of the limit that is admitted here, 0 to 1."""
        whole = HOME_SHARE * self.seen
        if self.stand_ins:
            return whole * UNSURE_SHARE / self.stand_ins
        is_unsure = counted_since >= self.changed_at > now - UNSURE_SECONDS
        return whole * UNSURE_SHARE if is_unsure else whole


class Admission(NamedTuple):
    """Whether an operation may begin. `wait`: seconds until the next one may where it may not.

    None: it never may, as the limit is zero.
    """

    admitted: bool
    wait: float | None = 0.0


ADMITTED = Admission(True)


class TokenBucket:
    """What one tenant may still begin. Times: steady clock, seconds."""

    def __init__(self, is_home: bool, now: float) -> None:
        self.is_home = is_home
        self.since = now
        self.used_at = now
        self._tokens = FIRST_OPERATIONS

    def take(self, limit: RateLimit, now: float) -> Admission:
        """Admit one operation by the limit in force now, or tell how long to wait."""
        grown = self._tokens + limit.rate * (now - self.used_at)
        self._tokens = min(max(limit.burst, 1.0), grown)
        self.used_at = now
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

    def admit(
        self, tenant: TenantId, limit: RateLimit, standing: Standing, now: float
    ) -> Admission:
        """Ask for one operation."""
        bucket = self._buckets.get(tenant)
        if bucket is None or bucket.is_home != (standing.stand_ins == 0):
            bucket = self._buckets[tenant] = TokenBucket(standing.stand_ins == 0, now)
        self._asked += 1
        if self._asked % _REVIEW_EVERY == 0:
            self._forget(now)
        share = standing.share(bucket.since, now)
        return bucket.take(RateLimit(limit.rate * share, limit.burst * share), now)

    def counts(self, tenant: TenantId) -> bool:
        """Whether a tenant's operations are counted here already."""
        return tenant in self._buckets

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
