"""The cluster of a benchmark: one group of three members, and nodes in the same zone."""

import asyncio
import time

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.load.client import CallerClient
from bramblebeam.lab.rows import Address
from bramblebeam.lab.scenario import Group, Load, Member, Region, Scenario, Service, Topology

GROUP = "bench"
SERVICE = "bench"
ZONE = "zone-a"
MEMBERS = ("bench-1", "bench-2", "bench-3")
SLOTS = 16
CONNECTION_LIMIT = 20_000
ROWS = 100
READY_SECONDS = 25.0

CREATE_TABLE = "CREATE TABLE IF NOT EXISTS stops (k VARCHAR(32) PRIMARY KEY, v VARCHAR(64))"


class BenchError(Exception):
    """The cluster did not become ready in time; the message holds the last error."""


def bench_scenario(nodes: int) -> Scenario:
    """Return a scenario with one group of three members and `nodes` nodes, all in one zone."""
    members = tuple(Member(instance=name, zone=ZONE) for name in MEMBERS)
    return Scenario(
        name="bench",
        topology=Topology(
            regions=(Region(name="region", zones=(ZONE,)),),
            nodes_per_zone=nodes,
            groups=(Group(name=GROUP, members=members),),
        ),
        load=Load(
            services=(
                Service(name=SERVICE, group=GROUP, slots=SLOTS, connections=CONNECTION_LIMIT),
            )
        ),
    )


async def prepare(cluster: Cluster) -> None:
    """Wait until writes succeed through every node; fill the table. Raises BenchError."""
    for node, address in cluster.clients.items():
        client = CallerClient(f"setup-{node}", SERVICE, GROUP, False)
        await _retry_until_ok(client, node, address, CREATE_TABLE)
        for number in range(ROWS):
            sql = f"REPLACE INTO stops (k, v) VALUES ('k{number}', 'value {number}')"
            await _retry_until_ok(client, node, address, sql)
        await client.close()


async def _retry_until_ok(client: CallerClient, node: str, address: Address, sql: str) -> None:
    deadline = time.monotonic() + READY_SECONDS
    last_error = "no answer"
    while time.monotonic() < deadline:
        if not client.connected:
            last_error = (await client.connect(node, address)).text
        if client.connected:
            answer = await client.execute(sql)
            if answer.ok:
                return
            last_error = answer.outcome.text
        await asyncio.sleep(0.1)
    raise BenchError(f"{node}: {sql[:40]}: {last_error}")
