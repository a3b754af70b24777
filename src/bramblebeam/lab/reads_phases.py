"""The phases of the replica read measurement: the fault in each, and its duration."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bramblebeam.lab.run import Run
from bramblebeam.lab.scenario import Load

CALM_SECONDS = 8.0
LAG_SECONDS = 8.0
BURST_SECONDS = 10.0
AFTER_CHANGE_SECONDS = 8.0
PAUSE_SECONDS = 1.5
"""Interval between two phases; its reads count for neither."""

LAG_BEYOND_BOUND_MS = 3_000
LAG_WITHIN_BOUND_MS = 200
BURST_FACTOR = 5.0

PHASES: tuple[tuple[str, float], ...] = (
    ("calm", CALM_SECONDS),
    ("one replica beyond the bound", LAG_SECONDS),
    ("all replicas 200 ms behind", LAG_SECONDS),
    ("reads times 5", BURST_SECONDS),
    ("after the loss of the primary", AFTER_CHANGE_SECONDS),
)
DURATION_SECONDS = sum(seconds + PAUSE_SECONDS for _, seconds in PHASES)


class PhaseSpan(NamedTuple):
    """Begin and end of a phase (monotonic time in seconds)."""

    phase: str
    begin: float
    end: float


def more_reads(load: Load, factor: float) -> tuple[Load, float]:
    """Return the load with `factor` times the reads, and the factor of its statement rate."""
    rate = 1 - load.read_share + factor * load.read_share
    share = factor * load.read_share / rate
    return load.model_copy(update={"read_share": share}), rate


class PhaseRunner:
    """Runs the phases one after another while the load runs."""

    def __init__(self, run: Run) -> None:
        self.spans: list[PhaseSpan] = []
        self._run = run
        self._group = run.scenario.topology.groups[0]
        steps: tuple[Callable[[float], Awaitable[None]], ...] = (
            asyncio.sleep,
            self._one_lags,
            self._all_lag,
            self._burst,
            self._lose_primary,
        )
        self._steps = tuple(zip(PHASES, steps, strict=True))

    async def run(self) -> None:
        """Run all phases and record their spans."""
        for (name, seconds), step in self._steps:
            begin = time.monotonic()
            await step(seconds)
            self.spans.append(PhaseSpan(name, begin, begin + seconds))
            await asyncio.sleep(PAUSE_SECONDS)

    async def _replicas(self) -> list[str]:
        primary = await self._run.control.primary_of(self._group.name)
        return [member.instance for member in self._group.members if member.instance != primary]

    async def _one_lags(self, seconds: float) -> None:
        await self._lag((await self._replicas())[:1], LAG_BEYOND_BOUND_MS, seconds)

    async def _all_lag(self, seconds: float) -> None:
        await self._lag(await self._replicas(), LAG_WITHIN_BOUND_MS, seconds)

    async def _lag(self, replicas: list[str], lag_ms: int, seconds: float) -> None:
        control = self._run.control
        for replica in replicas:
            await control.fault_database(replica, lag_ms=lag_ms)
        await asyncio.sleep(seconds)
        for replica in replicas:
            await control.fault_database(replica, lag_ms=0)

    async def _burst(self, seconds: float) -> None:
        load = self._run.load
        normal_load = load.load
        load.load, load.rate_factor = more_reads(normal_load, BURST_FACTOR)
        await asyncio.sleep(seconds)
        load.load, load.rate_factor = normal_load, 1.0

    async def _lose_primary(self, seconds: float) -> None:
        """Kill the primary and restart its server at the end of the phase."""
        run = self._run
        primary = await run.control.primary_of(self._group.name)
        await run.recorder.fetch(primary)
        process = run.cluster.databases[primary]
        process.kill()
        await process.wait()
        await asyncio.sleep(seconds)
        await run.cluster.start_database(primary)
