"""What a run reads from outside its processes: processor time, memory, counters of nodes."""

import asyncio
import os
import time
from collections import defaultdict
from collections.abc import Mapping
from pathlib import Path

import aiohttp

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.processes import LabProcess
from bramblebeam.lab.result import ControlCost, TimeBin
from bramblebeam.lab.rows import OPERATOR_TOKEN

SCRAPE_SECONDS = 1.0
SCRAPE_TIMEOUT_SECONDS = 0.8
_READS = "bramblebeam_reads_total"
_BYTES = "bramblebeam_control_bytes_total"
_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Counters = Mapping[str, float]


class ReadShareProbe:
    """Follows the nodes' counters of reads by the role of the back end that served them."""

    def __init__(self, cluster: Cluster, http: aiohttp.ClientSession) -> None:
        self._cluster = cluster
        self._http = http
        self._last: dict[str, Counters] = {}
        self._totals: dict[str, float] = defaultdict(float)
        self._steps: list[tuple[float, float, float]] = []
        """(time, reads at replicas, reads at primaries) of each step."""

    @property
    def share(self) -> float | None:
        """Return the share of all reads that replicas served."""
        return _share(self._totals["replica"], self._totals["primary"])

    async def run(self) -> None:
        """Scrape every node in turn until cancelled."""
        while True:
            await self.scrape()
            await asyncio.sleep(SCRAPE_SECONDS)

    async def scrape(self) -> None:
        """Take one step."""
        before = dict(self._totals)
        await asyncio.gather(*(self._scrape_node(node) for node in list(self._cluster.clients)))
        steps = [self._totals[role] - before.get(role, 0.0) for role in ("replica", "primary")]
        self._steps.append((time.monotonic(), steps[0], steps[1]))

    def fill(self, bins: list[TimeBin], start: float) -> None:
        """Put the share of each step into the bins that the step covers."""
        for one in bins:
            moment = start + one.start
            step = next((step for step in self._steps if step[0] >= moment), None)
            one.replica_read_share = None if step is None else _share(step[1], step[2])

    async def _scrape_node(self, node: str) -> None:
        counters = await scrape(self._http, self._cluster.admin_url(node))
        if counters is None:
            return
        last = self._last.get(node, {})
        for role in ("replica", "primary"):
            name = f'{_READS}{{role="{role}"}}'
            value = counters.get(name, 0.0)
            grown = value - last.get(name, 0.0)
            self._totals[role] += grown if grown >= 0 else value
        self._last[node] = counters


def _share(replica: float, primary: float) -> float | None:
    total = replica + primary
    return round(replica / total, 5) if total else None


async def scrape(http: aiohttp.ClientSession, admin_url: str) -> Counters | None:
    """Return a node's metrics by name with labels, or None when it does not answer."""
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
    """Return what nodes spend while no caller asks anything, as means over the nodes."""
    processes = list(cluster.nodes.values())
    bytes_before = await _control_bytes(cluster, http)
    before = [processor_seconds(process) for process in processes]
    started = time.monotonic()
    await asyncio.sleep(seconds)
    passed = time.monotonic() - started
    used = [processor_seconds(process) for process in processes]
    bytes_after = await _control_bytes(cluster, http)
    count = max(1, len(processes))
    cpu = sum(after - first for after, first in zip(used, before, strict=True))
    rss = sum(memory_bytes(process) for process in processes)
    cost = ControlCost(
        cpu_percent_per_node=round(100 * cpu / passed / count, 2),
        rss_mb_per_node=round(rss / count / 1e6, 1),
    )
    if bytes_before is not None and bytes_after is not None:
        cost.bytes_per_second_per_node = round((bytes_after - bytes_before) / passed / count, 1)
    return cost


async def _control_bytes(cluster: Cluster, http: aiohttp.ClientSession) -> float | None:
    """Return the bytes of control traffic that all nodes sent, or None if they do not count."""
    total = 0.0
    counted = False
    for node in cluster.clients:
        counters = await scrape(http, cluster.admin_url(node)) or {}
        found = [value for name, value in counters.items() if name.startswith(_BYTES)]
        counted = counted or bool(found)
        total += sum(found)
    return total if counted else None


def processor_seconds(process: LabProcess) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def memory_bytes(process: LabProcess) -> int:
    """Return a process's resident memory."""
    return int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * _PAGE_BYTES
