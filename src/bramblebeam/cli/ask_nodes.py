"""Queries many nodes at their metrics addresses and prints their answers as a table."""

import json
import sys
from collections.abc import Callable, Iterator, Sequence
from http.client import HTTPException
from typing import Any
from urllib.request import urlopen

import typer

NodeRow = tuple[str, dict[str, Any]]
"""A node and one of the objects in its answer, which is a list."""
ANSWER_TIMEOUT_SECONDS = 2.0
"""A node that does not answer within this time is reported on stderr; the others are shown."""


class NodeResponses:
    """Answers of nodes to one path. `failed`: a node gave none, which was reported on stderr."""

    def __init__(self, nodes: Sequence[str], path: str) -> None:
        self.failed = False
        self._nodes = nodes
        self._path = path

    def __iter__(self) -> Iterator[tuple[str, bytes]]:
        """Yield each node that answers, with the body of its answer."""
        for node in self._nodes:
            try:
                with urlopen(
                    f"http://{node}{self._path}", timeout=ANSWER_TIMEOUT_SECONDS
                ) as answer:
                    body = answer.read()
            except (OSError, HTTPException, ValueError) as exc:
                self.record_failure(node, str(exc))
                continue
            yield node, body

    def record_failure(self, node: str, error: str) -> None:
        """Report a node on stderr whose answer is missing or unreadable."""
        typer.echo(f"{node}: {error}", err=True)
        self.failed = True


def print_rows(
    nodes: Sequence[str], path: str, format_rows: Callable[[list[NodeRow]], list[str]]
) -> None:
    """Print the rows that nodes return at a path. Exits with 1 if a node gave no usable answer."""
    rows: list[NodeRow] = []
    answers = NodeResponses(nodes, path)
    for node, body in answers:
        try:
            rows += [(node, row) for row in json.loads(body)]
        except ValueError as exc:
            answers.record_failure(node, str(exc))
    for line in format_rows(rows):
        typer.echo(line)
    if answers.failed:
        sys.exit(1)


def align_columns(cells: Sequence[Sequence[str]]) -> list[str]:
    """Return the rows as lines with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]
