"""A group, the platform and in-process nodes on loopback, and a client of the line protocol."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.messages import Seed
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.platform.node import PlatformNode, build_node
from bramblebeam.platform.settings import parse_settings
from platform_standins.group import LineGroup
from platform_standins.proxy import TcpProxy, proxied
from platform_standins.store import PlatformStandIn

WAIT_TIMEOUT = 60.0
"""Timeout after which a wait has failed (seconds); nothing is measured by it."""
GROUP = "deliveries"
PLATFORM = "platform"
"""Name of the proxy of the store and promotions; the others have their databases' names."""
MEMBERS = ["db-a", "db-b", "db-c"]
ROUTES = {
    "latest": {"route_type": "primary"},
    "bounded": {"route_type": "bounded", "max_staleness_ms": 60_000},
    "session": {"route_type": "self_managed", "max_staleness_ms": 60_000},
}
_numbers = itertools.count(1)


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true. Raises TimeoutError after WAIT_TIMEOUT."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@dataclass
class Answer:
    """Answer to one statement. `state`: session state, or "closed" if the connection ended."""

    rows: list[str] = field(default_factory=list)
    signature: str = ""
    code: str = ""
    text: str = ""
    state: str = ""


class LineClient:
    """A client of the line protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.last_identifier = ""

    @classmethod
    async def connect(cls, port: int) -> LineClient:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def start(self, database: str, key: str = "tester") -> Answer:
        self.send(f"START {database} {key}")
        return await self._answer()

    async def run(self, text: str) -> Answer:
        self.last_identifier = f"id{next(_numbers)}"
        self.send(f"QUERY {self.last_identifier} {text}")
        return await self._answer()

    def send(self, line: str) -> None:
        self.writer.write(line.encode() + b"\r\n")

    def close(self) -> None:
        self.writer.close()

    async def _answer(self) -> Answer:
        answer = Answer()
        while True:
            line = (await self.reader.readline()).decode().rstrip("\r\n")
            word, _, rest = line.partition(" ")
            if word == "ROW":
                answer.rows.append(rest)
            elif word == "DONE":
                answer.signature = rest
            elif word == "ERR":
                answer.code, _, answer.text = rest.partition(" ")
            elif word == "READY":
                answer.state = rest.partition(" ")[0]
                return answer
            else:
                answer.state = "closed"
                return answer


@dataclass
class World:
    """A running platform, group and in-process nodes.

    `synchronous`: number of replicas that must receive a commit. `exits`: ends what was started.
    """

    platform: PlatformStandIn
    group: LineGroup
    nodes: list[PlatformNode] = field(default_factory=list)
    connections: int = 36
    synchronous: int = 0
    exits: AsyncExitStack = field(default_factory=AsyncExitStack)
    proxies: dict[str, TcpProxy] = field(default_factory=dict)

    def configure(self, version: int, **routes: dict[str, Any]) -> None:
        content = configuration(version, routes, self.connections, self.synchronous)
        self.platform.put("config", "main", content)

    def register(self, name: str, state: str = "ready") -> None:
        content = registration(self.group, name, state)
        if name in self.proxies:
            content["address"] = f"127.0.0.1:{self.proxies[name].port}"
        self.platform.put("servers", name, content)

    async def start_node(self) -> PlatformNode:
        """Start one more node, which knows no other."""
        return await _start_node(self.exits, self)

    def silence(self) -> None:
        """Discard all traffic of the proxied connections that are open now, for good."""
        for proxy in self.proxies.values():
            proxy.silence()

    async def client(self, database: str = "session", node: int = 0) -> LineClient:
        """Return a started session once the node accepts clients. Raises TimeoutError."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            while True:
                client = await LineClient.connect(self.nodes[node].callers.port)
                answer = await client.start(database)
                if answer.state == "I":
                    self.exits.callback(client.close)
                    return client
                client.close()
                await asyncio.sleep(0.02)


@asynccontextmanager
async def keep_writing(client: LineClient) -> AsyncIterator[None]:
    """Write continuously in the background, so that the node keeps monitoring the group."""

    async def write() -> None:
        while (await client.run("WRITE letter 1")).state != "closed":
            pass

    task = asyncio.ensure_future(write())
    try:
        yield
    finally:
        task.cancel()


