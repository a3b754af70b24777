"""What one tenant may still begin, at a node that counts it by a share of its limit.

All times are seconds of the steady clock.
"""

from bramblebeam.core.quota.messages import Admission
from bramblebeam.core.tenants import RateLimit

HOME_SHARE = 0.8
"""The part of a limit that all nodes together admit.

The rest is for what is counted beside it: first operations, returns, parts lent twice by grantors
that started anew.
"""
FIRST_OPERATIONS = 3.0
"""What a node admits at once of a tenant that is new to it: one of a few operations a second is not
refused because another node counts it now."""
RETURN_SHARE = 0.3
"""Of what is admitted, so much may be admitted once more after others were refused meanwhile.

Operations that wait for a leader are given back late. What takes their place waits with others like
it, and all of them may run in the moment in which there is a leader again.
"""
LIMIT_SECONDS = 5.0
"""Limits are judged in spans of so long: what is returned later changes none of them."""


def counted_limit(limit: RateLimit, share: float) -> RateLimit:
    """Return what a node admits that counts by a share of a limit."""
    part = HOME_SHARE * share
    return RateLimit(limit.rate * part, limit.burst * part)


class TokenBucket:
    """The operations that a tenant may begin, and those that may be given back."""

    def __init__(self, share: float, now: float) -> None:
        self.used_at = now
        self._tokens = FIRST_OPERATIONS
        self._returnable = FIRST_OPERATIONS * RETURN_SHARE
        self._share = share
        self._filled_at = now
        self._refused_at = float("-inf")
        self._taken: dict[int, float] = {}

    def fill(self, limit: RateLimit, share: float, now: float) -> None:
        """Add what has grown since the last time, by the smaller of the shares then and now."""
        grown = counted_limit(limit, min(share, self._share)).rate * (now - self._filled_at)
        most = max(counted_limit(limit, share).burst, 1.0) if share > 0.0 else 0.0
        self._tokens = min(most, self._tokens + grown)
        self._returnable = min(most * RETURN_SHARE + 1.0, self._returnable + grown * RETURN_SHARE)
        self._share = share
        self._filled_at = now

    def take(self, limit: RateLimit, share: float, receipt: int, now: float) -> Admission:
        """Admit one operation, or tell how long to wait."""
        self.fill(limit, share, now)
        self.used_at = now
        self._forget_taken(now)
        if self._tokens < 1.0:
            self._refused_at = now
            wait = (1.0 - self._tokens) / counted_limit(limit, share).rate
            return Admission(False, wait, share=share)
        self._tokens -= 1.0
        self._taken[receipt] = now
        return Admission(True, receipt=receipt, share=share)

    def kept(self, now: float) -> int:
        """Return how many operations of the last LIMIT_SECONDS were not given back."""
        self._forget_taken(now)
        return len(self._taken)

    def give_back(self, receipt: int) -> bool:
        """Count an operation as never begun; return whether it was one that counted."""
        taken_at = self._taken.pop(receipt, None)
        if taken_at is None:
            return False
        if self._refused_at < taken_at:
            # As if it had never come: nobody would have had its place.
            self._tokens += 1.0
        elif self._returnable >= 1.0:
            self._returnable -= 1.0
            self._tokens += 1.0
        return True

    def _forget_taken(self, now: float) -> None:
        while self._taken:
            receipt, taken_at = next(iter(self._taken.items()))
            if now - taken_at <= LIMIT_SECONDS:
                return
            del self._taken[receipt]
