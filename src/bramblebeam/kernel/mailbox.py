"""Bounded mailboxes: the only way into a service."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

_PRUNE_THRESHOLD = 64
"""Answered envelopes kept at most, besides as many as are unanswered: each keeps its answer."""


class MailboxFullError(Exception):
    """The service has more messages waiting than its bound. Retriable later; nothing was done."""


class ServiceFailedError(Exception):
    """The service failed while it held the message, which may have been handled or not."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """One message, and the future its answer goes to (None where no answer is wanted)."""

    message: Any
    reply: asyncio.Future[Any] | None


class Mailbox:
    """A bounded queue of envelopes, read by one service.

    The mailbox remembers the unanswered envelopes that the service has taken, so that their
    senders get an error when the service fails.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._waiting: deque[Envelope] = deque()
        self._available = asyncio.Event()
        self._taken: list[asyncio.Future[Any]] = []
        self._prune_at = _PRUNE_THRESHOLD

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, envelope: Envelope, reserve: int = 0) -> None:
        """Add an envelope; `reserve` places beyond the bound may be used.

        Raises MailboxFullError when those are taken too.
        """
        if len(self._waiting) >= self.capacity + reserve:
            raise MailboxFullError
        self._waiting.append(envelope)
        self._available.set()

    async def get(self) -> Envelope:
        """Return the oldest envelope, waiting for one."""
        while not self._waiting:
            self._available.clear()
            await self._available.wait()
        return self._take()

    def get_nowait(self) -> Envelope | None:
        """Return the oldest envelope, or None."""
        return self._take() if self._waiting else None

    def fail_taken(self, error: Exception) -> None:
        """Give every sender whose envelope was taken and not answered the error."""
        for reply in self._taken:
            _fail(reply, error)
        self._taken.clear()

    def fail_all(self, error: Exception) -> None:
        """Give every sender without an answer the error, and empty the mailbox."""
        self.fail_taken(error)
        while self._waiting:
            envelope = self._waiting.popleft()
            if envelope.reply is not None:
                _fail(envelope.reply, error)

    def _take(self) -> Envelope:
        envelope = self._waiting.popleft()
        if envelope.reply is not None:
            self._remember(envelope.reply)
        return envelope

    def _remember(self, reply: asyncio.Future[Any]) -> None:
        self._taken.append(reply)
        if len(self._taken) < self._prune_at:
            return
        self._taken = [known for known in self._taken if not known.done()]
        self._prune_at = max(_PRUNE_THRESHOLD, 2 * len(self._taken))


def _fail(reply: asyncio.Future[Any], error: Exception) -> None:
    if not reply.done():
        reply.set_exception(error)
