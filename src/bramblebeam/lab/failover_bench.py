"""Benchmarks failover on real processes: `bramblebeam lab failover`.

Clients write at a constant rate through three nodes to one group of three simulated database
servers. Each fault targets the current primary. The failover gap is the longest time without an
acknowledged write, from just before the fault until writes have recovered.
"""

import asyncio
import contextlib
import json
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.control import StandInControl
from bramblebeam.lab.history import History
from bramblebeam.lab.load.client import CallerClient
from bramblebeam.lab.processes import process_group
from bramblebeam.lab.rows import OPERATOR_TOKEN
from bramblebeam.lab.scenario import load_scenario
from bramblebeam.lab.setup import prepare
from bramblebeam.lab.steady_writers import Writers

application = typer.Typer()

GROUP = "deliveries"
SERVICE = "dispatch"
PAUSE_SECONDS = 0.48
"""A pause that must not cause a failover. The delay of the signals adds to it."""

RECOVERY_SECONDS = 12.0
SETTLE_SECONDS = 1.0
MARGIN_SECONDS = 0.1
MILLISECONDS = 1000.0


@dataclass(slots=True)
class Series:
    """Results for one kind of fault: failover gaps (milliseconds) and number of primary changes."""

    gaps_ms: list[int] = field(default_factory=list)
    longest_waits_ms: list[int] = field(default_factory=list)
    changes: int = 0
    not_recovered: int = 0

    def summary(self) -> dict[str, Any]:
        """Return the counts and the p50, p99 and maximum gap."""
        gaps = sorted(self.gaps_ms)
        summary = {"count": len(gaps), "changes": self.changes, "not_recovered": self.not_recovered}
        if gaps:
            summary |= {
                "p50_ms": gaps[(len(gaps) - 1) // 2],
                "p99_ms": gaps[min(len(gaps) - 1, round(0.99 * (len(gaps) - 1)))],
                "max_ms": gaps[-1],
                "longest_wait_ms": max(self.longest_waits_ms),
            }
        return summary | {"gaps_ms": self.gaps_ms}


class Bench:
    """Injects faults at the primary of a running cluster and measures their failover gaps."""

    def __init__(self, cluster: Cluster, control: StandInControl, writers: Writers) -> None:
        self.cluster = cluster
        self.control = control
        self.writers = writers
        self.series: dict[str, Series] = {}

    async def measure(self, kind: str, fault: Callable[[str], Awaitable[None]]) -> None:
        """Wait for a stable group, inject a fault, and record the gap after recovery."""
        series = self.series.setdefault(kind, Series())
        primary = await self._wait_until_stable()
        term = await self._term(primary)
        at = time.monotonic()
        await fault(primary)
        recovered = await self._wait_until_recovered(at)
        after = await self._wait_until_stable()
        if await self._term(after) != term:
            series.changes += 1
        if not recovered:
            series.not_recovered += 1
        gap = round(self.writers.longest_silence(at - MARGIN_SECONDS) * MILLISECONDS)
        series.gaps_ms.append(gap)
        series.longest_waits_ms.append(round(self.writers.longest_wait(at) * MILLISECONDS))
        typer.echo(f"{kind} of {primary}: {gap} ms, primary afterwards: {after}", err=True)

    async def kill(self, primary: str) -> None:
        """Kill the primary; restart it when writes have recovered or the timeout has passed."""
        process = self.cluster.databases[primary]
        at = time.monotonic()
        process.kill()
        await process.wait()
        await self._wait_until_recovered(at)
        await self.cluster.start_database(primary)
        await self.control.restore_database(primary)

    async def cut(self, primary: str) -> None:
        """Isolate the primary from members and clients until writes recover, or a timeout."""
        others = self.control.others(primary)
        at = time.monotonic()
        await self.control.fault_database(primary, cut_peers=others, cut_clients=True)
        await self._wait_until_recovered(at)
        await self.control.fault_database(primary, cut_peers=[], cut_clients=False)

    async def cut_clients(self, primary: str) -> None:
        """Isolate the primary from clients only until writes recover, or a timeout."""
        at = time.monotonic()
        await self.control.fault_database(primary, cut_clients=True)
        await self._wait_until_recovered(at)
        await self.control.fault_database(primary, cut_clients=False)

    async def cut_members(self, primary: str) -> None:
        """Isolate the primary from members only until writes recover, or a timeout."""
        at = time.monotonic()
        others = self.control.others(primary)
        await self.control.fault_database(primary, cut_peers=others)
        await self._wait_until_recovered(at)
        await self.control.fault_database(primary, cut_peers=[])

    async def pause(self, primary: str) -> None:
        """Suspend the primary's process for `PAUSE_SECONDS`."""
        process = self.cluster.databases[primary]
        process.pause()
        await asyncio.sleep(PAUSE_SECONDS)
        process.resume()

    async def change(self, primary: str) -> None:
        """Request a planned switch to another member through the administration API."""
        target = self.control.others(primary)[0]
        node = next(iter(self.cluster.nodes))
        url = f"{self.cluster.admin_url(node)}/api/v1/groups/{GROUP}/primary"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with (
            aiohttp.ClientSession(headers=headers) as http,
            http.post(url, json={"instance": target}) as response,
        ):
            if not response.ok:
                raise RuntimeError(f"{url}: {response.status} {await response.text()}")

    async def lost_writes(self) -> int:
        """Return the number of acknowledged writes that are missing at the primary."""
        client = CallerClient("reader", SERVICE, GROUP, False)
        await client.connect(*next(iter(self.cluster.clients.items())))
        answer = await client.execute("SELECT v FROM entries FOR UPDATE")
        await client.close()
        if not answer.ok:
            raise RuntimeError(f"reading the written rows failed: {answer.outcome}")
        stored = {str(row[0]) for row in answer.rows}
        return sum(str(number) not in stored for number in self.writers.keys)

    async def _wait_until_recovered(self, since: float) -> bool:
        """Wait until writes are acknowledged steadily after `since`; return whether they were."""
        deadline = since + RECOVERY_SECONDS
        while time.monotonic() < deadline:
            recent = [at for at in self.writers.acknowledged[-20:] if at > since + MARGIN_SECONDS]
            if len(recent) >= 10 and time.monotonic() - recent[-1] < MARGIN_SECONDS:
                return True
            await asyncio.sleep(0.02)
        return False

    async def _wait_until_stable(self) -> str:
        """Wait until all members report the same primary and term; return the primary."""
        deadline = time.monotonic() + RECOVERY_SECONDS
        while time.monotonic() < deadline:
            statuses = await asyncio.gather(
                *(self.control.status(name) for name in self.cluster.databases)
            )
            views = {(row.get("term"), row.get("primary")) for _, row in statuses}
            [view, *others] = views
            if not others and view[1]:
                await asyncio.sleep(SETTLE_SECONDS)
                return str(view[1])
            await asyncio.sleep(0.05)
        raise RuntimeError("the members did not agree on a primary in time")

    async def _term(self, instance: str) -> int:
        _, row = await self.control.status(instance)
        return int(row["term"])


@dataclass(frozen=True, slots=True)
class Plan:
    """Number of faults of each kind, and the latency between members."""

    kills: int
    cuts: int
    client_cuts: int
    member_cuts: int
    pauses: int
    planned: int
    latency_ms: float


async def run_bench(plan: Plan, directory: Path) -> dict[str, Any]:
    """Inject all faults of the plan; return the result as JSON-compatible data."""
    scenario = load_scenario("demo")
    async with process_group(directory) as processes, aiohttp.ClientSession() as http:
        cluster = Cluster(scenario, processes)
        await cluster.start()
        await prepare(cluster, History())
        writers = Writers(cluster, SERVICE, GROUP)
        control = StandInControl(cluster, http)
        for instance in cluster.databases:
            await control.fault_database(instance, latency_ms=plan.latency_ms)
        bench = Bench(cluster, control, writers)
        writing = asyncio.create_task(writers.run())
        try:
            await _inject_faults(plan, bench)
        finally:
            writing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writing
        await writers.close()
        result = {kind: series.summary() for kind, series in bench.series.items()}
        lost = await bench.lost_writes()
    return {
        "plan": asdict(plan),
        "faults": result,
        "writes": len(writers.keys),
        "lost_writes": lost,
        "errors": dict(writers.errors),
    }


async def _inject_faults(plan: Plan, bench: Bench) -> None:
    faults = [
        ("pause", plan.pauses, bench.pause),
        ("planned", plan.planned, bench.change),
        ("kill", plan.kills, bench.kill),
        ("cut", plan.cuts, bench.cut),
        ("client_cut", plan.client_cuts, bench.cut_clients),
        ("member_cut", plan.member_cuts, bench.cut_members),
    ]
    for kind, count, fault in faults:
        for _ in range(count):
            await bench.measure(kind, fault)


@application.command()
def failover(
    kills: Annotated[int, typer.Option(help="Kills of the primary.")] = 20,
    cuts: Annotated[int, typer.Option(help="Isolations from members and clients.")] = 20,
    client_cuts: Annotated[int, typer.Option(help="Isolations from clients only.")] = 5,
    member_cuts: Annotated[int, typer.Option(help="Isolations from members only.")] = 5,
    pauses: Annotated[int, typer.Option(help="Pauses below half a second.")] = 10,
    planned: Annotated[int, typer.Option(help="Planned switches.")] = 5,
    latency_ms: Annotated[float, typer.Option(help="One-way latency between members.")] = 0.0,
    keep: Annotated[Path | None, typer.Option(help="Directory for the logs.")] = None,
) -> None:
    """Measure failover gaps on real processes and print the result as one JSON object."""
    plan = Plan(kills, cuts, client_cuts, member_cuts, pauses, planned, latency_ms)
    with tempfile.TemporaryDirectory() as directory:
        log_directory = keep or Path(directory)
        log_directory.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(run_bench(plan, log_directory))
    typer.echo(json.dumps(result))
