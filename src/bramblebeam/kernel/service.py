"""Base class of services: one task that owns its state and handles messages from its mailbox."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any, ClassVar

from bramblebeam.kernel.mailbox import Envelope, Mailbox

if TYPE_CHECKING:
    from bramblebeam.kernel.kernel import Kernel

DEFAULT_MAILBOX_CAPACITY = 10_000


class Service:
    """A named service.

    Override `start` (open sockets), `handle` (one message at a time) and `stop` (close). `handle`
    must not wait long: long work runs in a task started by `spawn`, which answers through the
    envelope. `start` may run again after a failure. When a task ends with an error, the kernel
    cancels the children, calls `stop`, fails unanswered messages with `ServiceFailedError`, and
    restarts the service.
    """

    name: ClassVar[str]
    mailbox_capacity: ClassVar[int] = DEFAULT_MAILBOX_CAPACITY

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.mailbox = Mailbox(self.mailbox_capacity)
        self._children: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Open the service's resources. An exception here counts as a failure of the service."""

    async def handle(self, envelope: Envelope) -> None:
        """Handle one message; set the result of `envelope.reply`, now or from a child task."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Prepare a planned stop: hand over ownership and finish work in flight."""

    async def stop(self) -> None:
        """Close the service's resources."""

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            await self.handle(await self.mailbox.get())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a child task that ends with the service; if it fails, the service fails."""
        task = asyncio.get_running_loop().create_task(work)
        self._children.add(task)
        task.add_done_callback(self._child_done)
        return task

    def _child_done(self, task: asyncio.Task[Any]) -> None:
        self._children.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.kernel.report_failure(self.name, task.exception())

    async def cancel_children(self) -> None:
        """Cancel all child tasks and wait until they have ended."""
        while self._children:
            children = list(self._children)
            for child in children:
                child.cancel()
            await asyncio.gather(*children, return_exceptions=True)
            self._children.difference_update(children)


def answer(envelope: Envelope, result: Any) -> None:
    """Answer the envelope's sender, if it still waits."""
    if envelope.reply is not None and not envelope.reply.done():
        envelope.reply.set_result(result)
