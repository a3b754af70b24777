"""Bounded mailboxes, through which services receive all messages."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

_PRUNE_THRESHOLD = 64
"""Maximum answered replies that are tracked, or as many as are unanswered; each keeps its answer
in memory."""


class MailboxFullError(Exception):
    """The service's mailbox is full. Nothing was done; may be retried later."""


class ServiceFailedError(Exception):
    """The service failed with the message unanswered; it may or may not have been handled."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message, and the future for its answer (None: no answer wanted)."""

    message: Any
    reply: asyncio.Future[Any] | None


class Mailbox:
    """A bounded queue of envelopes, read by one service.

    Tracks the unanswered envelopes that the service has taken, so that their senders get an
    error when the service fails.
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
        """Add an envelope; the capacity may be exceeded by `reserve`.

        Raises MailboxFullError beyond that.
        """
        if len(self._waiting) >= self.capacity + reserve:
            raise MailboxFullError
        self._waiting.append(envelope)
        self._available.set()

    async def get(self) -> Envelope:
        """Return the oldest envelope, waiting until there is one."""
        while not self._waiting:
            self._available.clear()
            await self._available.wait()
        return self._take()

    def get_nowait(self) -> Envelope | None:
        """Return the oldest envelope, or None if there is none."""
        return self._take() if self._waiting else None

    def fail_taken(self, error: Exception) -> None:
        """Fail the unanswered envelopes that the service has taken."""
        for reply in self._taken:
            _fail(reply, error)
        self._taken.clear()

    def fail_all(self, error: Exception) -> None:
        """Fail all unanswered envelopes and empty the mailbox."""
        self.fail_taken(error)
        while self._waiting:
            envelope = self._waiting.popleft()
            if envelope.reply is not None:
                _fail(envelope.reply, error)

    def _take(self) -> Envelope:
        envelope = self._waiting.popleft()
        if envelope.reply is not None:
            self._track(envelope.reply)
        return envelope

    def _track(self, reply: asyncio.Future[Any]) -> None:
        self._taken.append(reply)
        if len(self._taken) < self._prune_at:
            return
        self._taken = [tracked for tracked in self._taken if not tracked.done()]
        self._prune_at = max(_PRUNE_THRESHOLD, 2 * len(self._taken))


def _fail(reply: asyncio.Future[Any], error: Exception) -> None:
    if not reply.done():
        reply.set_exception(error)
