"""Asks many nodes at their metrics addresses, and lays out what they answer."""

import json
import sys
from collections.abc import Callable, Iterator, Sequence
from http.client import HTTPException
from typing import Any
from urllib.request import urlopen

import typer

NodeRow = tuple[str, dict[str, Any]]
"""A node, and one of the objects in the list that it answered."""
ANSWER_SECONDS = 2.0
"""A node that does not answer for so long is named, and the others are shown."""


class NodeResponses:
    """The answers of nodes to one path. `failed`: some gave none; they were named on stderr."""

    def __init__(self, nodes: Sequence[str], path: str) -> None:
        self.failed = False
        self._nodes = nodes
        self._path = path

    def __iter__(self) -> Iterator[tuple[str, bytes]]:
        """Yield each node that answers, and its answer's body."""
        for node in self._nodes:
            try:
                with urlopen(f"http://{node}{self._path}", timeout=ANSWER_SECONDS) as answer:
                    body = answer.read()
            except (OSError, HTTPException, ValueError) as exc:
                self.record_failure(node, str(exc))
                continue
            yield node, body

    def record_failure(self, node: str, error: str) -> None:
        """Name a node whose answer is none, or can't be read."""
        typer.echo(f"{node}: {error}", err=True)
        self.failed = True


def print_rows(
    nodes: Sequence[str], path: str, lines_of: Callable[[list[NodeRow]], list[str]]
) -> None:
    """Print the rows that nodes answer with at a path. Exits with 1 where one gave no answer."""
    rows: list[NodeRow] = []
    answers = NodeResponses(nodes, path)
    for node, body in answers:
        try:
            rows += [(node, row) for row in json.loads(body)]
        except ValueError as exc:
            answers.record_failure(node, str(exc))
    for line in lines_of(rows):
        typer.echo(line)
    if answers.failed:
        sys.exit(1)


def align_columns(cells: Sequence[Sequence[str]]) -> list[str]:
    """Return rows as lines whose columns are aligned."""
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]
