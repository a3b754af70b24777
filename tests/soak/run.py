"""One run of the soak: nodes, callers, faults by seed, and the judgement."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

from platform_standins.coarse_clock import STEPS, run_coarsely
from platform_standins.world import FAR_TOO_LONG, World, joined_world
from soak.callers import Caller
from soak.faults import play
from soak.history import History
from soak.judge import Judge, Violation

NODES = 3
FEW_CONNECTIONS, MANY_CONNECTIONS = 10, 36
"""With few of them two nodes serve the group, and the third one forwards."""
SESSIONS = 6
ROUTES = {
    "session": {"route_type": "self_managed", "max_staleness_ms": 2_500},
    "latest": {"route_type": "primary"},
    "bounded": {"route_type": "bounded", "max_staleness_ms": 1_500},
}


class Report(NamedTuple):
    """What a run came to."""

    seed: int
    faults: list[str]
    attempts: int
    succeeded: int
    promotions: int
    violations: list[Violation]


def clock_step(seed: int) -> float:
    """Return the step of the loop's clock in a seed's play (seconds), 0: exact."""
    return random.Random(f"clock {seed}").choice(STEPS)


def run_by_coarse_clock(seed: int, seconds: float) -> Report:
    """Play one seed as `run`, by a clock that moves in steps of the seed's choice."""
    return run_coarsely(run(seed, seconds), clock_step(seed))


async def run(seed: int, seconds: float) -> Report:
    """Play one seed. Raises TimeoutError where a caller is not served again after the faults."""
    rng = random.Random(seed)
    connections = rng.choice((FEW_CONNECTIONS, MANY_CONNECTIONS))
    async with joined_world(NODES, connections) as world:
        world.configure(2, **ROUTES)
        # Where it does not depose, a former primary leads on until it is told to step down.
        world.group.deposes = rng.random() < 0.5
        return await _play(world, seed, rng, seconds)


async def _play(world: World, seed: int, rng: random.Random, seconds: float) -> Report:
    is_over = False
    routes = ["session", "session", "latest", "bounded"]
    writers = [
        Caller(world, f"w{place}", routes[place % len(routes)], random.Random(rng.random()))
        for place in range(SESSIONS)
    ]
    readers = [Caller(world, f"r-{name}", name, random.Random(rng.random())) for name in ROUTES]
    keys = [writer.name for writer in writers]
    running = [
        *(asyncio.ensure_future(writer.write_and_read(lambda: is_over)) for writer in writers),
        *(asyncio.ensure_future(reader.read_others(keys, lambda: is_over)) for reader in readers),
    ]
    faults = await play(world, rng, seconds)
    is_over = True
    await asyncio.gather(*running)
    await asyncio.gather(*(_served_again(writer) for writer in writers))
    history = [attempt for caller in (*writers, *readers) for attempt in caller.history]
    return Report(
        seed,
        faults,
        len(history),
        sum(attempt.succeeded for attempt in history),
        len(world.platform.promotions),
        _judge(world, history),
    )


async def _served_again(writer: Caller) -> None:
    async with asyncio.timeout(FAR_TOO_LONG):
        await writer.write_until_served()


def _judge(world: World, history: History) -> list[Violation]:
    surviving = [
        (key, int(value)) for entry in world.group.primary.log for key, value in entry.values
    ]
    return list(Judge(world.group.commits, surviving).violations(history))
