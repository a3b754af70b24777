"""`bramblebeam queues`: who waits before which database, asked of many nodes."""

import json
import sys
from http.client import HTTPException
from typing import Annotated, Any
from urllib.request import urlopen

import typer

QUEUES_PATH = "/queues"
ANSWER_SECONDS = 2.0
"""A node that does not answer for so long is named, and the others are shown."""
COLUMNS = (
    "group",
    "instance",
    "role",
    "slots",
    "under_way",
    "waiting",
    "wait_ms",
    "service_ms",
    "connections",
)


def queues_command(
    nodes: Annotated[list[str], typer.Argument(help="HOST:PORT of nodes' metrics addresses.")],
) -> None:
    """Print each database's queue at the nodes asked, the longest wait first."""
    rows: list[tuple[str, dict[str, Any]]] = []
    failed = False
    for node in nodes:
        try:
            with urlopen(f"http://{node}{QUEUES_PATH}", timeout=ANSWER_SECONDS) as answer:
                rows += [(node, row) for row in json.load(answer)]
        except (OSError, HTTPException, ValueError) as exc:
            typer.echo(f"{node}: {exc}", err=True)
            failed = True
    for line in table_lines(rows):
        typer.echo(line)
    if failed:
        sys.exit(1)


def table_lines(rows: list[tuple[str, dict[str, Any]]]) -> list[str]:
    """Return a table with a row for each database and node, the longest wait first."""
    ordered = sorted(rows, key=lambda found: -found[1].get("wait_ms", 0))
    cells: list[tuple[str, ...]] = [("node", *COLUMNS)]
    cells += [(node, *(str(row.get(name, "?")) for name in COLUMNS)) for node, row in ordered]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]
