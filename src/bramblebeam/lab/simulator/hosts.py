"""Simulated hosts, and the context variable with the host that the current code runs on."""

from __future__ import annotations

import asyncio
import contextvars
import math
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

CURRENT_HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)


MIN_TIMER_DELAY = 1e-4
"""Shortest delay of a timer on a stepped clock (seconds), about one loop iteration."""


class Host:
    """One incarnation of one process on a machine of its own. A restart creates a new `Host`.

    Its monotonic clock is `rate` * simulation time + `offset`, rounded down to a multiple of `step`
    seconds; 0 means no rounding.
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
        """Return the reading of this host's monotonic clock at a simulation time."""
        exact = time * self.rate + self.offset
        return math.floor(exact / self.step) * self.step if self.step else exact

    def timer(self, clock: float, now: float) -> float:
        """Return the simulation time at which a timer set now for a time of this clock fires.

        On a stepped clock the delay is measured from the current rounded reading, so the timer does
        not wait for the next step, and a timer that is not due yet always fires in the future.
        """
        if not self.step:
            return self.simulation_time(clock)
        ahead = clock - self.clock(now)
        return now + max(ahead, MIN_TIMER_DELAY) / self.rate if ahead > 0 else now

    def simulation_time(self, clock: float) -> float:
        """Return the first simulation time at which this host's clock reads `clock`.

        The result is never early by rounding: a timer that fires before it is due would be set
        again without end.
        """
        time = (clock - self.offset) / self.rate
        while self.clock(time) < clock:
            time = math.nextafter(time, math.inf)
        return time

    def run(self, call: Callable[..., T], *arguments: Any) -> T:
        """Call a function in this host's context."""
        return self.context.copy().run(call, *arguments)

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task in this host's context."""
        return self.run(asyncio.get_running_loop().create_task, work)
