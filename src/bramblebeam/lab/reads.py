"""Measures the share of reads that replicas serve: `bramblebeam lab reads`.

Runs both deployments concurrently on real processes, each scaled down to one group and one node
per zone of its members. The load runs through the phases of `reads_phases` without a break.
"""

import asyncio
import json
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from bramblebeam.lab.collect import collect_nodes
from bramblebeam.lab.history.records import RunEnded
from bramblebeam.lab.judge import judge
from bramblebeam.lab.judge.staleness import BOUNDED_STALENESS
from bramblebeam.lab.processes import ProcessStartError
from bramblebeam.lab.reads_measures import ReadsResult, measure
from bramblebeam.lab.reads_phases import DURATION_SECONDS, PhaseRunner
from bramblebeam.lab.run import Run, open_run
from bramblebeam.lab.scenario import Scenario, load_scenario
from bramblebeam.lab.setup import SetupError

application = typer.Typer()

DEPLOYMENTS = (("villacres", "routes"), ("velotrans", "positions"))
"""Scenario names, each with the one group that is run."""

STALENESS_MS = 1_000
"""Staleness bound in the run; lower than in the deployments so that phases can be short."""
SETTLE_SECONDS = 1.0
VIOLATED = 1
RUN_FAILED = 3


def scaled_down(scenario: Scenario, group: str) -> Scenario:
    """Return the scenario with one group, its share of the load, and one node per zone."""
    selected = next(item for item in scenario.topology.groups if item.name == group)
    zones = {member.zone for member in selected.members}
    regions = [
        region.model_copy(update={"zones": tuple(zone for zone in region.zones if zone in zones)})
        for region in scenario.topology.regions
        if zones.intersection(region.zones)
    ]
    topology = scenario.topology.model_copy(
        update={
            "groups": (selected,),
            "regions": tuple(regions),
            "nodes_of_zone": {},
            "nodes_per_zone": 1,
        }
    )
    services = [
        service.model_copy(update={"staleness_ms": STALENESS_MS})
        for service in scenario.load.services
        if service.group == group
    ]
    share = len(services) / len(scenario.load.services)
    load = scenario.load.model_copy(
        update={
            "services": tuple(services),
            "statements_per_second": scenario.load.statements_per_second * share,
            "duration_seconds": DURATION_SECONDS,
            "edits_per_second": 0.0,
        }
    )
    return scenario.model_copy(update={"topology": topology, "load": load, "faults": ()})


async def run_deployment(name: str, group: str, seed: int, directory: Path) -> ReadsResult:
    """Run one deployment through all phases.

    Raises ProcessStartError and SetupError.
    """
    scenario = scaled_down(load_scenario(name), group)
    async with open_run(scenario, seed, directory) as run:
        await run.begin()
        run.start = time.monotonic()
        phases = PhaseRunner(run)
        await asyncio.gather(run.load.run(), phases.run())
        await asyncio.sleep(SETTLE_SECONDS)
        await _collect_records(run)
        violations = judge(run.history)
        stale = [violation for violation in violations if violation.invariant == BOUNDED_STALENESS]
        result = measure(name, run.history, run.recorder.reads, phases.spans, stale)
        result.violations = [
            f"{violation.invariant}: {violation.detail}" for violation in violations
        ]
        return result


async def _collect_records(run: Run) -> None:
    incomplete = await run.recorder.collect(run.history)
    collect_nodes(run.cluster, run.history)
    run.history.add(RunEnded(time.monotonic(), True, incomplete))


async def run_all(seed: int, directory: Path) -> list[ReadsResult]:
    """Run the deployments concurrently."""
    runs = []
    for name, group in DEPLOYMENTS:
        run_directory = directory / name
        run_directory.mkdir(parents=True, exist_ok=True)
        runs.append(run_deployment(name, group, seed, run_directory))
    return list(await asyncio.gather(*runs))


def show(results: Sequence[ReadsResult]) -> None:
    """Print a table per deployment, followed by its violations."""
    console = Console(width=128)
    for result in results:
        table = Table(title=f"{result.deployment}: reads by phase")
        for column in ("phase", "reads", "share", "not run", "lost", "p50 ms", "p99 ms", "stale"):
            table.add_column(column, justify="left" if column == "phase" else "right")
        table.add_column("share by session: token / no token", justify="right")
        for phase in result.phases:
            table.add_row(
                phase.phase,
                str(phase.reads),
                _share(phase.share),
                str(phase.not_run),
                str(phase.lost),
                f"{phase.p50_ms:.1f}",
                f"{phase.p99_ms:.1f}",
                str(phase.stale),
                f"{_share(phase.share_with_token)} / {_share(phase.share_without_token)}",
            )
        console.print(table)
        for violation in result.violations:
            console.print(violation)


def _share(share: float | None) -> str:
    return "-" if share is None else f"{share:.2%}"


@application.command()
def reads(
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="The result as one JSON object.")] = False,
    keep: Annotated[Path | None, typer.Option(help="Directory for the logs.")] = None,
) -> None:
    """Measure replica reads under lag, a burst and a failover. Exit code 1: violations found."""
    try:
        with tempfile.TemporaryDirectory() as temporary:
            results = asyncio.run(run_all(seed, keep or Path(temporary)))
    except (ProcessStartError, SetupError) as error:
        typer.echo(f"run failed: {error}", err=True)
        raise typer.Exit(RUN_FAILED) from error
    if as_json:
        typer.echo(
            json.dumps({"seed": seed, "deployments": [asdict(result) for result in results]})
        )
    else:
        show(results)
    if any(result.violations for result in results):
        raise typer.Exit(VIOLATED)
