"""Output of commands: tables for people, JSON for programs."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

import typer
from rich.console import Console
from rich.table import Table


def print_json(value: Any) -> None:
    """Print one JSON value."""
    typer.echo(json.dumps(value, indent=2, ensure_ascii=False))


def print_table(
    title: str,
    columns: Sequence[str],
    rows: Iterable[Sequence[Any]],
    missing: Sequence[str] = (),
    width: int | None = None,
) -> None:
    """Print a table, then the names in `missing` as not reached.

    `width`: in characters; None: that of the terminal. Long cells are folded.
    """
    table = Table(title=title, title_justify="left", box=None, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(_cell_text(cell) for cell in row))
    console = Console(soft_wrap=True, width=width)
    console.print(table)
    if missing:
        console.print(f"Not reached: {', '.join(missing)}", style="yellow", highlight=False)


def format_spec(spec: dict[str, Any] | None) -> str:
    """Return a row's spec on one line; None is a deleted row."""
    if spec is None:
        return "(deleted)"
    parts = (f"{name}={json.dumps(value)}" for name, value in spec.items())
    return " ".join(parts)


def _cell_text(cell: Any) -> str:
    if cell is None:
        return "?"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)
