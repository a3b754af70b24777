"""An event loop with a coarse clock.

uvloop reads its clock on every call and truncates it to milliseconds, so that two events may have
the same time. With a coarser resolution this happens often. Timers use the exact clock, so that no
caller busy-waits for the next tick.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import uvloop

T = TypeVar("T")

STEPS = (0.0, 0.001, 0.01, 0.1)
"""Clock resolutions to test with (seconds); 0 is uvloop's own."""


def round_down(time: float, step: float) -> float:
    """Round `time` down to a multiple of `step`; return it unchanged if `step` is 0."""
    return time if not step else math.floor(time / step) * step


class CoarseLoop(uvloop.Loop):  # type: ignore[misc]
    """uvloop with a coarse clock. `step`: resolution in seconds."""

    step = 0.0

    def time(self) -> float:
        """Return the coarse time (seconds)."""
        return round_down(super().time(), self.step)


def coarse_loop(step: float) -> Callable[[], CoarseLoop]:
    """Return a factory of event loops with a clock resolution of `step` seconds."""

    def make() -> CoarseLoop:
        loop = CoarseLoop()
        loop.step = step
        return loop

    return make


def run_with_coarse_clock(work: Coroutine[Any, Any, T], step: float = 0.0) -> T:
    """Run `work` on a new event loop with a clock resolution of `step` seconds."""
    with asyncio.Runner(loop_factory=coarse_loop(step)) as runner:
        return runner.run(work)
