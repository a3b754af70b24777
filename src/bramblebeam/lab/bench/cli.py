"""The command `bramblebeam lab bench`, which measures the table of docs/PERFORMANCE.md."""

import asyncio
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from bramblebeam.lab.bench.cluster import MEMBERS, bench_scenario, prepare
from bramblebeam.lab.bench.idle import (
    IdleCost,
    PlannedLoad,
    measure_idle_cost,
    measure_planned_load,
)
from bramblebeam.lab.bench.statements import (
    Latency,
    Throughput,
    measure_latency,
    measure_throughput,
)
from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.processes import process_group
from bramblebeam.lab.rows import Address

application = typer.Typer(help="Measure the cost of a node.")

CONNECTIONS = 16
LATENCY_RATE = 460.0
LATENCY_CONNECTIONS = 32
PLANNED_CONNECTIONS = 6_200
PLANNED_RATE = 460.0


@application.command()
def bench(
    seconds: Annotated[float, typer.Option(help="Duration of each measurement (seconds).")] = 5.0,
    connections: Annotated[
        str, typer.Option(help="Numbers of idle connections, comma-separated.")
    ] = "1000,5000",
    planned: Annotated[bool, typer.Option(help="Also measure a node at its planned load.")] = True,
) -> None:
    """Compare direct statements with statements through nodes; measure idle connections."""
    counts = [int(text) for text in connections.split(",") if text]
    asyncio.run(_bench(seconds, counts, planned))


async def _bench(seconds: float, counts: list[int], planned: bool) -> None:
    with tempfile.TemporaryDirectory() as directory:
        async with process_group(Path(directory)) as processes:
            cluster = Cluster(bench_scenario(2), processes)
            await cluster.start()
            await prepare(cluster)
            await _compare_statements(cluster, seconds)
            await _measure_idle(cluster, counts)
            if planned:
                await _measure_planned(cluster, seconds)


async def _compare_statements(cluster: Cluster, seconds: float) -> None:
    pids = {
        "database": [process.pid for process in cluster.databases.values()],
        "nodes": [process.pid for process in cluster.nodes.values()],
    }
    targets: list[tuple[str, Address, list[int]]] = [
        ("direct", cluster.database_addresses[MEMBERS[0]], pids["database"]),
    ]
    targets += [(f"through {node}", at, pids["nodes"]) for node, at in cluster.clients.items()]
    for writes in (False, True):
        mix = "reads and 20% writes" if writes else "reads"
        for name, address, measured in targets:
            if writes and name == "direct":
                continue
            rate = await measure_throughput(address, CONNECTIONS, seconds, writes, measured)
            _print_throughput(name, mix, rate)
    for name, address, _ in targets:
        latency = await measure_latency(address, LATENCY_RATE, LATENCY_CONNECTIONS, seconds, False)
        _print_latency(name, latency)


def _print_throughput(name: str, mix: str, rate: Throughput) -> None:
    typer.echo(
        f"{name:20} {mix:22} {rate.rate:8.0f} statements/s "
        f"{rate.cpu_microseconds:7.1f} us CPU each {rate.per_core:7.0f} a core"
    )


def _print_latency(name: str, latency: Latency) -> None:
    typer.echo(
        f"{name:20} {latency.rate:.0f} reads/s: p50 {latency.p50:.2f} ms p99 {latency.p99:.2f} ms "
        f"({latency.late} sent late)"
    )


async def _measure_idle(cluster: Cluster, counts: list[int]) -> None:
    node, process = next(iter(cluster.nodes.items()))
    for count in counts:
        cost = await measure_idle_cost(cluster.clients[node], process.pid, count)
        _print_idle(cost)


def _print_idle(cost: IdleCost) -> None:
    typer.echo(
        f"{cost.connections:6} idle connections: {cost.kilobytes_each:6.1f} KB each, "
        f"{cost.cpu_percent:.2f}% of a core, {cost.resident_megabytes:.0f} MB resident"
    )


async def _measure_planned(cluster: Cluster, seconds: float) -> None:
    node, process = next(iter(cluster.nodes.items()))
    address = cluster.clients[node]
    load = await measure_planned_load(
        address, process.pid, PLANNED_CONNECTIONS, PLANNED_RATE, seconds
    )
    _print_planned(load)


def _print_planned(load: PlannedLoad) -> None:
    typer.echo(
        f"{load.connections:6} connections and {load.latency.rate:.0f} statements/s: "
        f"{load.cpu_percent:.1f}% of a core, {load.resident_megabytes:.0f} MB resident, "
        f"p50 {load.latency.p50:.2f} ms p99 {load.latency.p99:.2f} ms"
    )
