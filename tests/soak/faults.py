"""Faults of the in-process soak and the player that chooses them by seed.

A fault is an async context manager: it injects the fault on entry and removes it on exit.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

from platform_standins.cuts import cut, drop_step_downs, heal, restore_step_downs
from platform_standins.group import LineDatabase, LineGroup
from platform_standins.world import World

LASTS = (0.2, 2.5)
"""Minimum and maximum duration of a fault (seconds)."""
GAPS = (0.0, 0.8)
"""Minimum and maximum delay between two faults of a sequence (seconds)."""
AT_ONCE = 2
"""Number of sequences of faults that are played in parallel."""


def leader_of(group: LineGroup) -> LineDatabase:
    """Return the leader with the newest term or, without any leader, the newest member."""
    members = group.members.values()
    return max(members, key=lambda member: (member.is_primary, member.term))


def follower_of(world: World, rng: random.Random) -> LineDatabase:
    """Return a random member that is not the leader."""
    leader = leader_of(world.group)
    return rng.choice([found for found in world.group.members.values() if found is not leader])


@asynccontextmanager
async def dark_leader(world: World, rng: random.Random) -> AsyncIterator[None]:
    """The leader accepts connections and answers nothing."""
    leader = leader_of(world.group)
    leader.fault.unresponsive = True
    yield
    leader.fault.unresponsive = False


@asynccontextmanager
async def crashed_leader(world: World, rng: random.Random) -> AsyncIterator[None]:
    """The leader crashes and restarts with its log."""
    leader = leader_of(world.group)
    if not leader.serving:
        # Another fault has crashed it and will restart it.
        yield
        return
    await leader.crash()
    yield
    await leader.start()


@asynccontextmanager
async def dark_follower(world: World, rng: random.Random) -> AsyncIterator[None]:
    """A replica answers nothing."""
    follower = follower_of(world, rng)
    follower.fault.unresponsive = True
    yield
    follower.fault.unresponsive = False


@asynccontextmanager
async def lagging_follower(world: World, rng: random.Random) -> AsyncIterator[None]:
    """A replica receives no log entries for a while."""
    follower = follower_of(world, rng)
    follower.replication_cut = True
    yield
    follower.replication_cut = False
    world.group.replicate()


@asynccontextmanager
async def cut_node(world: World, rng: random.Random) -> AsyncIterator[None]:
    """A node loses its connections to some members of the group."""
    node = rng.choice(world.nodes)
    names = sorted(world.group.members)
    cut(node, *rng.sample(names, rng.randint(1, len(names) - 1)))
    yield
    heal(node)


@asynccontextmanager
async def split_group(world: World, rng: random.Random) -> AsyncIterator[None]:
    """A partition separates the leader and one node from the replicas and the other nodes."""
    leader = leader_of(world.group)
    isolated, *others = rng.sample(world.nodes, len(world.nodes))
    leader.replication_cut = True
    cut(isolated, *(name for name in world.group.members if name != leader.name))
    for node in others:
        cut(node, leader.name)
        drop_step_downs(node, isolated.gateway.context.owners.location.node)
    yield
    for node in world.nodes:
        heal(node)
        restore_step_downs(node)
    leader.replication_cut = False


@asynccontextmanager
async def lost_answers(world: World, rng: random.Random) -> AsyncIterator[None]:
    """The leader executes writes and commits whose answers are lost."""
    leader_of(world.group).fault.lose_answers += rng.randint(1, 3)
    leader_of(world.group).fault.lose_commits += rng.randint(0, 2)
    yield


@asynccontextmanager
async def busy_database(world: World, rng: random.Random) -> AsyncIterator[None]:
    """A database refuses some statements as overloaded."""
    rng.choice(list(world.group.members.values())).fault.busy += rng.randint(1, 20)
    yield


@asynccontextmanager
async def store_down(world: World, rng: random.Random) -> AsyncIterator[None]:
    """The store refuses every request."""
    world.platform.fault.status = rng.choice((429, 503))
    yield
    world.platform.fault.status = 0


@asynccontextmanager
async def store_loses(world: World, rng: random.Random) -> AsyncIterator[None]:
    """Some writes and promotions get no answer, and the store forgets its event history.

    The writes are done; the promotions take effect with the next one.
    """
    world.platform.fault.unanswered_writes += rng.randint(1, 3)
    world.platform.fault.unanswered_promotions += rng.randint(0, 1)
    world.platform.forget_history()
    yield


Fault = Callable[[Any, random.Random], AbstractAsyncContextManager[None]]
"""Takes the deployment to act on: a `World` in process or a `Deployment` of processes."""

FAULTS: dict[str, Fault] = {
    found.__name__: found
    for found in (
        dark_leader,
        crashed_leader,
        dark_follower,
        lagging_follower,
        cut_node,
        split_group,
        lost_answers,
        busy_database,
        store_down,
        store_loses,
    )
}


async def play(
    world: World,
    rng: random.Random,
    seconds: float,
    faults: Mapping[str, Fault] = FAULTS,
    at_once: int = AT_ONCE,
    lasts: tuple[float, float] = LASTS,
) -> list[str]:
    """Play random faults for `seconds` in `at_once` parallel sequences; return their names.

    Every fault has been removed when this returns.
    """
    played: list[str] = []
    deadline = asyncio.get_running_loop().time() + seconds
    seeds = [rng.random() for _ in range(at_once)]
    sequences = [
        _play_sequence(world, random.Random(seed), deadline, faults, lasts, played)
        for seed in seeds
    ]
    await asyncio.gather(*sequences)
    return played


async def _play_sequence(
    world: World,
    rng: random.Random,
    deadline: float,
    faults: Mapping[str, Fault],
    lasts: tuple[float, float],
    played: list[str],
) -> None:
    while asyncio.get_running_loop().time() < deadline:
        name = rng.choice(list(faults))
        played.append(name)
        async with faults[name](world, rng):
            await asyncio.sleep(rng.uniform(*lasts))
        await asyncio.sleep(rng.uniform(*GAPS))
