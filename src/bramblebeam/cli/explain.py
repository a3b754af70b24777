"""`bramblebeam explain`: shows one request's lines from the logs of several processes."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from bramblebeam.events.explain import LogLine, explain, parse_line


def explain_command(
    identifier: Annotated[str, typer.Argument(help="The id of the request.")],
    files: Annotated[list[Path], typer.Argument(help="Log files of any processes.")],
) -> None:
    """Print a request's log lines in order and mark the one that decided its outcome."""
    lines: list[LogLine] = []
    for path in files:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}", err=True)
            sys.exit(2)
        parsed = (parse_line(line, path.name) for line in text.splitlines())
        lines.extend(line for line in parsed if line is not None)
    found = explain(identifier, lines)
    for line in found.lines:
        mark = "=>" if line is found.deciding else "  "
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        typer.echo(f"{mark} {line.time} {line.source} [{line.event}] {line.message}: {fields}")
    if not found.lines:
        typer.echo("no line has this id: the request succeeded, or its line was dropped")
        sys.exit(1)
