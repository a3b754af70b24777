"""Caches the answers of recent requests, so that a lost answer can be requested again.

Only requests that must not run twice are cached. The cache is bounded by count and by age: an edge
repeats a request within the request's deadline, which is shorter.
"""

from collections import OrderedDict
from dataclasses import dataclass

from bramblebeam.core.statement import ExecuteReply, RequestId

REMEMBERED_REPLIES = 20_000
REMEMBERED_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class CachedReply:
    """A cached answer, and when it expires (seconds)."""

    reply: ExecuteReply
    expires_at: float


class RecentResults:
    """Answers by request id; the oldest are evicted first."""

    def __init__(
        self, count: int = REMEMBERED_REPLIES, seconds: float = REMEMBERED_SECONDS
    ) -> None:
        self._count = count
        self._seconds = seconds
        self._replies: OrderedDict[RequestId, CachedReply] = OrderedDict()

    def __len__(self) -> int:
        return len(self._replies)

    def find(self, request: RequestId, now: float) -> ExecuteReply | None:
        """Return the cached answer to a request, or None."""
        cached = self._replies.get(request)
        if cached is None or cached.expires_at <= now:
            return None
        return cached.reply

    def remember(self, reply: ExecuteReply, now: float) -> None:
        """Cache an answer, and evict what exceeds the bounds."""
        self._replies[reply.request] = CachedReply(reply, now + self._seconds)
        self._replies.move_to_end(reply.request)
        while len(self._replies) > self._count or self._oldest_has_expired(now):
            self._replies.popitem(last=False)

    def _oldest_has_expired(self, now: float) -> bool:
        if not self._replies:
            return False
        oldest = next(iter(self._replies.values()))
        return oldest.expires_at <= now
