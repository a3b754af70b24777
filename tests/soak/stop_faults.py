"""Planned stops of nodes: in series, overlapping, signalled twice, beside other planned work."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from platform_standins.world import registration
from soak.deployment import DeployedNode, Deployment
from soak.faults import Fault, leader_of
from soak.node_process import GRACE_SECONDS
from soak.process_faults import DRAIN_SECONDS

GAPS = (0.3, 2.0)
"""Minimum and maximum delay between two stops of a series (seconds)."""
LONG_SHARE = 0.3
"""Share of the statements that run long, while some do."""


async def _stop_in_series(world: Deployment, rng: random.Random, most: int) -> None:
    """Stop and restart up to `most` nodes, the next before the last one has exited."""
    nodes = rng.sample(world.nodes, rng.randint(min(2, most), most))
    gaps = [rng.uniform(*GAPS) for _ in nodes]
    stops: list[asyncio.Future[None]] = []
    for node, gap in zip(nodes, gaps, strict=True):
        stops.append(asyncio.ensure_future(_stop_and_restart(node)))
        await asyncio.sleep(gap)
    await asyncio.gather(*stops)


async def _stop_and_restart(node: DeployedNode) -> None:
    await node.process.stop()
    await node.process.restart()


@asynccontextmanager
async def stops_in_series(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Several nodes, never all, are stopped and restarted, so that their stops overlap."""
    await _stop_in_series(world, rng, len(world.nodes) - 1)
    yield


@asynccontextmanager
async def stopped_twice(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A node gets a second SIGTERM while it stops."""
    async with _signalled_beside_stop(world, rng, signal.SIGTERM, (0.0, GRACE_SECONDS)):
        yield


@asynccontextmanager
async def stopped_and_reloaded(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A node gets a SIGHUP shortly before its SIGTERM, together with it or after it."""
    async with _signalled_beside_stop(world, rng, signal.SIGHUP, (-0.2, GRACE_SECONDS / 2)):
        yield


@asynccontextmanager
async def _signalled_beside_stop(
    world: Deployment, rng: random.Random, number: signal.Signals, delays: tuple[float, float]
) -> AsyncIterator[None]:
    node = rng.choice(world.nodes)
    delay = rng.choice((0.0, rng.uniform(*delays)))
    process_number = node.process.start_count
    if delay < 0:
        node.process.send(number)
        await asyncio.sleep(-delay)
    stop = asyncio.ensure_future(node.process.stop())
    await asyncio.sleep(max(0.0, delay))
    if delay >= 0 and node.process.start_count == process_number:
        node.process.send(number)
    await stop
    await node.process.restart()
    yield


@asynccontextmanager
async def stops_beside_change(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The primary leaves as planned and returns, while nodes are stopped."""
    member = leader_of(world.group).name
    delays = [rng.uniform(0.0, DRAIN_SECONDS), rng.uniform(0.0, 1.0)]
    stopping = asyncio.ensure_future(_stop_later(world, rng, delays[0]))
    if member not in world.states:
        world.states[member] = "draining"
        world.platform.put("servers", member, registration(world.group, member, "draining"))
        await asyncio.sleep(DRAIN_SECONDS + delays[1])
        await world.crash(member)
        await stopping
        del world.states[member]
        await world.restart(member)
    await stopping
    yield


async def _stop_later(world: Deployment, rng: random.Random, delay: float) -> None:
    await asyncio.sleep(delay)
    await _stop_in_series(world, rng, 2)


@asynccontextmanager
async def stops_beside_long_statements(
    world: Deployment, rng: random.Random
) -> AsyncIterator[None]:
    """Nodes are stopped while some statements take most of their time at the databases."""
    seed = rng.random()

    def work(text: str) -> float:
        found = random.Random(f"{seed} {text}")
        if found.random() < LONG_SHARE:
            return found.uniform(0.2, 0.9) * world.timeout
        return world.usual_work(text)

    world.group.work = work
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    await _stop_in_series(world, rng, 2)
    world.group.work = world.usual_work
    yield


STOP_FAULTS: dict[str, Fault] = {
    found.__name__: found
    for found in (
        stops_in_series,
        stopped_twice,
        stopped_and_reloaded,
        stops_beside_change,
        stops_beside_long_statements,
    )
}
"""Played only on request, so that a seed's choice among the other faults does not change."""
