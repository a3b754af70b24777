"""`bramblebeam report`: what the logs and metrics of many nodes tell of a run together."""

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
"""Of tables: a row that a terminal breaks is easier to read than cells that are folded."""

application = typer.Typer(no_args_is_help=True, add_completion=False)


class ReportCommand(TyperCommand):
    """Takes every word after `--metrics` up to the next option as a file of it.

    So that a shell's pattern can stand there.
    """

    def parse_args(self, ctx: Any, args: list[str]) -> list[str]:
        """Parse the words after each one was given its own option."""
        return super().parse_args(ctx, repeat_option(args, METRICS_OPTION))


def repeat_option(words: list[str], option: str) -> list[str]:
    """Return the words with `option` before each value that follows it without one."""
    repeated: list[str] = []
    latest = ""
    for word in words:
        if word.startswith("--"):
            latest = word
        elif latest == option and repeated[-1] != option:
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
            help="Scraped metrics texts, one file a node; the logs go before this option.",
        ),
    ] = None,
    html: Annotated[
        Path | None, typer.Option(metavar="FILE", help="Write a page with plots as well.")
    ] = None,
    rows: Annotated[int, typer.Option(min=1, help="Rows to show of each table.")] = 12,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Report over a run: starts, leaders, refused statements, attempts, errors."""
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
    _show(summary, len(summary.rows))
    for table in tables:
        _show(table, rows)


def _write_page(found: RunReport, path: Path) -> None:
    # the library of plots is slow to import
    from bramblebeam.report.rendering.page import render_page

    try:
        path.write_text(render_page(found), encoding="utf-8")
    except OSError as error:
        fail(EXIT_UNREADABLE, f"{path}: {error.strerror}")


def _show(table: Table, rows: int) -> None:
    shown = [[escape(cell.text) for cell in row] for row in table.rows[:rows]]
    print_table(table.title, table.columns, shown, width=WIDTH)
    if len(table.rows) > rows:
        typer.echo(f" ... {len(table.rows) - rows} more rows: --rows N, --html or --json")
    if table.note:
        typer.echo(f" {table.note}")
    typer.echo()
