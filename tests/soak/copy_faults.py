"""Faults after which only one replica and the primary have the last acknowledged commits.

The other replica receives nothing meanwhile. The replica that has them ends, as planned or by a
crash, and the primary crashes. Both are back with their logs later.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from platform_standins.group import LineDatabase
from platform_standins.world import registration
from soak.deployment import Deployment
from soak.faults import Fault, leader_of

DRAIN_SECONDS = 1.6
"""How long a database that leaves serves on: longer than it stays in the nodes' directories."""
ALONE_SECONDS = (0.3, 0.8)
"""How long it alone receives, before its end."""
UNTIL_CRASH_SECONDS = (0.0, 0.6)
"""Time from its end to the primary's crash."""
ABSENT_SECONDS = (2.5, 4.0)
"""How long both are away: long enough for a change of primary."""
RESTART_SECONDS = (1.0, 2.0)
"""Time for nodes that are started anew to find the leader, before it crashes."""

End = Callable[[Deployment, str], Awaitable[None]]


async def _leave(world: Deployment, name: str) -> None:
    """Have a database announce that it leaves, and wait until the nodes give it no work."""
    world.states[name] = "draining"
    world.platform.put("servers", name, registration(world.group, name, "draining"))
    await asyncio.sleep(DRAIN_SECONDS)


async def _say_nothing(world: Deployment, name: str) -> None:
    """Have a database crash without notice."""


async def _end(world: Deployment, name: str) -> None:
    await world.crash(name)
    if world.platform.has("servers", name):
        world.platform.delete("servers", name)


@asynccontextmanager
async def _only_copy_away(
    world: Deployment, rng: random.Random, announce: End, restarts: bool
) -> AsyncIterator[None]:
    """Take the primary and the only replica that has its last commits away, and bring them back."""
    leader = leader_of(world.group)
    replicas = [member for member in world.group.members.values() if member is not leader]
    leaving, lagging = rng.sample(replicas, 2)
    await announce(world, leaving.name)
    lagging.replication_cut = True
    await asyncio.sleep(rng.uniform(*ALONE_SECONDS))
    await _end(world, leaving.name)
    if restarts:
        await asyncio.gather(*(node.process.kill() for node in world.nodes))
        await asyncio.gather(*(node.process.restart() for node in world.nodes))
        await asyncio.sleep(rng.uniform(*RESTART_SECONDS))
    await asyncio.sleep(rng.uniform(*UNTIL_CRASH_SECONDS))
    await _end(world, leader.name)
    yield
    await asyncio.sleep(rng.uniform(*ABSENT_SECONDS))
    await _bring_back(world, leaving)
    await _bring_back(world, leader)
    lagging.replication_cut = False
    world.group.replicate()


async def _bring_back(world: Deployment, database: LineDatabase) -> None:
    world.states.pop(database.name, None)
    await world.restart(database.name)


@asynccontextmanager
async def only_copy_leaves(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The replica leaves as planned."""
    async with _only_copy_away(world, rng, _leave, restarts=False):
        yield


@asynccontextmanager
async def only_copy_crashes(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The replica crashes."""
    async with _only_copy_away(world, rng, _say_nothing, restarts=False):
        yield


@asynccontextmanager
async def only_copy_unknown(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The replica leaves as planned, and all nodes are started anew before the primary crashes."""
    async with _only_copy_away(world, rng, _leave, restarts=True):
        yield


COPY_FAULTS: dict[str, Fault] = {
    found.__name__: found for found in (only_copy_leaves, only_copy_crashes, only_copy_unknown)
}
"""Played only on request, in groups with a synchronous replica."""
