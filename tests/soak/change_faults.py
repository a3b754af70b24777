"""Databases that start again, or are back, while a change of primary is under way.

The change is made by one node that is cut off from the leader and from the other nodes; these go on
using the leader. The moment is taken from the databases, not from a clock: a member is paused.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from platform_standins.group import LineDatabase
from soak.deployment import Deployment
from soak.faults import Fault, leader_of
from soak.links import Link
from soak.process_faults import dark

PAUSE_SECONDS = 4.0
"""So long a pause is waited for: another fault may keep the change from beginning."""
LOOK_SECONDS = 0.01
AFTER_PAUSE = (0.0, 1.2)
"""When the replica's process ends, or is back (seconds): up to the effect of the order."""
AWAY = (0.02, 0.3)
"""How long a process that starts again is away (seconds)."""


def _links_of_one_node(world: Deployment, leader: LineDatabase, rng: random.Random) -> list[Link]:
    here, *others = rng.sample(world.nodes, len(world.nodes))
    host = here.process.settings["ip_address"]
    links = [here.to_databases[leader.name], *here.to_nodes.values()]
    return links + [node.to_nodes[host] for node in others if host in node.to_nodes]


def _replica(world: Deployment, leader: LineDatabase, rng: random.Random) -> LineDatabase:
    return rng.choice([found for found in world.group.members.values() if found is not leader])


async def _until_paused(world: Deployment) -> None:
    """Wait until a change is under way, for a while at most."""
    looks = round(PAUSE_SECONDS / LOOK_SECONDS)
    for _ in range(looks):
        if any(member.paused for member in world.group.members.values()):
            return
        await asyncio.sleep(LOOK_SECONDS)


@asynccontextmanager
async def replica_starts_in_change(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A replica that was paused ends, and starts again before the change is over."""
    leader = leader_of(world.group)
    replica = _replica(world, leader, rng)
    async with dark(world, _links_of_one_node(world, leader, rng)):
        await _until_paused(world)
        await asyncio.sleep(rng.uniform(*AFTER_PAUSE))
        await world.crash(replica.name)
        await asyncio.sleep(rng.uniform(*AWAY))
        await world.revive(replica.name)
        yield


@asynccontextmanager
async def replica_back_in_change(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A replica that had ended, and was not paused, is back before the change is over."""
    leader = leader_of(world.group)
    replica = _replica(world, leader, rng)
    await world.crash(replica.name)
    if world.platform.has("servers", replica.name):
        world.platform.delete("servers", replica.name)
    async with dark(world, _links_of_one_node(world, leader, rng)):
        await _until_paused(world)
        await asyncio.sleep(rng.uniform(*AFTER_PAUSE))
        await world.revive(replica.name)
        yield


CHANGE_FAULTS: dict[str, Fault] = {
    found.__name__: found for found in (replica_starts_in_change, replica_back_in_change)
}
"""Played only where they are asked for: what a seed chooses among the others stays as it is."""
