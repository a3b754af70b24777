"""`bramblebeam report`: evaluates the logs and metrics of many nodes over one run."""

from pathlib import Path
from typing import Annotated, Any

import typer
from rich.markup import escape
from typer.core import TyperCommand

from bramblebeam.cli.context import fail
from bramblebeam.cli.output import print_json, print_table
from bramblebeam.report.counting.build import build_report
from bramblebeam.report.model import RunReport, to_json_value
from bramblebeam.report.reading.files import UnreadableError
from bramblebeam.report.rendering.tables import Table, build_tables

EXIT_UNREADABLE = 1
METRICS_OPTION = "--metrics"
WIDTH = 180
"""Of tables, in characters: a row that the terminal wraps is easier to read than folded cells."""

application = typer.Typer(no_args_is_help=True, add_completion=False)


class ReportCommand(TyperCommand):
    """Accepts several files after one `--metrics`, up to the next option.

    This allows a shell pattern as its value.
    """

    def parse_args(self, ctx: Any, args: list[str]) -> list[str]:
        """Parse the arguments after repeating `--metrics` before each of its files."""
        return super().parse_args(ctx, expand_option(args, METRICS_OPTION))


def expand_option(words: list[str], option: str) -> list[str]:
    """Return the words with `option` repeated before each of its values."""
    repeated: list[str] = []
    current_option = ""
    for word in words:
        if word.startswith("--"):
            current_option = word
        elif current_option == option and repeated[-1] != option:
            repeated.append(option)
        repeated.append(word)
    return repeated


@application.command(cls=ReportCommand)
def report(
    logs: Annotated[list[Path], typer.Argument(metavar="LOG...", help="JSON logs of nodes.")],
    metrics: Annotated[
        list[Path] | None,
        typer.Option(
            METRICS_OPTION,
            metavar="FILE...",
            help="Scraped metrics texts, one file per node; the logs go before this option.",
        ),
    ] = None,
    html: Annotated[
        Path | None, typer.Option(metavar="FILE", help="Also write a page with plots.")
    ] = None,
    rows: Annotated[int, typer.Option(min=1, help="Rows to show of each table.")] = 12,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Report on a run: starts, leaders, refused statements, attempts, errors."""
    try:
        found = build_report(logs, metrics or [])
    except UnreadableError as error:
        fail(EXIT_UNREADABLE, str(error))
    if html is not None:
        _write_page(found, html)
    if as_json:
        print_json(to_json_value(found))
        return
    summary, *tables = build_tables(found)
    _print(summary, len(summary.rows))
    for table in tables:
        _print(table, rows)


def _write_page(found: RunReport, path: Path) -> None:
    # its plotting library is slow to import
    from bramblebeam.report.rendering.page import render_page

    try:
        path.write_text(render_page(found), encoding="utf-8")
    except OSError as error:
        fail(EXIT_UNREADABLE, f"{path}: {error.strerror}")


def _print(table: Table, rows: int) -> None:
    shown = [[escape(cell.text) for cell in row] for row in table.rows[:rows]]
    print_table(table.title, table.columns, shown, width=WIDTH)
    if len(table.rows) > rows:
        typer.echo(f" ... {len(table.rows) - rows} more rows: --rows N, --html or --json")
    if table.note:
        typer.echo(f" {table.note}")
    typer.echo()
