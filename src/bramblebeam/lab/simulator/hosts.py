"""The machines of a simulation, and which of them the running code belongs to."""

from __future__ import annotations

import asyncio
import contextvars
import math
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

CURRENT_HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)


class Host:
    """One life of one process on a machine of its own. A restart makes a new `Host`.

    `rate` and `offset` tell its monotonic clock from the simulation's: rate * time + offset.
    """

    def __init__(
        self, name: str, zone: str, address: str, rate: float = 1.0, offset: float = 0.0
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.rate = rate
        self.offset = offset
        self.alive = True
        self.paused = False
        self.deferred: list[asyncio.Handle] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_HOST.set, self)

    def clock(self, time: float) -> float:
        """Return what this machine's monotonic clock shows at a time of the simulation."""
        return time * self.rate + self.offset

    def simulation_time(self, clock: float) -> float:
        """Return the first time of the simulation at which this machine's clock shows `clock`.

        Never earlier by rounding: a timer that found its time not come would be set for ever.
        """
        time = (clock - self.offset) / self.rate
        while self.clock(time) < clock:
            time = math.nextafter(time, math.inf)
        return time

    def run(self, call: Callable[..., T], *arguments: Any) -> T:
        """Call a function as code of this host."""
        return self.context.copy().run(call, *arguments)

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a task as code of this host."""
        return self.run(asyncio.get_running_loop().create_task, work)
