"""Faults, each with its beginning and its end; which come when follows from the seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

from platform_standins.cuts import cut, heal, keep_from, let_hear
from platform_standins.group import LineDatabase, LineGroup
from platform_standins.world import World

LASTS = (0.2, 2.5)
"""The least and the most that a fault lasts (seconds)."""
GAPS = (0.0, 0.8)
AT_ONCE = 2


def leader_of(group: LineGroup) -> LineDatabase:
    """The newest leader, or a member that leads no more where there is none now."""
    members = group.members.values()
    return max(members, key=lambda member: (member.is_primary, member.term))


def follower_of(world: World, rng: random.Random) -> LineDatabase:
    leader = leader_of(world.group)
    return rng.choice([found for found in world.group.members.values() if found is not leader])


@asynccontextmanager
async def dark_leader(world: World, rng: random.Random) -> AsyncIterator[None]:
    """The leader takes connections and says nothing."""
    leader = leader_of(world.group)
    leader.fault.silent = True
    yield
    leader.fault.silent = False


@asynccontextmanager
async def crashed_leader(world: World, rng: random.Random) -> AsyncIterator[None]:
    """The leader's process ends, and starts again with its log."""
    leader = leader_of(world.group)
    if not leader.serving:
        # It has crashed already, and will be started by whoever ended it.
        yield
        return
    await leader.crash()
    yield
    await leader.start()


@asynccontextmanager
async def dark_follower(world: World, rng: random.Random) -> AsyncIterator[None]:
    """A replica says nothing."""
    follower = follower_of(world, rng)
    follower.fault.silent = True
    yield
    follower.fault.silent = False


@asynccontextmanager
async def lagging_follower(world: World, rng: random.Random) -> AsyncIterator[None]:
    """A replica receives nothing for a while."""
    follower = follower_of(world, rng)
    follower.deaf = True
    yield
    follower.deaf = False
    world.group.replicate()


@asynccontextmanager
async def cut_node(world: World, rng: random.Random) -> AsyncIterator[None]:
    """A node reaches only a part of the group."""
    node = rng.choice(world.nodes)
    names = sorted(world.group.members)
    cut(node, *rng.sample(names, rng.randint(1, len(names) - 1)))
    yield
    heal(node)


@asynccontextmanager
async def split_group(world: World, rng: random.Random) -> AsyncIterator[None]:
    """The leader and one node are on one side, the replicas and the other nodes on the other."""
    leader = leader_of(world.group)
    here, *others = rng.sample(world.nodes, len(world.nodes))
    leader.deaf = True
    cut(here, *(name for name in world.group.members if name != leader.name))
    for node in others:
        cut(node, leader.name)
        keep_from(node, here.gateway.context.owners.location.node)
    yield
    for node in world.nodes:
        heal(node)
        let_hear(node)
    leader.deaf = False


@asynccontextmanager
async def lost_answers(world: World, rng: random.Random) -> AsyncIterator[None]:
    """The leader runs writes and commits, and their answers are lost."""
    leader_of(world.group).fault.lose_answers += rng.randint(1, 3)
    leader_of(world.group).fault.lose_commits += rng.randint(0, 2)
    yield


@asynccontextmanager
async def busy_database(world: World, rng: random.Random) -> AsyncIterator[None]:
    """A database refuses some statements, as it is full."""
    rng.choice(list(world.group.members.values())).fault.busy += rng.randint(1, 20)
    yield


@asynccontextmanager
async def store_down(world: World, rng: random.Random) -> AsyncIterator[None]:
    """The store refuses every call."""
    world.platform.fault.status = rng.choice((429, 503))
    yield
    world.platform.fault.status = 0


@asynccontextmanager
async def store_loses(world: World, rng: random.Random) -> AsyncIterator[None]:
    """Writes to the store and promotions are done and not answered; history is forgotten."""
    world.platform.fault.lose += rng.randint(1, 3)
    world.platform.fault.lose_orders += rng.randint(0, 1)
    world.platform.forget_history()
    yield


Fault = Callable[[Any, random.Random], AbstractAsyncContextManager[None]]
"""Takes the world that it strikes: nodes in the tests' process, or processes of their own."""

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
    """Play faults for a while, `at_once` at a time, each ended in the end; return their names."""
    played: list[str] = []
    deadline = asyncio.get_running_loop().time() + seconds
    seeds = [rng.random() for _ in range(at_once)]
    series = [
        _play_one_by_one(world, random.Random(seed), deadline, faults, lasts, played)
        for seed in seeds
    ]
    await asyncio.gather(*series)
    return played


async def _play_one_by_one(
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
