"""Bounded mailboxes: the only way into a service."""

import asyncio
from dataclasses import dataclass
from typing import Any


class MailboxFullError(Exception):
    """The service has more messages waiting than its bound. Retriable later; nothing was done."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """One message, and the future its answer goes to (None where no answer is wanted)."""

    message: Any
    reply: asyncio.Future[Any] | None


class Mailbox:
    """A bounded queue of envelopes, read by one service."""

    def __init__(self, capacity: int) -> None:
        self._queue: asyncio.Queue[Envelope] = asyncio.Queue(capacity)

    def __len__(self) -> int:
        return self._queue.qsize()

    def put(self, envelope: Envelope) -> None:
        """Add an envelope. Raises MailboxFullError at the bound."""
        try:
            self._queue.put_nowait(envelope)
        except asyncio.QueueFull as error:
            raise MailboxFullError from error

    async def get(self) -> Envelope:
        """Return the oldest envelope, waiting for one."""
        return await self._queue.get()

    def get_nowait(self) -> Envelope | None:
        """Return the oldest envelope, or None."""
        try:
            return self._queue.get_nowait()
        except asyncio.QueueEmpty:
            return None
