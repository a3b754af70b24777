"""`bramblebeam lab scale`: what control costs a node at a number of nodes."""

import dataclasses
import json
import sys
from typing import Annotated

import typer
import uvloop

from bramblebeam.lab.scale.measures import measures_text
from bramblebeam.lab.scale.run import ScaleRun, ScaleRunError

application = typer.Typer()

FAILED = 1


@application.command()
def scale(
    nodes: Annotated[int, typer.Option(min=2, max=5_200, help="Hollow nodes.")] = 100,
    processes: Annotated[int, typer.Option(min=1, max=100, help="Processes to share.")] = 4,
    seconds: Annotated[float, typer.Option(help="Length of the quiet window.")] = 20.0,
    trace_memory: Annotated[bool, typer.Option(help="Trace allocations (slow).")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="The result as one JSON object.")] = False,
) -> None:
    """Run hollow nodes on real sockets; measure cost a node, times of an edit and of a death."""
    run = ScaleRun(nodes, processes, seconds, trace_memory)
    try:
        measures = uvloop.run(run.run())
    except ScaleRunError as error:
        typer.echo(str(error), err=True)
        sys.exit(FAILED)
    text = json.dumps(dataclasses.asdict(measures)) if as_json else measures_text(measures)
    typer.echo(text)
