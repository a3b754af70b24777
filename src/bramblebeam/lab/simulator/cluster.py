"""The platform, database groups, nodes and callers of a scenario on simulated hosts."""

from __future__ import annotations

import asyncio
import tomllib
from pathlib import Path
from random import Random

from bramblebeam.lab.rows import Address, initial_rows, node_settings
from bramblebeam.lab.scenario import Scenario
from bramblebeam.lab.simulator.hosts import Host
from bramblebeam.lab.simulator.loop import VirtualLoop
from bramblebeam.lab.simulator.network import CLIENT_ZONE, PLATFORM_ZONE, Network
from bramblebeam.lab.simulator.processes import (
    MYSQL_PORT,
    PLATFORM_PORT,
    SimulatedDatabase,
    SimulatedNode,
    SimulatedPlatform,
)
from bramblebeam.settings.model import NodeSettings

PEER_PORT = 7000
CLIENT_PORT = 7001
ADMIN_PORT = 7002
SEEDS_PER_NODE = 3
MAX_DRIFT = 0.02
"""Largest relative error of the rate of a node's clock."""
MAX_CLOCK_OFFSET = 10_000.0
"""Largest offset of a node's clock (seconds)."""


class SimulatedCluster:
    """Simulated counterpart of `lab.cluster.Cluster`.

    `clock_step`: resolution of the nodes' clocks (seconds), 0 for exact clocks.
    """

    def __init__(
        self,
        scenario: Scenario,
        loop: VirtualLoop,
        random: Random,
        directory: Path,
        clock_step: float = 0.0,
    ) -> None:
        self.scenario = scenario
        self.directory = directory
        self.network = Network(loop, scenario.topology, random)
        loop.network = self.network
        self.nodes: dict[str, SimulatedNode] = {}
        self.databases: dict[str, SimulatedDatabase] = {}
        self.clients: dict[str, Address] = {}
        self._loop = loop
        self._random = random
        self._clock_step = clock_step
        topology = scenario.topology
        self.node_addresses = _addresses("10.1.0", topology.nodes)
        self.instance_addresses = _addresses("10.2.0", topology.instances)
        self.callers = self._attach(Host("callers", CLIENT_ZONE, "10.4.0.1"))
        self.database_addresses = {
            name: (address, MYSQL_PORT) for name, address in self.instance_addresses.items()
        }
        rows = initial_rows(scenario, self.database_addresses)
        host = self._attach(Host("platform", PLATFORM_ZONE, "10.3.0.1"))
        self.platform = SimulatedPlatform(loop, self.network, host, rows)

    def _attach(self, host: Host) -> Host:
        """Attach a host to the network, replacing the previous host at its address."""
        self.network.hosts[host.address] = host
        return host

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform's store."""
        return f"http://{self.platform.host.address}:{PLATFORM_PORT}"

    def admin_url(self, node: str) -> str:
        """Return the base URL of a node's administration API."""
        return f"http://{self.node_addresses[node]}:{ADMIN_PORT}"

    async def start(self) -> None:
        """Start the platform, then all databases, then all nodes."""
        await self.platform.start()
        topology = self.scenario.topology
        await asyncio.gather(*(self.start_database(name) for name in topology.instances))
        await asyncio.gather(*(self.start_node(name) for name in topology.nodes))

    async def start_database(self, instance: str) -> None:
        """Start or restart one database server. Its log file persists across restarts."""
        address = self.instance_addresses[instance]
        self.network.databases.add(address)
        host = self._attach(Host(instance, self.scenario.topology.instances[instance], address))
        log = self.directory / f"{instance}.entries"
        database = SimulatedDatabase(self._loop, self.network, host, instance, log)
        self.databases[instance] = database
        await database.start()

    async def start_node(self, node: str) -> None:
        """Start or restart one node with a new random clock, and publish its client address."""
        zone = self.scenario.topology.nodes[node]
        address = self.node_addresses[node]
        rate = self._random.uniform(1 - MAX_DRIFT, 1 + MAX_DRIFT)
        offset = self._random.uniform(0.0, MAX_CLOCK_OFFSET)
        host = self._attach(Host(node, zone, address, rate, offset, self._clock_step))
        settings = self._settings(node, address)
        self.nodes[node] = SimulatedNode(self._loop, self.network, host, settings)
        await self.nodes[node].start()
        self.clients[node] = (address, CLIENT_PORT)

    def _settings(self, node: str, address: str) -> NodeSettings:
        others = [name for name in self.node_addresses if name != node]
        seeds = {name: (self.node_addresses[name], PEER_PORT) for name in others[:SEEDS_PER_NODE]}
        listen = {
            "peer": (address, PEER_PORT),
            "client": (address, CLIENT_PORT),
            "admin": (address, ADMIN_PORT),
        }
        text = node_settings(self.scenario, node, seeds, self.platform_url, listen)
        return NodeSettings.model_validate(tomllib.loads(text))


def _addresses(network: str, names: dict[str, str]) -> dict[str, str]:
    return {name: f"{network}.{number}" for number, name in enumerate(names, start=1)}
