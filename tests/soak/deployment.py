"""A deployment of node processes whose TCP connections all pass through proxies (links).

Each node has its own loopback address, since the nodes' ports are the same on all machines.
Databases, store and promotion service run in the soak's process.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from bramblebeam.core.tenants import RateLimit
from platform_standins.group import LineGroup, no_work
from platform_standins.store import PlatformStandIn
from platform_standins.world import GROUP, MEMBERS, configuration, registration
from soak.links import Link, open_link
from soak.node_process import GRACE_SECONDS, NodeProcess
from soak.tenants import tenants_of

HEARTBEAT_SECONDS = 0.3
"""Interval at which databases renew their entries in the store."""
MISSED_HEARTBEATS = 3
"""Number of missed heartbeats after which a database's entry is deleted."""
FULLY_LINKED = 8
"""Maximum number of nodes that get links to each other: their number grows quadratically."""
SEEDS = 3
"""Number of seed nodes in the settings."""
ZONES = {"zone-db-a": "home", "zone-db-b": "home", "zone-db-c": "abroad"}
_DATABASES_HOST, _LINKS_HOST = 253, 254
"""Last octets of the addresses of databases and links; nodes have those from 1 on."""
FIRST_PORT, LAST_PORT = 20_000, 30_000
"""Range of the nodes' ports, below the system's ephemeral ports."""


class Size(NamedTuple):
    """Size of a deployment. `connections`: connection limit of each database."""

    nodes: int
    connections: int
    members: int = len(MEMBERS)


@dataclass
class DeployedNode:
    """A node's process and its links: `callers` to it, the others from it."""

    process: NodeProcess
    callers: Link
    to_store: Link
    to_databases: dict[str, Link] = field(default_factory=dict)
    to_nodes: dict[str, Link] = field(default_factory=dict)

    @property
    def links(self) -> list[Link]:
        """Return all outgoing links."""
        return [self.to_store, *self.to_databases.values(), *self.to_nodes.values()]


@dataclass
class Deployment:
    """A running deployment. `network`: the first three octets of its loopback addresses.

    `routes`: routes of the latest configuration. `states`: registered state of the databases that
    are not ready. `has_registry`: whether databases can renew their entries. `limit`: rate limit of
    the hot tenant, None without tenants. `marked_versions`: configuration versions that have a
    route of their own. `timeout`: timeout of the routes (seconds). `usual_work`: how long databases
    work on a statement, unless a fault changes that.
    """

    platform: PlatformStandIn
    group: LineGroup
    size: Size
    network: str
    nodes: list[DeployedNode] = field(default_factory=list)
    routes: dict[str, dict[str, Any]] = field(default_factory=dict)
    version: int = 0
    states: dict[str, str] = field(default_factory=dict)
    has_registry: bool = True
    limit: RateLimit | None = None
    marked_versions: list[int] = field(default_factory=list)
    timeout: float = 4.0
    usual_work: Callable[[str], float] = no_work

    @property
    def next_version(self) -> int:
        """The version of the next configuration; versions increase in uneven steps."""
        return self.version + 1 + self.version % 3

    def configure(self, routes: dict[str, dict[str, Any]]) -> None:
        """Write a new version of the configuration to the store."""
        self.version = self.next_version
        self.routes = routes
        content = configuration(self.version, routes, self.size.connections)
        content["services"][0]["sync_replicas"] = self.group.sync_replicas
        if self.limit is not None:
            content["tenants"] = tenants_of(self.limit)
        self.platform.put("config", "main", content)

    def links_to(self, member: str) -> list[Link]:
        """Return the links from all nodes to a database."""
        return [node.to_databases[member] for node in self.nodes]

    async def crash(self, member: str) -> None:
        """Crash a database: its connections are reset and its links refuse new ones."""
        database = self.group.members[member]
        if database.serving:
            await database.crash()
            for link in self.links_to(member):
                link.refuse()

    async def restart(self, member: str) -> None:
        """Restart a crashed database and its links."""
        database = self.group.members[member]
        if not database.serving:
            await database.restart()
            for link in self.links_to(member):
                await link.start()

    async def keep_registered(self) -> None:
        """Maintain the databases' entries in the store, until cancelled."""
        missed: dict[str, int] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name, database in self.group.members.items():
                is_renewed = database.serving and self.has_registry
                missed[name] = 0 if is_renewed else missed.get(name, 0) + 1
                self._renew(name, missed[name])

    def _renew(self, name: str, missed: int) -> None:
        is_registered = self.platform.has("servers", name)
        if missed >= MISSED_HEARTBEATS and is_registered:
            self.platform.delete("servers", name)
        if missed or self.platform.fault.status:
            return
        entry = registration(self.group, name, self.states.get(name, "ready"))
        if not is_registered or self.platform.found("servers", name)["spec"] != entry:
            self.platform.put("servers", name, entry)


