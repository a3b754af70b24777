"""Rate limiting of operators' requests."""

from dataclasses import dataclass


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float


class RateLimiter:
    """A token bucket per operator: `rate` requests per second, bursts of up to `burst`."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._buckets: dict[str, _Bucket] = {}

    def try_acquire(self, name: str, now: float) -> float:
        """Admit a request of operator `name` and return 0, or return the seconds to wait."""
        bucket = self._buckets.setdefault(name, _Bucket(self._burst, now))
        bucket.tokens = min(self._burst, bucket.tokens + (now - bucket.refilled_at) * self._rate)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            return (1.0 - bucket.tokens) / self._rate
        bucket.tokens -= 1.0
        return 0.0
