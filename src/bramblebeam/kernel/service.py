"""The base of every service: one task that owns its state and takes messages from its mailbox."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any, ClassVar

from bramblebeam.kernel.mailbox import Envelope, Mailbox

if TYPE_CHECKING:
    from bramblebeam.kernel.kernel import Kernel

DEFAULT_MAILBOX_CAPACITY = 10_000


class Service:
    """One named service.

    Override `start` (open sockets), `handle` (one message at a time) and `stop` (close). `handle`
    must not wait long: what waits goes into `spawn`, and answers by the envelope it was given.
    `start` may run again after a failure. A task that ends with an error ends the service's life:
    the kernel cancels the children, calls `stop`, gives the senders of unanswered messages a
    `ServiceFailedError`, and starts the service anew.
    """

    name: ClassVar[str]
    mailbox_capacity: ClassVar[int] = DEFAULT_MAILBOX_CAPACITY

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.mailbox = Mailbox(self.mailbox_capacity)
        self._children: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Open what the service owns. An exception here counts as a failure of the service."""

    async def handle(self, envelope: Envelope) -> None:
        """Take one message; set `envelope.reply`'s result, now or from a child task."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Prepare a planned stop: give ownership away, let what is in flight end."""

    async def stop(self) -> None:
        """Close what the service owns."""

    async def run(self) -> None:
        """Take messages until cancelled."""
        while True:
            await self.handle(await self.mailbox.get())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a child task that ends with the service; its failure is the service's."""
        task = asyncio.get_running_loop().create_task(work)
        self._children.add(task)
        task.add_done_callback(self._child_done)
        return task

    def _child_done(self, task: asyncio.Task[Any]) -> None:
        self._children.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.kernel.report_failure(self.name, task.exception())

    async def cancel_children(self) -> None:
        """Cancel every child task and wait for their ends."""
        while self._children:
            children = list(self._children)
            for child in children:
                child.cancel()
            await asyncio.gather(*children, return_exceptions=True)
            self._children.difference_update(children)


def answer(envelope: Envelope, result: Any) -> None:
    """Give the envelope's sender its answer, if it still waits for one."""
    if envelope.reply is not None and not envelope.reply.done():
        envelope.reply.set_result(result)