@asynccontextmanager
async def deployment(
    size: Size,
    folder: Path,
    deposes: bool,
    sync_replicas: int,
    routes: dict[str, dict[str, Any]],
    limit: RateLimit | None = None,
) -> AsyncIterator[Deployment]:
    """Run a deployment; on exit, kill every process and stop every link."""
    network = _free_network()
    group = LineGroup(
        GROUP, size.connections, deposes, sync_replicas, f"{network}.{_DATABASES_HOST}"
    )
    await group.start([f"db-{letter}" for letter in "abcdefgh"[: size.members]])
    platform = PlatformStandIn({GROUP: group}, checks_fences=deposes)
    await platform.start()
    deployed = Deployment(platform, group, size, network, limit=limit)
    registration_task = asyncio.ensure_future(deployed.keep_registered())
    try:
        deployed.configure(routes)
        await _deploy(deployed, folder)
        yield deployed
    finally:
        registration_task.cancel()
        await asyncio.gather(*(node.process.kill() for node in deployed.nodes))
        await _stop(deployed)


async def _deploy(deployed: Deployment, folder: Path) -> None:
    hosts = [f"{deployed.network}.{index + 1}" for index in range(deployed.size.nodes)]
    links = f"{deployed.network}.{_LINKS_HOST}"
    port = _free_port(hosts)
    for index, host in enumerate(hosts):
        zone = list(ZONES)[index % len(ZONES)]
        settings = _settings(f"node-{index}", zone, host, port, hosts, deployed)
        process = NodeProcess(folder, f"node-{index}", settings)
        callers = await open_link(host, port)
        to_store = await open_link("127.0.0.1", deployed.platform.port, links)
        settings["platform"]["address"] = f"{links}:{to_store.port}"
        settings["cloud_api"]["address"] = f"{links}:{to_store.port}"
        deployed.nodes.append(DeployedNode(process, callers, to_store))
    for node in deployed.nodes:
        await _link_databases(deployed, node, links)
        if len(hosts) <= FULLY_LINKED:
            await _link_nodes(node, hosts, port, links)
    await asyncio.gather(*(node.process.start() for node in deployed.nodes))


async def _link_databases(deployed: Deployment, node: DeployedNode, links: str) -> None:
    host = deployed.group.host
    for name, database in deployed.group.members.items():
        link = await open_link(host, database.port, links)
        node.to_databases[name] = link
        node.process.detours[f"{host}:{database.port}"] = f"{links}:{link.port}"


async def _link_nodes(node: DeployedNode, hosts: Iterable[str], port: int, links: str) -> None:
    peers = port + _PEERS
    for host in hosts:
        if host == node.process.settings["ip_address"]:
            continue
        link = await open_link(host, peers, links)
        node.to_nodes[host] = link
        node.process.detours[f"{host}:{peers}"] = f"{links}:{link.port}"


_READINESS, _METRICS, _PEERS = 1, 2, 3
"""Offsets of a node's ports from the first one, which accepts clients."""
_PORTS = 4
"""Number of ports of a node."""


def _settings(
    name: str, zone: str, host: str, port: int, hosts: list[str], deployed: Deployment
) -> dict[str, Any]:
    return {
        "node_name": name,
        "ip_address": host,
        "zone": zone,
        "region": ZONES[zone],
        "zones": ZONES,
        "bind_addrs": {"front": f"{host}:{port}", "ready_addr": f"{host}:{port + _READINESS}"},
        "inner_ports": [port + _METRICS, port + _PEERS],
        "seed_nodes": [f"{seed}:1" for seed in hosts[:SEEDS]],
        "bounds": {
            "grace_period_s": GRACE_SECONDS,
            "drain_ms": 2_000,
            "config_apply_ms": 4_000,
            "fence_required": deployed.platform.checks_fences,
        },
        "platform": {},
        "cloud_api": {},
    }


def _free_network() -> str:
    """Return a random loopback network, independent of the seed: soaks may run in parallel."""
    chosen = random.SystemRandom()
    return f"127.{chosen.randint(1, 250)}.{chosen.randint(1, 250)}"


def _free_port(hosts: list[str]) -> int:
    """Return the first port of a range that is free on all hosts. Raises OSError if none is."""
    for port in range(FIRST_PORT, LAST_PORT, _PORTS):
        if all(_is_free(host, port + index) for host in hosts for index in range(_PORTS)):
            return port
    raise OSError(f"no {_PORTS} consecutive ports are free from {FIRST_PORT} to {LAST_PORT}")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


async def _stop(deployed: Deployment) -> None:
    for node in deployed.nodes:
        for link in (node.callers, *node.links):
            with contextlib.suppress(AssertionError):
                await link.stop()
    for database in deployed.group.members.values():
        if database.serving:
            await database.crash()
    await deployed.platform.stop()
