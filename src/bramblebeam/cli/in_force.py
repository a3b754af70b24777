"""`bramblebeam in-force`: shows the lists that nodes use and marks nodes that are behind."""

import sys
from typing import Annotated, NamedTuple

import typer

from bramblebeam.cli.ask_nodes import NodeResponses, align_columns
from bramblebeam.report.reading.metrics_text import Series, parse_metrics

METRICS_PATH = "/metrics"
COLUMNS = ("node", "version", "routes", "age_s", "databases", "age_s", "")
BEHIND = "behind"


class InForceState(NamedTuple):
    """The lists of the store that one node uses, and the version of its routes.

    `routes`, `databases`: era and revision of the lists. Ages: seconds since the store confirmed
    them.
    """

    node: str
    version: int
    routes: tuple[int, int]
    routes_age: float
    databases: tuple[int, int]
    databases_age: float

    def is_behind(self, others: list["InForceState"]) -> bool:
        """Whether another node has a newer configuration or has seen a later era."""
        newest = max(other.version for other in others)
        eras = [era for other in others for era in (other.routes[0], other.databases[0])]
        return self.version < newest or min(self.routes[0], self.databases[0]) < max(eras)


def in_force_command(
    nodes: Annotated[list[str], typer.Argument(help="HOST:PORT of nodes' metrics addresses.")],
) -> None:
    """Print the version, era and revision that each node uses, and mark nodes that are behind."""
    answers = NodeResponses(nodes, METRICS_PATH)
    found: list[InForceState] = []
    for node, body in answers:
        try:
            found.append(parse_in_force(node, body.decode(errors="replace")))
        except KeyError as exc:
            answers.record_failure(node, f"its metrics lack {exc}")
    for line in table_lines(found):
        typer.echo(line)
    if answers.failed or any(row.is_behind(found) for row in found):
        sys.exit(1)


def parse_in_force(node: str, text: str) -> InForceState:
    """Parse a node's metrics. Raises KeyError if a metric is missing."""
    figures = parse_metrics(text)

    def list_metric(name: str, list_name: str) -> float:
        return figures[Series(f"bramblebeam_list_{name}", (("list", list_name),))]

    return InForceState(
        node,
        int(figures[Series("bramblebeam_routes_version")]),
        (int(list_metric("era", "routes")), int(list_metric("revision", "routes"))),
        list_metric("age_seconds", "routes"),
        (int(list_metric("era", "databases")), int(list_metric("revision", "databases"))),
        list_metric("age_seconds", "databases"),
    )


def table_lines(rows: list[InForceState]) -> list[str]:
    """Return a table with the nodes that are behind first."""
    ordered = sorted(rows, key=lambda row: (not row.is_behind(rows), row.node))
    return align_columns([COLUMNS, *(_cells(row, row.is_behind(rows)) for row in ordered)])


def _cells(row: InForceState, is_behind: bool) -> tuple[str, ...]:
    return (
        row.node,
        str(row.version),
        "{}.{}".format(*row.routes),
        f"{row.routes_age:.1f}",
        "{}.{}".format(*row.databases),
        f"{row.databases_age:.1f}",
        BEHIND if is_behind else "",
    )
