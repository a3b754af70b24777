"""Token bucket of one tenant, at a node that counts the tenant by a share of its limit.

All times are seconds of the monotonic clock.
"""

from bramblebeam.core.quota.grantor import GRANT_SECONDS
from bramblebeam.core.quota.messages import Admission
from bramblebeam.core.tenants import RateLimit

ADMITTED_SHARE = 0.8
"""The share of a limit that all nodes together admit by their buckets.

The rest is reserved for operations admitted in addition: initial tokens, refunds, and parts granted
twice by grantors that restarted.
"""
INITIAL_TOKENS = 5.0
"""Operations that a node admits at once for a tenant that is new to it, so that a tenant of a few
operations a second is not refused when its counting node changes."""
QUICK_SECONDS = 1.0
"""Age up to which a count is refunded in full. The operations begun within this time and those that
may begin at once are bounded together."""
REFUND_SHARE = 0.15
"""Share of the admitted operations that may be refunded after QUICK_SECONDS although others were
refused since.

Operations that wait for a leader are refunded late. Those admitted in their place wait as well, and
all of them may run once there is a leader again.
"""
LIMIT_SECONDS = 5.0
"""Length of the time spans in which limits are checked: later refunds affect none of them."""


def _admitted_limit(limit: RateLimit, share: float) -> RateLimit:
    """Return the limit that a node with a share of `limit` enforces."""
    part = ADMITTED_SHARE * share
    return RateLimit(limit.rate * part, limit.burst * part)


class TokenBucket:
    """The operations that a tenant may begin, and those that may be refunded."""

    def __init__(self, share: float, now: float) -> None:
        self.used_at = now
        self._tokens = INITIAL_TOKENS
        self._refundable = INITIAL_TOKENS * REFUND_SHARE
        self._share = share
        self._filled_at = now
        self._refused_at = float("-inf")
        self._taken: dict[int, float] = {}
        self._quick: dict[int, float] = {}

    def fill(self, limit: RateLimit, share: float, now: float) -> None:
        """Add the tokens since the last call, by the smaller of the shares then and now.

        Calls are more frequent than grants are long. After a longer gap the process was paused, and
        its grants have expired, so that it starts with no tokens.
        """
        if now - self._filled_at > GRANT_SECONDS:
            self._share = self._tokens = 0.0
        added = _admitted_limit(limit, min(share, self._share)).rate * (now - self._filled_at)
        admitted = _admitted_limit(limit, share)
        capacity = max(admitted.burst, 1.0) if share > 0.0 else 0.0
        _drop_before(self._quick, now - QUICK_SECONDS)
        beside_quick = capacity + admitted.rate * QUICK_SECONDS - len(self._quick)
        self._tokens = max(0.0, min(capacity, beside_quick, self._tokens + added))
        self._refundable = min(
            capacity * REFUND_SHARE + 1.0, self._refundable + added * REFUND_SHARE
        )
        self._share = share
        self._filled_at = now

    def take(self, limit: RateLimit, share: float, receipt: int, now: float) -> Admission:
        """Admit one operation, or return how long to wait."""
        self.fill(limit, share, now)
        self.used_at = now
        _drop_before(self._taken, now - LIMIT_SECONDS)
        if self._tokens < 1.0:
            self._refused_at = now
            wait = (1.0 - self._tokens) / _admitted_limit(limit, share).rate
            return Admission(False, wait, share=share)
        self._tokens -= 1.0
        self._taken[receipt] = self._quick[receipt] = now
        return Admission(True, receipt=receipt, share=share)

    def counted_operations(self, now: float) -> int:
        """Return how many operations of the last LIMIT_SECONDS were not refunded."""
        _drop_before(self._taken, now - LIMIT_SECONDS)
        return len(self._taken)

    def refund(self, receipt: int, now: float) -> bool:
        """Refund an operation that never began; return whether it was counted until now."""
        taken_at = self._taken.pop(receipt, None)
        self._quick.pop(receipt, None)
        if taken_at is None:
            return False
        if self._refused_at < taken_at or now - taken_at <= QUICK_SECONDS:
            # No operation was refused because of it, or it was counted only briefly.
            self._tokens += 1.0
        elif self._refundable >= 1.0:
            self._refundable -= 1.0
            self._tokens += 1.0
        return True


def _drop_before(taken: dict[int, float], before: float) -> None:
    """Drop the receipts taken before a time; the oldest come first."""
    while taken:
        receipt, taken_at = next(iter(taken.items()))
        if taken_at >= before:
            return
        del taken[receipt]
