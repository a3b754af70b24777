"""Starts a scenario's platform, database groups and nodes as processes on loopback."""

import asyncio
import json
from pathlib import Path

from bramblebeam.lab.ports import free_port
from bramblebeam.lab.processes import LabProcess, ProcessGroup
from bramblebeam.lab.rows import Address, initial_rows, node_settings
from bramblebeam.lab.scenario import Scenario

HOST = "127.0.0.1"
SEEDS_PER_NODE = 3


class Cluster:
    """The processes of a scenario, by name.

    `clients` maps each running node to the address for callers. Processes keep their addresses
    across restarts. `mutation`: the mutation that the nodes run with, if any.
    """

    def __init__(self, scenario: Scenario, processes: ProcessGroup, mutation: str = "") -> None:
        self.scenario = scenario
        self.mutation = mutation
        self.processes = processes
        self.platform: LabProcess | None = None
        self.databases: dict[str, LabProcess] = {}
        self.nodes: dict[str, LabProcess] = {}
        self.clients: dict[str, Address] = {}
        topology = scenario.topology
        self.platform_address: Address = (HOST, free_port())
        self.database_addresses = _addresses(topology.instances)
        self.replication_addresses = _addresses(topology.instances)
        self.control_addresses = _addresses(topology.instances)
        self.peer_addresses = _addresses(topology.nodes)
        self.client_addresses = _addresses(topology.nodes)
        self.admin_addresses = _addresses(topology.nodes)

    @property
    def directory(self) -> Path:
        """Return the directory of the run's files."""
        return self.processes.directory

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform's store."""
        return _url(self.platform_address)

    def control_url(self, instance: str) -> str:
        """Return the URL of a database server's control API."""
        return _url(self.control_addresses[instance])

    def admin_url(self, node: str) -> str:
        """Return the URL of a node's administration API."""
        return _url(self.admin_addresses[node])

    async def start(self) -> None:
        """Start the platform, then the databases, then the nodes. Raises ProcessStartError."""
        await self.start_platform()
        instances = self.scenario.topology.instances
        await asyncio.gather(*(self.start_database(name) for name in instances))
        await asyncio.gather(*(self.start_node(name) for name in self.scenario.topology.nodes))

    async def start_platform(self) -> None:
        """Start the simulated platform with the scenario's rows."""
        rows = self.directory / "rows.json"
        rows.write_text(json.dumps(initial_rows(self.scenario, self.database_addresses)))
        listen = _host_port(self.platform_address)
        arguments = ["-m", "bramblebeam.lab.platform", "--listen", listen, "--rows", str(rows)]
        self.platform = await self.processes.start("platform", arguments)

    async def start_database(self, instance: str) -> None:
        """Start or restart a database server; its log file is kept across restarts."""
        arguments = [
            "-m",
            "bramblebeam.lab.database",
            f"--instance={instance}",
            f"--listen={_host_port(self.database_addresses[instance])}",
            f"--peer-listen={_host_port(self.replication_addresses[instance])}",
            f"--control={_host_port(self.control_addresses[instance])}",
            f"--log={self.directory / f'{instance}.entries'}",
        ]
        self.databases[instance] = await self.processes.start(instance, arguments)

    async def start_node(self, node: str) -> None:
        """Start or restart a node and add its address to `clients`."""
        settings_file = self.directory / f"{node}.toml"
        listen = {
            "peer": self.peer_addresses[node],
            "client": self.client_addresses[node],
            "admin": self.admin_addresses[node],
        }
        other_peers = {
            peer: address for peer, address in self.peer_addresses.items() if peer != node
        }
        seeds = dict(list(other_peers.items())[:SEEDS_PER_NODE])
        settings_file.write_text(
            node_settings(self.scenario, node, seeds, self.platform_url, listen)
        )
        program = ["bramblebeam"]
        if self.mutation:
            program = ["bramblebeam.lab.mutant", self.mutation]
        arguments = ["-m", *program, "node", "--config", str(settings_file)]
        self.nodes[node] = await self.processes.start(node, arguments)
        self.clients[node] = self.client_addresses[node]


def _addresses(names: dict[str, str]) -> dict[str, Address]:
    return {name: (HOST, free_port()) for name in names}


def _host_port(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _url(address: Address) -> str:
    return f"http://{_host_port(address)}"