def configuration(
    version: int, routes: dict[str, dict[str, Any]], connections: int, synchronous: int = 0
) -> dict[str, Any]:
    listed = [
        {
            "name": f"route-{host}",
            "host": host,
            "timeout_ms": 4_000,
            "target_ms": 1_000,
            "service": GROUP,
            **values,
        }
        for host, values in (routes or ROUTES).items()
    ]
    services = [{"name": GROUP, "max_conns": connections, "sync_replicas": synchronous}]
    return {"version": version, "routes": listed, "services": services, "limits": {}}


def registration(group: LineGroup, name: str, state: str) -> dict[str, Any]:
    member = group.members[name]
    start = {"born": member.born} if member.born else {}
    return {
        **start,
        "service": group.name,
        "address": f"{group.host}:{member.port}",
        "zone": f"zone-{name}",
        "version": "v1",
        "capacity": 3,
        "state": state,
        "cold_left_ms": 0,
        "db_role": "primary" if member.is_primary else "replica",
        "sequence": 1,
    }


def node_settings(name: str, platform_port: int) -> dict[str, Any]:
    return {
        "node_name": name,
        "zone": "zone-db-b",
        "region": "home",
        "bind_addrs": {"front": "127.0.0.1:0", "ready_addr": "127.0.0.1:0"},
        "bounds": {"grace_period_s": 2, "drain_ms": 2_000, "fence_required": True},
        "platform": {"address": f"127.0.0.1:{platform_port}"},
        "cloud_api": {"address": f"127.0.0.1:{platform_port}"},
    }


@asynccontextmanager
async def running_world(
    nodes: int = 1, configured: bool = True, born: int = 0
) -> AsyncIterator[World]:
    """Run nodes that do not know each other. `born`: databases' start time, 0 if not reported."""
    async with AsyncExitStack() as stack:
        world = await _start_platform(stack, born)
        if configured:
            world.configure(1)
        for _ in range(nodes):
            await _start_node(stack, world)
        yield world


@asynccontextmanager
async def proxied_world() -> AsyncIterator[World]:
    """Run one node that reaches the platform and each database through separate proxies."""
    async with AsyncExitStack() as stack:
        world = await _start_platform(stack)
        ports = {name: member.port for name, member in world.group.members.items()}
        for name, port in [*ports.items(), (PLATFORM, world.platform.port)]:
            world.proxies[name] = await stack.enter_async_context(proxied(port))
        for name in MEMBERS:
            world.register(name)
        world.configure(1)
        await _start_node(stack, world)
        yield world


@asynccontextmanager
async def joined_world(nodes: int, connections: int, synchronous: int = 0) -> AsyncIterator[World]:
    """Run nodes that know each other. `connections`: connection limit of each database."""
    async with AsyncExitStack() as stack:
        world = await _start_platform(stack)
        world.group.maximum_connections = world.connections = connections
        world.group.sync_replicas = world.synchronous = synchronous
        world.configure(1)
        await start_joined_nodes(world, nodes)
        yield world


async def start_joined_nodes(world: World, count: int) -> None:
    """Start nodes that know each other, but none that runs already."""
    seeds: tuple[Seed, ...] = ()
    for _ in range(count):
        name = NodeId(f"node-{len(world.nodes)}")
        node = await _start_node(world.exits, world, seeds)
        if not seeds:
            peer = await node.kernel.call("transport", BoundAddressRequest())
            seeds = (Seed(name, peer),)


async def _start_platform(stack: AsyncExitStack, born: int = 0) -> World:
    group = LineGroup(GROUP)
    await group.start(MEMBERS)
    for member in group.members.values():
        member.born = born
    platform = PlatformStandIn({GROUP: group})
    await platform.start()
    stack.push_async_callback(platform.stop)
    world = World(platform, group, exits=stack)
    for name in MEMBERS:
        world.register(name)
    return world


async def _start_node(
    stack: AsyncExitStack, world: World, seeds: tuple[Seed, ...] = ()
) -> PlatformNode:
    name = f"node-{len(world.nodes)}"
    proxy = world.proxies.get(PLATFORM)
    port = world.platform.port if proxy is None else proxy.port
    settings = parse_settings(node_settings(name, port))
    node = build_node(settings._replace(seeds=seeds))
    await node.start()
    stack.push_async_callback(node.stop)
    world.nodes.append(node)
    return node
