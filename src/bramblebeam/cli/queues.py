"""`bramblebeam queues`: who waits before which database, asked of many nodes."""

import json
import sys
from typing import Annotated, Any

import typer

from bramblebeam.cli.ask_nodes import NodeAnswers, aligned

QUEUES_PATH = "/queues"
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
    answers = NodeAnswers(nodes, QUEUES_PATH)
    for node, body in answers:
        try:
            rows += [(node, row) for row in json.loads(body)]
        except ValueError as exc:
            answers.note_failed(node, str(exc))
    for line in table_lines(rows):
        typer.echo(line)
    if answers.failed:
        sys.exit(1)


def table_lines(rows: list[tuple[str, dict[str, Any]]]) -> list[str]:
    """Return a table with a row for each database and node, the longest wait first."""
    ordered = sorted(rows, key=lambda found: -found[1].get("wait_ms", 0))
    cells: list[tuple[str, ...]] = [("node", *COLUMNS)]
    cells += [(node, *(str(row.get(name, "?")) for name in COLUMNS)) for node, row in ordered]
    return aligned(cells)
