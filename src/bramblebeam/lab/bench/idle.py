"""Memory and CPU time that idle client connections cost a node."""

import asyncio
import time
from dataclasses import dataclass
from typing import Any

from bramblebeam.lab.bench.statements import Latency, connect, measure_latency
from bramblebeam.lab.bench.usage import cpu_seconds, resident_bytes
from bramblebeam.lab.rows import Address

CONNECT_BATCH = 50
ACTIVE_CONNECTIONS = 64
SETTLE_SECONDS = 2.0
MEASUREMENT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """Cost of a node at its planned load. `cpu_percent`: of one core."""

    connections: int
    latency: Latency
    cpu_percent: float
    resident_megabytes: float


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Cost of `connections` idle connections at a node.

    `cpu_percent`: of one core, including all background work of the node.
    """

    connections: int
    kilobytes_each: float
    cpu_percent: float
    resident_megabytes: float


async def open_many(address: Address, connections: int) -> list[Any]:
    """Open `connections` idle connections, in batches."""
    opened: list[Any] = []
    while len(opened) < connections:
        batch = min(CONNECT_BATCH, connections - len(opened))
        opened += await asyncio.gather(*(connect(address) for _ in range(batch)))
    return opened


async def measure_idle_cost(address: Address, pid: int, connections: int) -> IdleCost:
    """Open connections, leave them idle, and measure the node."""
    before = resident_bytes(pid)
    opened = await open_many(address, connections)
    await asyncio.sleep(SETTLE_SECONDS)
    after = resident_bytes(pid)
    used = cpu_seconds(pid)
    await asyncio.sleep(MEASUREMENT_SECONDS)
    used = cpu_seconds(pid) - used
    for connection in opened:
        connection.close()
    await asyncio.sleep(SETTLE_SECONDS)
    return IdleCost(
        connections,
        (after - before) / connections / 1_024,
        used / MEASUREMENT_SECONDS * 100,
        after / 1_048_576,
    )


async def measure_planned_load(
    address: Address, pid: int, connections: int, rate: float, seconds: float
) -> PlannedLoad:
    """Measure a node with open connections and a constant rate of statements, 20% writes."""
    opened = await open_many(address, connections - ACTIVE_CONNECTIONS)
    used = cpu_seconds(pid)
    started = time.monotonic()
    latency = await measure_latency(address, rate, ACTIVE_CONNECTIONS, seconds, True)
    share = (cpu_seconds(pid) - used) / (time.monotonic() - started)
    resident = resident_bytes(pid) / 1_048_576
    for connection in opened:
        connection.close()
    return PlannedLoad(connections, latency, share * 100, resident)
