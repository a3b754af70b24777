"""Faults that restart or recover a replica while a change of primary is in progress.

One node, cut off from the leader and from the other nodes, makes the change; the other nodes keep
using the leader. A member that is paused shows that the change is in progress, so that the fault
does not depend on a fixed delay.
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
from soak.process_faults import darkened

PAUSE_SECONDS = 4.0
"""Timeout of the wait for a paused member (seconds): another fault may prevent the change."""
POLL_SECONDS = 0.01
"""Interval at which the members are polled (seconds)."""
AFTER_PAUSE = (0.0, 1.2)
"""Delay from the pause to the replica's crash or recovery (seconds).

The range extends until the promotion takes effect.
"""
DOWNTIME = (0.02, 0.3)
"""Downtime of a process that restarts (seconds)."""


def _links_of_one_node(world: Deployment, leader: LineDatabase, rng: random.Random) -> list[Link]:
    isolated, *others = rng.sample(world.nodes, len(world.nodes))
    host = isolated.process.settings["ip_address"]
    links = [isolated.to_databases[leader.name], *isolated.to_nodes.values()]
    return links + [node.to_nodes[host] for node in others if host in node.to_nodes]


def _choose_replica(world: Deployment, leader: LineDatabase, rng: random.Random) -> LineDatabase:
    return rng.choice([found for found in world.group.members.values() if found is not leader])


async def _until_paused(world: Deployment) -> None:
    """Wait until a member is paused, for PAUSE_SECONDS at most."""
    polls = round(PAUSE_SECONDS / POLL_SECONDS)
    for _ in range(polls):
        if any(member.paused for member in world.group.members.values()):
            return
        await asyncio.sleep(POLL_SECONDS)


@asynccontextmanager
async def replica_starts_in_change(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A paused replica crashes and restarts before the change is complete."""
    leader = leader_of(world.group)
    replica = _choose_replica(world, leader, rng)
    async with darkened(world, _links_of_one_node(world, leader, rng)):
        await _until_paused(world)
        await asyncio.sleep(rng.uniform(*AFTER_PAUSE))
        await world.crash(replica.name)
        await asyncio.sleep(rng.uniform(*DOWNTIME))
        await world.restart(replica.name)
        yield


@asynccontextmanager
async def replica_back_in_change(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A replica that was down and so not paused returns before the change is complete."""
    leader = leader_of(world.group)
    replica = _choose_replica(world, leader, rng)
    await world.crash(replica.name)
    if world.platform.has("servers", replica.name):
        world.platform.delete("servers", replica.name)
    async with darkened(world, _links_of_one_node(world, leader, rng)):
        await _until_paused(world)
        await asyncio.sleep(rng.uniform(*AFTER_PAUSE))
        await world.restart(replica.name)
        yield


CHANGE_FAULTS: dict[str, Fault] = {
    found.__name__: found for found in (replica_starts_in_change, replica_back_in_change)
}
"""Played only on request, so that a seed's choice among the other faults does not change."""
