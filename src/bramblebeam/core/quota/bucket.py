"""What one tenant may still begin, at a node that counts it by a share of its limit.

All times are seconds of the steady clock.
"""

from bramblebeam.core.quota.grantor import GRANT_SECONDS
from bramblebeam.core.quota.messages import Admission
from bramblebeam.core.tenants import RateLimit

ADMITTED_SHARE = 0.8
"""The part of a limit that all nodes together admit.

The rest is for what is counted beside it: first operations, returns, parts lent twice by grantors
that started anew.
"""
INITIAL_TOKENS = 5.0
"""What a node admits at once of a tenant that is new to it: one of a few operations a second is not
refused because another node counts it now."""
QUICK_SECONDS = 1.0
"""What is given back so soon may be admitted once more in full: what began within so long, and what
may begin at once, are bounded together."""
REFUND_SHARE = 0.15
"""Of what is admitted, so much may be admitted once more that was given back later than that, and
after others were refused.

Operations that wait for a leader are given back late. What takes their place waits with others like
it, and all of them may run in the moment in which there is a leader again.
"""
LIMIT_SECONDS = 5.0
"""Limits are judged in spans of so long: what is returned later changes none of them."""


def counted_limit(limit: RateLimit, share: float) -> RateLimit:
    """Return what a node admits that counts by a share of a limit."""
    part = ADMITTED_SHARE * share
    return RateLimit(limit.rate * part, limit.burst * part)


class TokenBucket:
    """The operations that a tenant may begin, and those that may be given back."""

    def __init__(self, share: float, now: float) -> None:
        self.used_at = now
        self._tokens = INITIAL_TOKENS
        self._returnable = INITIAL_TOKENS * REFUND_SHARE
        self._share = share
        self._filled_at = now
        self._refused_at = float("-inf")
        self._taken: dict[int, float] = {}
        self._quick: dict[int, float] = {}

    def fill(self, limit: RateLimit, share: float, now: float) -> None:
        """Add what has grown since the last time, by the smaller of the shares then and now.

        It is called more often than grants last: if not, the process stood still, and held nothing.
        """
        if now - self._filled_at > GRANT_SECONDS:
            self._share = self._tokens = 0.0
        grown = counted_limit(limit, min(share, self._share)).rate * (now - self._filled_at)
        counted = counted_limit(limit, share)
        most = max(counted.burst, 1.0) if share > 0.0 else 0.0
        _forget(self._quick, now - QUICK_SECONDS)
        beside_quick = most + counted.rate * QUICK_SECONDS - len(self._quick)
        self._tokens = max(0.0, min(most, beside_quick, self._tokens + grown))
        self._returnable = min(most * REFUND_SHARE + 1.0, self._returnable + grown * REFUND_SHARE)
        self._share = share
        self._filled_at = now

    def take(self, limit: RateLimit, share: float, receipt: int, now: float) -> Admission:
        """Admit one operation, or tell how long to wait."""
        self.fill(limit, share, now)
        self.used_at = now
        _forget(self._taken, now - LIMIT_SECONDS)
        if self._tokens < 1.0:
            self._refused_at = now
            wait = (1.0 - self._tokens) / counted_limit(limit, share).rate
            return Admission(False, wait, share=share)
        self._tokens -= 1.0
        self._taken[receipt] = self._quick[receipt] = now
        return Admission(True, receipt=receipt, share=share)

    def counted_operations(self, now: float) -> int:
        """Return how many operations of the last LIMIT_SECONDS were not given back."""
        _forget(self._taken, now - LIMIT_SECONDS)
        return len(self._taken)

    def refund(self, receipt: int, now: float) -> bool:
        """Count an operation as never begun; return whether it was one that counted."""
        taken_at = self._taken.pop(receipt, None)
        self._quick.pop(receipt, None)
        if taken_at is None:
            return False
        if self._refused_at < taken_at or now - taken_at <= QUICK_SECONDS:
            # Nobody was refused whose place it took, or it was there for a moment only.
            self._tokens += 1.0
        elif self._returnable >= 1.0:
            self._returnable -= 1.0
            self._tokens += 1.0
        return True


def _forget(taken: dict[int, float], before: float) -> None:
    """Drop what was taken earlier; the oldest stand in front."""
    while taken:
        receipt, taken_at = next(iter(taken.items()))
        if taken_at >= before:
            return
        del taken[receipt]
