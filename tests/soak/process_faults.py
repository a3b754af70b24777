"""Faults of the process soak: signals, links, databases, store and configuration."""

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

AFFECTED_SHARE = 0.4
"""Share of the nodes that a fault of several nodes affects."""
PEER_TIMEOUT_SECONDS = 3.0
"""Time after which a database ends a connection to an unresponsive peer (documented value)."""
DATABASE_DELAYS = (0.002, 0.04)
"""Range of delays on links to databases (seconds).

They stay below 0.1 s, by which the wait before a promotion exceeds a lease: with a longer delay a
statement could still run on a former leader.
"""
OTHER_DELAYS = (0.01, 0.4)
"""Range of delays on other links (seconds)."""
STORE_DELAYS = (0.2, 2.5)
"""Range of delays of the store's answers (seconds); clients time out after 1 s."""
COPY_AGES = (0.2, 4.0)
"""Age of the copy that the store is restored from (seconds)."""
WRITES_SINCE_COPY = (0, 60)
"""Number of unrelated writes after the copy: the restore lowers the revision by at least that."""
MAX_STORE_DOWNTIME = 0.5
"""Maximum unavailability of the store before a restore (seconds)."""
REWRITE_DELAYS = (0.0, 3.0)
"""Delay until the operator and the databases rewrite their lost objects (seconds)."""
DRAIN_SECONDS = 2.0
"""How long a database keeps serving after it announced its drain; the setting drain_ms."""


def _choose_some(found: list[DeployedNode], rng: random.Random) -> list[DeployedNode]:
    return rng.sample(found, max(1, round(len(found) * AFFECTED_SHARE)))


# Processes.


