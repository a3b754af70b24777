"""Result of a run as text for a terminal."""

from rich.console import Console
from rich.table import Table

from bramblebeam.lab.report.summary import formatted_figures
from bramblebeam.lab.result import RunResult

WIDTH = 100


def result_text(result: RunResult) -> str:
    """Return tables of a run's figures and invariants, followed by its violations."""
    console = Console(width=WIDTH, no_color=True, highlight=False)
    with console.capture() as captured:
        console.print(_figures(result))
        console.print(_invariants(result))
        for violation in result.violations:
            console.print(f"violation: {violation}")
    return captured.get()


def _figures(result: RunResult) -> Table:
    table = Table(title=f"{result.scenario}, seed {result.seed}, {result.mode}")
    table.add_column("figure")
    table.add_column("value", justify="right")
    for name, value in formatted_figures(result):
        table.add_row(name, value)
    return table


def _invariants(result: RunResult) -> Table:
    table = Table(title="invariants")
    table.add_column("invariant")
    table.add_column("observations", justify="right")
    table.add_column("violations", justify="right")
    for name, count in result.invariant_violations.items():
        table.add_row(name, str(result.examined.get(name, 0)), str(count))
    return table
