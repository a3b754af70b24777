"""The machines of a simulation, and which of them the running code belongs to."""

from __future__ import annotations

import asyncio
import contextvars
import math
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

CURRENT_HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)


SHORTEST_WAIT = 1e-4
"""A clock with steps is looked at again after so long at the earliest: a turn takes as much (s)."""


class Host:
    """One life of one process on a machine of its own. A restart makes a new `Host`.

    `rate` and `offset` tell its monotonic clock from the simulation's: rate * time + offset. Code
    of the host sees it move in steps of `step` seconds, 0: exactly.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        rate: float = 1.0,
        offset: float = 0.0,
        step: float = 0.0,
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.rate = rate
        self.offset = offset
        self.step = step
        self.alive = True
        self.paused = False
        self.deferred: list[asyncio.Handle] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_HOST.set, self)

    def clock(self, time: float) -> float:
        """Return what this machine's monotonic clock shows at a time of the simulation."""
        exact = time * self.rate + self.offset
        return math.floor(exact / self.step) * self.step if self.step else exact

    def timer(self, clock: float, now: float) -> float:
        """Return when a timer comes that is set now for a time of this machine's clock.

        With steps it counts from the clock as it is seen, and comes when as much has passed: it
        does not wait for a step, and always lies ahead where its time has not come.
        """
        if not self.step:
            return self.simulation_time(clock)
        ahead = clock - self.clock(now)
        return now + max(ahead, SHORTEST_WAIT) / self.rate if ahead > 0 else now

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
