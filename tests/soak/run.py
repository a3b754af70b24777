"""One run of the in-process soak: nodes, callers, faults by seed and checks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable
from typing import NamedTuple

from platform_standins.coarse_clock import STEPS, run_with_coarse_clock
from platform_standins.group import LineGroup
from platform_standins.records import spans_of
from platform_standins.world import WAIT_TIMEOUT, joined_world
from soak.callers import CalledNodes, Caller
from soak.faults import leader_of, play
from soak.history import History
from soak.judge import Judge, Violation
from soak.owed import Logs

NODES = 3
FEW_CONNECTIONS, MANY_CONNECTIONS = 10, 36
"""Connection limits of a database. With few, two nodes serve the group and the third forwards."""
SESSIONS = 6
"""Number of writers."""
READERS = 2
"""Number of readers per route."""
ROUTES = {
    "session": {"route_type": "self_managed", "max_staleness_ms": 2_500},
    "latest": {"route_type": "primary"},
    "bounded": {"route_type": "bounded", "max_staleness_ms": 1_500},
}
WRITERS_ROUTES = ("session", "session", "latest", "bounded")


class Report(NamedTuple):
    """Result of a run."""

    seed: int
    faults: list[str]
    attempts: int
    succeeded: int
    promotions: int
    violations: list[Violation]


def clock_step(seed: int) -> float:
    """Return the event loop's clock resolution that a seed chooses (seconds), 0 for exact."""
    return random.Random(f"clock {seed}").choice(STEPS)


def run_by_coarse_clock(seed: int, seconds: float) -> Report:
    """Play one seed like `run`, on a clock with the resolution that the seed chooses."""
    return run_with_coarse_clock(run(seed, seconds), clock_step(seed))


class Callers(NamedTuple):
    """Writers, and readers of the writers' keys."""

    writers: list[Caller]
    readers: list[Caller]

    @property
    def history(self) -> History:
        """Return the attempts of all callers."""
        return [attempt for caller in (*self.writers, *self.readers) for attempt in caller.history]


async def run(seed: int, seconds: float) -> Report:
    """Play one seed. Raises TimeoutError if a writer is not served again after the faults."""
    rng = random.Random(seed)
    connections = rng.choice((FEW_CONNECTIONS, MANY_CONNECTIONS))
    async with joined_world(NODES, connections) as world:
        world.configure(2, **ROUTES)
        # Without it, a former primary keeps leading until it receives a step-down request.
        world.group.deposes = rng.random() < 0.5
        callers = make_callers(world, rng, SESSIONS)
        faults = await call_during(callers, play(world, rng, seconds))
        await served_again(callers)
        history = callers.history
        return Report(
            seed,
            faults,
            len(history),
            sum(attempt.succeeded for attempt in history),
            len(world.platform.promotions),
            judge(world.group, history),
        )


def make_callers(world: CalledNodes, rng: random.Random, sessions: int) -> Callers:
    """Return callers on all routes, each with its own random generator."""
    writers = [
        Caller(
            world,
            f"w{index}",
            WRITERS_ROUTES[index % len(WRITERS_ROUTES)],
            random.Random(rng.random()),
        )
        for index in range(sessions)
    ]
    readers = [
        Caller(world, f"r{index}-{name}", name, random.Random(rng.random()))
        for index in range(READERS)
        for name in ROUTES
    ]
    return Callers(writers, readers)


async def call_during(callers: Callers, faults: Awaitable[list[str]]) -> list[str]:
    """Run the callers until the faults are over; return the names of the faults."""
    is_over = False
    keys = [key for writer in callers.writers for key in writer.keys]
    calling = [writer.write_and_read(lambda: is_over) for writer in callers.writers]
    calling += [reader.read_others(keys, lambda: is_over) for reader in callers.readers]
    running = [asyncio.ensure_future(found) for found in calling]
    played = await faults
    is_over = True
    await asyncio.gather(*running)
    return played


async def served_again(callers: Callers) -> None:
    """Wait until a write of each writer is acknowledged. Raises TimeoutError."""
    await asyncio.gather(*(_served_again(writer) for writer in callers.writers))


async def _served_again(writer: Caller) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT):
        await writer.write_until_served()


def judge(group: LineGroup, history: History) -> list[Violation]:
    """Return the violations in a history."""
    last = leader_of(group).log
    surviving = [(key, int(value)) for entry in last for key, value in entry.values]
    logs = Logs(group.commits, group.runs, group.promotions, spans_of(last))
    found = Judge(group.commits, surviving, logs, keeps_all=group.sync_replicas > 0)
    return list(found.violations(history))
