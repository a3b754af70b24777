"""Faults from outside the processes: signals, links, databases, store, configuration."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

from platform_standins.proxy import Direction, ProxiedConnection
from platform_standins.world import registration
from soak import faults
from soak.config_probe import marked_route
from soak.deployment import DeployedNode, Deployment
from soak.faults import Fault, follower_of, leader_of
from soak.links import Link

SOME = 0.4
"""The part of nodes or links that a fault of several strikes."""
DARK_SECONDS = 3.0
"""After so long a database ends a connection whose far end is dark (the users' pages)."""
DATABASE_DELAYS = (0.002, 0.04)
"""Of bytes on the way to databases (seconds). More than the 0.1 s that the wait before a promotion
is longer than a lease would let a statement run late at a former leader."""
OTHER_DELAYS = (0.01, 0.4)
STORE_DELAYS = (0.2, 2.5)
"""How late the store's answers are (seconds): its callers wait for 1 s."""
COPY_AGES = (0.2, 4.0)
"""How old the copy is from which the store comes back (seconds)."""
WRITES_SINCE_COPY = (0, 60)
"""Writes by others since the copy: by so many at least the count of revisions falls."""
AWAY_SECONDS = 0.5
"""For how long it is away before, at most."""
WRITTEN_AGAIN_AFTER = (0.0, 3.0)
"""When the operator and the databases write again what they had (seconds)."""
DRAIN_SECONDS = 2.0
"""How long a database serves on after it said that it leaves; the settings' drain_ms."""


def _some(found: list[DeployedNode], rng: random.Random) -> list[DeployedNode]:
    return rng.sample(found, max(1, round(len(found) * SOME)))


# Processes.


@asynccontextmanager
async def paused_node(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A process stands still for a while."""
    async with _paused([rng.choice(world.nodes)]):
        yield


@asynccontextmanager
async def paused_nodes(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Several processes stand still, or all of them."""
    async with _paused(rng.choice((_some(world.nodes, rng), world.nodes))):
        yield


@asynccontextmanager
async def stuttering_node(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A process is paused again and again for a tenth of a second or less."""
    node = rng.choice(world.nodes)
    stuttering = asyncio.ensure_future(_stutter(node, rng))
    yield
    stuttering.cancel()
    node.process.send(signal.SIGCONT)


async def _stutter(node: DeployedNode, rng: random.Random) -> None:
    while True:
        node.process.send(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.005, 0.1))
        node.process.send(signal.SIGCONT)
        await asyncio.sleep(rng.uniform(0.005, 0.1))


@asynccontextmanager
async def _paused(nodes: list[DeployedNode]) -> AsyncIterator[None]:
    for node in nodes:
        node.process.send(signal.SIGSTOP)
    yield
    for node in nodes:
        node.process.send(signal.SIGCONT)


@asynccontextmanager
async def killed_node(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A process is killed, and started again."""
    node = rng.choice(world.nodes)
    await node.process.kill()
    await node.process.restart()
    yield


@asynccontextmanager
async def killed_nodes(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Several processes are killed at the same moment, or all of them."""
    nodes = rng.choice((_some(world.nodes, rng), world.nodes))
    await asyncio.gather(*(node.process.kill() for node in nodes))
    yield
    await asyncio.gather(*(node.process.restart() for node in nodes))


@asynccontextmanager
async def stopped_node(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A process is stopped as planned, and started again."""
    node = rng.choice(world.nodes)
    await node.process.stop()
    await node.process.restart()
    yield


@asynccontextmanager
async def rolling_restart(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """One process after the other is stopped as planned and started again."""
    for node in _some(world.nodes, rng):
        await node.process.stop()
        await node.process.restart()
    yield


@asynccontextmanager
async def stopped_nodes(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Several processes are stopped as planned at the same moment."""
    nodes = _some(world.nodes, rng)
    await asyncio.gather(*(node.process.stop() for node in nodes))
    await asyncio.gather(*(node.process.restart() for node in nodes))
    yield


@asynccontextmanager
async def changed_settings(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The settings file changes, with or without a signal, and changes back."""
    node = rng.choice(world.nodes)
    bounds = node.process.settings["bounds"]
    for drain in (bounds["drain_ms"] + 500, bounds["drain_ms"]):
        bounds["drain_ms"] = drain
        node.process.write_settings()
        if rng.random() < 0.7:
            node.process.send(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0.0, 0.3))
    yield


# Links.


def _struck_links(world: Deployment, rng: random.Random) -> list[Link]:
    """Return the links of one node or of all: to databases, to the store, to nodes, or any."""
    nodes = rng.choice(([rng.choice(world.nodes)], world.nodes))
    kind = rng.choice(("databases", "store", "nodes", "all"))
    links: list[Link] = []
    for node in nodes:
        if kind == "databases":
            links += node.to_databases.values()
        elif kind == "store":
            links.append(node.to_store)
        elif kind == "nodes":
            links += node.to_nodes.values()
        else:
            links += node.links
    return links


def _drop_later(connections: Iterable[ProxiedConnection], world: Deployment) -> None:
    """Let databases end the connections whose far end they miss."""
    to_databases = {link for node in world.nodes for link in node.to_databases.values()}
    loop = asyncio.get_running_loop()
    for connection in connections:
        if connection.proxy in to_databases:
            loop.call_later(DARK_SECONDS, _drop_cut, connection)


def _drop_cut(connection: ProxiedConnection) -> None:
    if connection.cut:
        connection.drop_target()


@asynccontextmanager
async def silenced_links(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Open connections swallow everything for good; new ones work."""
    for link in _struck_links(world, rng):
        _drop_later(link.silence(), world)
    yield


@asynccontextmanager
async def links_cut_one_way(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Open connections swallow everything that goes one way, for good."""
    direction = rng.choice(list(Direction))
    for link in _struck_links(world, rng):
        link.cut(direction)
        _drop_later(list(link.connections), world)
    yield


@asynccontextmanager
async def reset_links(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Open connections are reset, also those of callers."""
    for link in [*_struck_links(world, rng), rng.choice(world.nodes).callers]:
        link.reset()
    yield


@asynccontextmanager
async def delayed_links(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Bytes are late for a while."""
    links = _struck_links(world, rng)
    to_databases = {link for node in world.nodes for link in node.to_databases.values()}
    for link in links:
        link.delay = rng.uniform(*(DATABASE_DELAYS if link in to_databases else OTHER_DELAYS))
    yield
    for link in links:
        link.delay = 0.0


@asynccontextmanager
async def dark_links(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A node is cut off from some of what it reaches."""
    node = rng.choice(world.nodes)
    async with dark(world, rng.sample(node.links, rng.randint(1, len(node.links)))):
        yield


@asynccontextmanager
async def split_group(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The leader and one node are on one side, the replicas and the other nodes on the other."""
    leader = leader_of(world.group)
    here, *others = rng.sample(world.nodes, len(world.nodes))
    host = here.process.settings["ip_address"]
    links = [link for name, link in here.to_databases.items() if name != leader.name]
    links += here.to_nodes.values()
    links += [node.to_databases[leader.name] for node in others]
    links += [node.to_nodes[host] for node in others if host in node.to_nodes]
    if rng.random() < 0.5:
        links.append(here.to_store)
    leader.island = 1
    async with dark(world, links):
        yield
    leader.island = 0
    world.group.replicate()


@asynccontextmanager
async def dark(world: Deployment, links: list[Link]) -> AsyncIterator[None]:
    """Links swallow everything for a while; databases end what they miss."""
    for link in links:
        _drop_later(list(link.connections), world)
        link.go_dark()
    yield
    for link in links:
        link.dark = False
        _drop_later(list(link.connections), world)


# Databases.


@asynccontextmanager
async def crashed_leader(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The leader's process ends, and starts again with its log."""
    async with _crashed(world, leader_of(world.group).name):
        yield


@asynccontextmanager
async def crashed_follower(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A replica's process ends, and starts again with its log."""
    async with _crashed(world, follower_of(world, rng).name):
        yield


@asynccontextmanager
async def _crashed(world: Deployment, member: str) -> AsyncIterator[None]:
    await world.crash(member)
    yield
    await world.revive(member)


@asynccontextmanager
async def dark_leader(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The leader hears nothing and says nothing, to nodes and to other databases."""
    leader = leader_of(world.group)
    leader.fault.silent = True
    leader.island = 1
    yield
    leader.fault.silent = False
    leader.island = 0
    world.group.replicate()


@asynccontextmanager
async def leaving_database(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A database says that it leaves, serves on for a while, ends, and comes back."""
    member = rng.choice(list(world.group.members))
    if member in world.states:
        yield
        return
    world.states[member] = "draining"
    if not world.platform.fault.status:
        world.platform.put("servers", member, registration(world.group, member, "draining"))
    await asyncio.sleep(DRAIN_SECONDS + rng.uniform(0.0, 1.0))
    await world.crash(member)
    yield
    del world.states[member]
    await world.revive(member)


# Store and configuration.


@asynccontextmanager
async def slow_store(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The store answers late."""
    world.platform.fault.delay = rng.uniform(*STORE_DELAYS)
    yield
    world.platform.fault.delay = 0.0


@asynccontextmanager
async def store_down(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The store refuses every call; at times all databases' entries go meanwhile."""
    async with faults.store_down(world, rng):  # type: ignore[arg-type]
        world.has_registry = rng.random() < 0.7
        yield
    world.has_registry = True


@asynccontextmanager
async def store_restored(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The store is away for a moment and comes back from a copy. What others wrote since is
    written again a while later, what nodes wrote is gone."""
    copy = world.platform.copy()
    for _ in range(rng.randint(*WRITES_SINCE_COPY)):
        world.platform.put("other", "counter", {})
    await asyncio.sleep(rng.uniform(*COPY_AGES))
    if copy.era != world.platform.era:
        # Another copy was taken meanwhile, and this one is of no use.
        yield
        return
    world.platform.fault.status = 503
    await asyncio.sleep(rng.uniform(0.0, AWAY_SECONDS))
    lost = world.platform.copy()
    world.platform.go_back(copy)
    world.platform.fault.status = 0
    await asyncio.sleep(rng.uniform(*WRITTEN_AGAIN_AFTER))
    world.platform.write_again(lost)
    yield


@asynccontextmanager
async def changed_routes(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Routes come and go, and time-outs change."""
    for _ in range(rng.randint(1, 4)):
        routes = {
            name: {**values, "timeout_ms": rng.choice((2_500, 4_000, 6_000))}
            for name, values in world.routes.items()
            if name not in map(marked_route, world.marked_versions)
        }
        world.marked_versions.append(world.next_version)
        routes[marked_route(world.next_version)] = {"route_type": "primary"}
        world.configure(routes)
        await asyncio.sleep(rng.uniform(0.0, 0.5))
    yield


PLANNED: dict[str, Fault] = {
    found.__name__: found
    for found in (
        stopped_node,
        stopped_nodes,
        rolling_restart,
        changed_settings,
        changed_routes,
    )
}
"""What is no disruption: no request may be cut by it."""

FAULTS: dict[str, Fault] = PLANNED | {
    found.__name__: found
    for found in (
        paused_node,
        paused_nodes,
        stuttering_node,
        killed_node,
        killed_nodes,
        silenced_links,
        links_cut_one_way,
        reset_links,
        delayed_links,
        dark_links,
        split_group,
        crashed_leader,
        crashed_follower,
        dark_leader,
        leaving_database,
        slow_store,
        store_down,
        changed_routes,
        faults.dark_follower,
        faults.lagging_follower,
        faults.lost_answers,
        faults.busy_database,
        faults.store_loses,
    )
}

RESTORES: dict[str, Fault] = {store_restored.__name__: store_restored}
"""Played only where it is asked for: what a seed chooses among the others stays as it is."""
