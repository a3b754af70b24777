"""Enforces deadlines with one shared timer, which is cheaper than a timer for each.

`asyncio.timeout_at` costs about 9 us, more than the rest of a statement's bookkeeping. Statement
deadlines are long, so they may be enforced slightly late.
"""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar

CHECK_INTERVAL = 0.02
"""Time between checks: a deadline is enforced at most this late (seconds)."""

T = TypeVar("T")


class Deadlines:
    """Deadlines of the tasks in progress on one event loop."""

    def __init__(self) -> None:
        self._deadlines: dict[asyncio.Task[Any], float] = {}
        self._expired: set[asyncio.Task[Any]] = set()
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, work: Awaitable[T], deadline: float) -> T:
        """Await `work`; at `deadline` (loop time) cancel it and raise TimeoutError."""
        task = asyncio.current_task()
        assert task is not None
        self._deadlines[task] = deadline
        if self._timer is None:
            self._timer = task.get_loop().call_later(CHECK_INTERVAL, self._check)
        try:
            return await work
        except asyncio.CancelledError:
            if task in self._expired and task.uncancel() == 0:
                raise TimeoutError from None
            raise
        finally:
            del self._deadlines[task]
            self._expired.discard(task)

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for task, deadline in self._deadlines.items():
            if deadline <= now and task not in self._expired:
                self._expired.add(task)
                task.cancel()
        self._timer = loop.call_later(CHECK_INTERVAL, self._check) if self._deadlines else None
