"""Measures a run's nodes from outside: CPU time, memory and bytes sent."""

import asyncio
import os
import time
from collections.abc import Mapping
from pathlib import Path

import aiohttp

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.processes import LabProcess
from bramblebeam.lab.result import ControlCost
from bramblebeam.lab.rows import OPERATOR_TOKEN

SCRAPE_TIMEOUT_SECONDS = 0.8
_BYTES_SENT = 'bramblebeam_peer_bytes_total{direction="sent"'
_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Counters = Mapping[str, float]


async def scrape(http: aiohttp.ClientSession, admin_url: str) -> Counters | None:
    """Return a node's metrics by name with labels, or None if the request fails."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    timeout = aiohttp.ClientTimeout(total=SCRAPE_TIMEOUT_SECONDS)
    try:
        async with http.get(f"{admin_url}/metrics", headers=headers, timeout=timeout) as response:
            text = await response.text()
    except (aiohttp.ClientError, TimeoutError):
        return None
    counters = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if not line.startswith("#") and name:
            counters[name] = float(value)
    return counters


async def idle_cost(cluster: Cluster, http: aiohttp.ClientSession, seconds: float) -> ControlCost:
    """Measure the mean resource usage per node for `seconds` without load."""
    processes = list(cluster.nodes.values())
    bytes_before = await _control_bytes(cluster, http)
    before = [processor_seconds(process) for process in processes]
    started = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - started
    used = [processor_seconds(process) for process in processes]
    bytes_after = await _control_bytes(cluster, http)
    count = max(1, len(processes))
    cpu = sum(after - first for after, first in zip(used, before, strict=True))
    rss = sum(memory_bytes(process) for process in processes)
    cost = ControlCost(
        cpu_percent_per_node=round(100 * cpu / elapsed / count, 2),
        rss_mb_per_node=round(rss / count / 1e6, 1),
    )
    if bytes_before is not None and bytes_after is not None:
        cost.bytes_per_second_per_node = round((bytes_after - bytes_before) / elapsed / count, 1)
    return cost


async def _control_bytes(cluster: Cluster, http: aiohttp.ClientSession) -> float | None:
    """Return the bytes sent to peers by all nodes, or None if no node reports the metric."""
    total = 0.0
    counted = False
    for node in cluster.clients:
        counters = await scrape(http, cluster.admin_url(node)) or {}
        sent = [value for name, value in counters.items() if name.startswith(_BYTES_SENT)]
        counted = counted or bool(sent)
        total += sum(sent)
    return total if counted else None


def processor_seconds(process: LabProcess) -> float:
    """Return the CPU time that a process has used (seconds)."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def memory_bytes(process: LabProcess) -> int:
    """Return a process's resident memory (bytes)."""
    return int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * _PAGE_BYTES
