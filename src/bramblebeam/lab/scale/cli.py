"""`bramblebeam lab scale`: what control costs a node at a number of nodes."""

import dataclasses
import json
import sys
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from bramblebeam.lab.scale.measures import measures_text
from bramblebeam.lab.scale.run import ScaleRun, ScaleRunError
from bramblebeam.lab.scale.simulate import SimulatedMeasures, SimulatedScale
from bramblebeam.lab.scale.table import load_results, points_table

application = typer.Typer()

FAILED = 1


@application.command()
def scale(
    nodes: Annotated[int, typer.Option(min=2, max=5_200, help="Hollow nodes.")] = 100,
    processes: Annotated[int, typer.Option(min=1, max=100, help="Processes to share.")] = 4,
    seconds: Annotated[float, typer.Option(help="Length of the quiet window.")] = 20.0,
    simulate: Annotated[bool, typer.Option(help="Membership alone, in virtual time.")] = False,
    seed: Annotated[int, typer.Option(help="Seed of a simulated run.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="The result as one JSON object.")] = False,
) -> None:
    """Run hollow nodes; measure the cost a node and how fast edits and deaths are seen.

    On real sockets: the real transport, membership and configuration. Simulated: membership, with
    a zone lost and a region cut off.
    """
    if simulate:
        simulated = SimulatedScale(nodes, seed, seconds).run()
        typer.echo(_json(simulated) if as_json else _simulated_text(simulated))
        return
    try:
        measures = uvloop.run(ScaleRun(nodes, processes, seconds).run())
    except ScaleRunError as error:
        typer.echo(str(error), err=True)
        sys.exit(FAILED)
    typer.echo(_json(measures) if as_json else measures_text(measures))


@application.command("scale-table")
def scale_table(
    files: Annotated[list[Path], typer.Argument(help="Results of `lab scale --json`.")],
) -> None:
    """Print the points of several results of one kind, and how each cost grows with the nodes."""
    typer.echo(points_table(load_results(files)))


def _json(measures: object) -> str:
    return json.dumps(dataclasses.asdict(measures))  # type: ignore[call-overload]


def _simulated_text(measures: SimulatedMeasures) -> str:
    fields = dataclasses.asdict(measures)
    return "\n".join(f"{name:24} {value}" for name, value in fields.items())
