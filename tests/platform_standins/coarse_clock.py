"""An event loop whose clock moves in steps.

uvloop reads its clock anew each time and cuts the reading to milliseconds, so that two events may
have the same one. With larger steps that happens often. Timers keep to the exact clock, so that
nobody waits busily for the next step.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import uvloop

T = TypeVar("T")

STEPS = (0.0, 0.001, 0.01, 0.1)
"""Steps of the clock that are worth a run (seconds); 0: uvloop's own."""


def cut(time: float, step: float) -> float:
    """Return the last step of a clock that is not after `time`; without steps, `time`."""
    return time if not step else math.floor(time / step) * step


class CoarseLoop(uvloop.Loop):  # type: ignore[misc]
    """uvloop with a coarser clock. `step`: seconds."""

    step = 0.0

    def time(self) -> float:
        """Return the clock as callbacks see it (seconds)."""
        return cut(super().time(), self.step)


def coarse_loop(step: float) -> Callable[[], CoarseLoop]:
    """Return a factory of loops whose clock moves in steps of so many seconds."""

    def make() -> CoarseLoop:
        loop = CoarseLoop()
        loop.step = step
        return loop

    return make


def run_coarsely(work: Coroutine[Any, Any, T], step: float = 0.0) -> T:
    """Run on a loop of its own whose clock moves in steps."""
    with asyncio.Runner(loop_factory=coarse_loop(step)) as runner:
        return runner.run(work)
