"""Comparison of two runs in a text table."""

from rich.console import Console
from rich.table import Table

from bramblebeam.lab.report.summary import formatted_figures
from bramblebeam.lab.result import RunResult

WIDTH = 110


def compare_text(before: RunResult, after: RunResult) -> str:
    """Return a text table of both runs' figures and violations."""
    table = Table(title="before and after")
    table.add_column("figure")
    table.add_column(f"{before.scenario}, seed {before.seed}", justify="right")
    table.add_column(f"{after.scenario}, seed {after.seed}", justify="right")
    for (name, first), (_, second) in zip(
        formatted_figures(before), formatted_figures(after), strict=True
    ):
        table.add_row(name, first, second)
    for name in sorted({*before.invariant_violations, *after.invariant_violations}):
        first = str(before.invariant_violations.get(name, 0))
        table.add_row(name, first, str(after.invariant_violations.get(name, 0)))
    console = Console(width=WIDTH, no_color=True, highlight=False)
    with console.capture() as captured:
        console.print(table)
    return captured.get()
