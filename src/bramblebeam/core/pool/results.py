"""Remembers the answers of recent requests, so that a lost answer can be asked for again.

Only requests that must not run twice are remembered. The memory is bounded by count and by time:
an edge asks again within its request's deadline, which is shorter.
"""

from collections import OrderedDict
from dataclasses import dataclass

from bramblebeam.core.statement import ExecuteReply, RequestId

REMEMBERED_REPLIES = 20_000
REMEMBERED_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Remembered:
    """A request's answer, and until when it is kept (seconds)."""

    reply: ExecuteReply
    until: float


class RecentResults:
    """Answers by request id, oldest forgotten first."""

    def __init__(
        self, count: int = REMEMBERED_REPLIES, seconds: float = REMEMBERED_SECONDS
    ) -> None:
        self._count = count
        self._seconds = seconds
        self._replies: OrderedDict[RequestId, Remembered] = OrderedDict()

    def __len__(self) -> int:
        return len(self._replies)

    def find(self, request: RequestId, now: float) -> ExecuteReply | None:
        """Return the answer the request had, or None where it is not remembered."""
        remembered = self._replies.get(request)
        if remembered is None or remembered.until <= now:
            return None
        return remembered.reply

    def remember(self, reply: ExecuteReply, now: float) -> None:
        """Keep an answer and forget what is beyond the bounds."""
        self._replies[reply.request] = Remembered(reply, now + self._seconds)
        self._replies.move_to_end(reply.request)
        while len(self._replies) > self._count or self._oldest_is_over(now):
            self._replies.popitem(last=False)

    def _oldest_is_over(self, now: float) -> bool:
        if not self._replies:
            return False
        oldest = next(iter(self._replies.values()))
        return oldest.until <= now