@asynccontextmanager
async def paused_node(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A process is paused for a while."""
    async with _paused([rng.choice(world.nodes)]):
        yield


@asynccontextmanager
async def paused_nodes(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Several or all processes are paused."""
    async with _paused(rng.choice((_choose_some(world.nodes, rng), world.nodes))):
        yield


@asynccontextmanager
async def stuttering_node(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A process is paused repeatedly, for 0.1 s or less each time."""
    node = rng.choice(world.nodes)
    pausing = asyncio.ensure_future(_pause_repeatedly(node, rng))
    yield
    pausing.cancel()
    node.process.send(signal.SIGCONT)


async def _pause_repeatedly(node: DeployedNode, rng: random.Random) -> None:
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
    """A process is killed and restarted."""
    node = rng.choice(world.nodes)
    await node.process.kill()
    await node.process.restart()
    yield


@asynccontextmanager
async def killed_nodes(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Several or all processes are killed at the same time and restarted."""
    nodes = rng.choice((_choose_some(world.nodes, rng), world.nodes))
    await asyncio.gather(*(node.process.kill() for node in nodes))
    yield
    await asyncio.gather(*(node.process.restart() for node in nodes))


@asynccontextmanager
async def stopped_node(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A process is stopped gracefully and restarted."""
    node = rng.choice(world.nodes)
    await node.process.stop()
    await node.process.restart()
    yield


@asynccontextmanager
async def rolling_restart(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Several processes are stopped gracefully and restarted, one after the other."""
    for node in _choose_some(world.nodes, rng):
        await node.process.stop()
        await node.process.restart()
    yield


@asynccontextmanager
async def stopped_nodes(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Several processes are stopped gracefully at the same time and restarted."""
    nodes = _choose_some(world.nodes, rng)
    await asyncio.gather(*(node.process.stop() for node in nodes))
    await asyncio.gather(*(node.process.restart() for node in nodes))
    yield


@asynccontextmanager
async def changed_settings(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The settings file changes and changes back, with or without a SIGHUP."""
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


def _choose_links(world: Deployment, rng: random.Random) -> list[Link]:
    """Return the links of one node or of all nodes: those to one kind of peer, or to all."""
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


def _schedule_drops(connections: Iterable[ProxiedConnection], world: Deployment) -> None:
    """Let databases drop, after PEER_TIMEOUT_SECONDS, their connections that are cut by then."""
    to_databases = {link for node in world.nodes for link in node.to_databases.values()}
    loop = asyncio.get_running_loop()
    for connection in connections:
        if connection.proxy in to_databases:
            loop.call_later(PEER_TIMEOUT_SECONDS, _drop_if_cut, connection)


def _drop_if_cut(connection: ProxiedConnection) -> None:
    if connection.cut:
        connection.drop_target()


@asynccontextmanager
async def silenced_links(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Open connections discard all traffic for good; new ones work."""
    for link in _choose_links(world, rng):
        _schedule_drops(link.silence(), world)
    yield


@asynccontextmanager
async def links_cut_one_way(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Open connections discard all traffic in one direction for good."""
    direction = rng.choice(list(Direction))
    for link in _choose_links(world, rng):
        link.cut(direction)
        _schedule_drops(list(link.connections), world)
    yield


@asynccontextmanager
async def reset_links(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Open connections are reset, including client connections of one node."""
    for link in [*_choose_links(world, rng), rng.choice(world.nodes).callers]:
        link.reset()
    yield


@asynccontextmanager
async def delayed_links(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Traffic is delayed for a while."""
    links = _choose_links(world, rng)
    to_databases = {link for node in world.nodes for link in node.to_databases.values()}
    for link in links:
        link.delay = rng.uniform(*(DATABASE_DELAYS if link in to_databases else OTHER_DELAYS))
    yield
    for link in links:
        link.delay = 0.0


@asynccontextmanager
async def dark_links(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A node is cut off on some of its outgoing links."""
    node = rng.choice(world.nodes)
    async with darkened(world, rng.sample(node.links, rng.randint(1, len(node.links)))):
        yield


@asynccontextmanager
async def split_group(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A partition separates the leader and one node from the replicas and the other nodes."""
    leader = leader_of(world.group)
    isolated, *others = rng.sample(world.nodes, len(world.nodes))
    host = isolated.process.settings["ip_address"]
    links = [link for name, link in isolated.to_databases.items() if name != leader.name]
    links += isolated.to_nodes.values()
    links += [node.to_databases[leader.name] for node in others]
    links += [node.to_nodes[host] for node in others if host in node.to_nodes]
    if rng.random() < 0.5:
        links.append(isolated.to_store)
    leader.partition = 1
    async with darkened(world, links):
        yield
    leader.partition = 0
    world.group.replicate()


@asynccontextmanager
async def darkened(world: Deployment, links: list[Link]) -> AsyncIterator[None]:
    """Links discard all traffic for a while; databases end the affected connections."""
    for link in links:
        _schedule_drops(list(link.connections), world)
        link.go_dark()
    yield
    for link in links:
        link.dark = False
        _schedule_drops(list(link.connections), world)


# Databases.


@asynccontextmanager
async def crashed_leader(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The leader crashes and restarts with its log."""
    async with _crashed(world, leader_of(world.group).name):
        yield


@asynccontextmanager
async def crashed_follower(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A replica crashes and restarts with its log."""
    async with _crashed(world, follower_of(world, rng).name):
        yield


@asynccontextmanager
async def _crashed(world: Deployment, member: str) -> AsyncIterator[None]:
    await world.crash(member)
    yield
    await world.restart(member)


@asynccontextmanager
async def dark_leader(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The leader is unresponsive to nodes and cut off from the other databases."""
    leader = leader_of(world.group)
    leader.fault.unresponsive = True
    leader.partition = 1
    yield
    leader.fault.unresponsive = False
    leader.partition = 0
    world.group.replicate()


@asynccontextmanager
async def leaving_database(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """A database announces its drain, serves for a while, ends and returns."""
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
    await world.restart(member)


# Store and configuration.


@asynccontextmanager
async def slow_store(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The store's answers are delayed."""
    world.platform.fault.delay = rng.uniform(*STORE_DELAYS)
    yield
    world.platform.fault.delay = 0.0


@asynccontextmanager
async def store_down(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The store refuses every request; sometimes the databases' entries expire meanwhile."""
    async with faults.store_down(world, rng):  # type: ignore[arg-type]
        world.has_registry = rng.random() < 0.7
        yield
    world.has_registry = True


@asynccontextmanager
async def store_restored(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The store is unavailable for a moment and is then restored from an earlier copy.

    The operator and the databases rewrite their lost objects later; the nodes' objects are lost.
    """
    copy = world.platform.copy()
    for _ in range(rng.randint(*WRITES_SINCE_COPY)):
        world.platform.put("other", "counter", {})
    await asyncio.sleep(rng.uniform(*COPY_AGES))
    if copy.era != world.platform.era:
        # The store was restored from another copy meanwhile.
        yield
        return
    world.platform.fault.status = 503
    await asyncio.sleep(rng.uniform(0.0, MAX_STORE_DOWNTIME))
    lost = world.platform.copy()
    world.platform.restore(copy)
    world.platform.fault.status = 0
    await asyncio.sleep(rng.uniform(*REWRITE_DELAYS))
    world.platform.rewrite_lost(lost)
    yield


@asynccontextmanager
async def changed_routes(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """Routes are added and removed, and timeouts change."""
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
"""Planned work, which must not cut off any request."""

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
"""Played only on request, so that a seed's choice among the other faults does not change."""
