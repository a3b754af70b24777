"""Commands of the test lab: `bramblebeam lab …`."""

import asyncio
import sys
import tempfile
from importlib import import_module
from pathlib import Path
from typing import Annotated, NoReturn

import typer
from pydantic import ValidationError

from bramblebeam.cli.mount import LazyGroup
from bramblebeam.lab.processes import ProcessStartError
from bramblebeam.lab.result import RunResult
from bramblebeam.lab.scenario import ScenarioError, load_scenario
from bramblebeam.lab.setup import SetupError


class LabGroup(LazyGroup):
    """Commands of this module, merged with those of the lab's other modules."""

    merged = (
        "bramblebeam.lab.simulator.cli",
        "bramblebeam.lab.failover_bench",
        "bramblebeam.lab.schedules.cli",
        "bramblebeam.lab.bench",
        "bramblebeam.lab.reads",
    )


application = typer.Typer(
    cls=LabGroup,
    help="Test lab: simulated dependencies, load, faults and checked runs. Not part of a node.",
    no_args_is_help=True,
    add_completion=False,
)

SIMULATOR = "bramblebeam.lab.simulator.run"
VIOLATED = 1
BAD_INPUT = 2
RUN_FAILED = 3


@application.command()
def run(
    scenario: Annotated[str, typer.Argument(help="Scenario file, or name of a bundled one.")],
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = 1,
    simulate: Annotated[
        bool, typer.Option(help="Simulate in virtual time, without processes.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="The result as one JSON object.")] = False,
    seconds: Annotated[
        float, typer.Option(help="Duration of the load. 0: as in the scenario.")
    ] = 0.0,
    keep: Annotated[Path | None, typer.Option(help="Directory for logs and history.")] = None,
    mutate: Annotated[str, typer.Option(help="Run the nodes with this mutation.")] = "",
) -> None:
    """Run a scenario and check its history. Exit code 0: no violations, 1: violations found."""
    try:
        loaded = load_scenario(scenario)
    except ScenarioError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_INPUT) from error
    if simulate:
        simulator = import_module(SIMULATOR)
        result = simulator.simulate_scenario(loaded, seed)
    else:
        from bramblebeam.lab.run import run_scenario

        try:
            result = asyncio.run(run_scenario(loaded, seed, seconds, keep, mutate))
        except (ProcessStartError, SetupError) as error:
            typer.echo(f"run failed: {error}", err=True)
            raise typer.Exit(RUN_FAILED) from error
    _finish(result, as_json)


@application.command()
def demo() -> None:
    """Run a demo with faults on real processes in under a minute. Exit code 0: no violations."""
    from bramblebeam.lab.demo import run_demo

    sys.exit(asyncio.run(run_demo()))


@application.command()
def roam(
    moves: Annotated[int, typer.Option(help="Moves between nodes.")] = 1_000,
    lag_ms: Annotated[int, typer.Option(help="Replication lag of one replica.")] = 300,
    with_token: Annotated[bool, typer.Option(help="The session sends its causal token.")] = False,
    mutate: Annotated[str, typer.Option(help="Run the nodes with this mutation.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="The result as one JSON object.")] = False,
) -> None:
    """Move a session between nodes after each write. Exit code 1: a read missed its write."""
    from bramblebeam.lab.roam import run_roaming

    with tempfile.TemporaryDirectory() as directory:
        work = run_roaming(moves, lag_ms, with_token, mutate, Path(directory))
        _finish(asyncio.run(work), as_json)


@application.command()
def crash(
    owner: Annotated[bool, typer.Option(help="Kill the owner of the primary's slots.")] = False,
) -> None:
    """Kill a node with open transactions and print the result as one JSON object."""
    from bramblebeam.lab.crash import run_crash

    with tempfile.TemporaryDirectory() as directory:
        result = asyncio.run(run_crash(owner, Path(directory)))
    typer.echo(result.model_dump_json())
    sys.exit(VIOLATED if result.run.violated or result.slots_free_ms is None else 0)


@application.command()
def report(
    result: Annotated[Path, typer.Argument(help="The JSON object of a run.")],
    page: Annotated[Path | None, typer.Option(help="File to write the page to.")] = None,
) -> None:
    """Write an HTML page with plots of a run."""
    from bramblebeam.lab.report import write_report

    target = page or result.with_suffix(".html")
    write_report(_read(result), target)
    typer.echo(str(target))


@application.command()
def compare(
    before: Annotated[Path, typer.Argument(help="The JSON object of a run.")],
    after: Annotated[Path, typer.Argument(help="The JSON object of a later run.")],
) -> None:
    """Compare the results of two runs."""
    from bramblebeam.lab.report import compare_text

    typer.echo(compare_text(_read(before), _read(after)), nl=False)


def _finish(result: RunResult, as_json: bool) -> NoReturn:
    from bramblebeam.lab.report.terminal import result_text

    typer.echo(result.model_dump_json() if as_json else result_text(result))
    sys.exit(VIOLATED if result.violated else 0)


def _read(path: Path) -> RunResult:
    """Return the result in a file whose last line is the JSON object of a run."""
    try:
        return RunResult.model_validate_json(path.read_text().strip().splitlines()[-1])
    except (OSError, IndexError, ValidationError) as error:
        typer.echo(f"{path}: expected the JSON object of a run: {error}", err=True)
        raise typer.Exit(BAD_INPUT) from error
