"""Memory and processor time of a node for idle client connections."""

import asyncio
from dataclasses import dataclass
from typing import Any

from bramblebeam.lab.bench.statements import connect
from bramblebeam.lab.bench.usage import cpu_seconds, resident_bytes
from bramblebeam.lab.rows import Address

CONNECT_BATCH = 50
SETTLE_SECONDS = 2.0
WATCH_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class IdleCost:
    """What `connections` idle connections cost a node.

    `cpu_percent`: of one core, all of the node's work included.
    """

    connections: int
    kilobytes_each: float
    cpu_percent: float
    resident_megabytes: float


async def idle_cost(address: Address, pid: int, connections: int) -> IdleCost:
    """Open connections, let them be, and measure the node."""
    before = resident_bytes(pid)
    opened: list[Any] = []
    while len(opened) < connections:
        batch = min(CONNECT_BATCH, connections - len(opened))
        opened += await asyncio.gather(*(connect(address) for _ in range(batch)))
    await asyncio.sleep(SETTLE_SECONDS)
    after = resident_bytes(pid)
    used = cpu_seconds(pid)
    await asyncio.sleep(WATCH_SECONDS)
    used = cpu_seconds(pid) - used
    for connection in opened:
        connection.close()
    await asyncio.sleep(SETTLE_SECONDS)
    return IdleCost(
        connections,
        (after - before) / connections / 1_024,
        used / WATCH_SECONDS * 100,
        after / 1_048_576,
    )
