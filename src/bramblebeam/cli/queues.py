"""`bramblebeam queues`: shows the databases' queues at many nodes."""

from typing import Annotated

import typer

from bramblebeam.cli.ask_nodes import NodeRow, align_columns, print_rows

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
    """Print each database's queue at the queried nodes, the longest wait first."""
    print_rows(nodes, QUEUES_PATH, table_lines)


def table_lines(rows: list[NodeRow]) -> list[str]:
    """Return a table with one row per database and node, the longest wait first."""
    ordered = sorted(rows, key=lambda found: -found[1].get("wait_ms", 0))
    cells: list[tuple[str, ...]] = [("node", *COLUMNS)]
    cells += [(node, *(str(row.get(name, "?")) for name in COLUMNS)) for node, row in ordered]
    return align_columns(cells)
