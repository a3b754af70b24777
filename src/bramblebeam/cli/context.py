"""What every operator's command shares: the node to ask, the form of output, exit codes."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NoReturn

import typer

from bramblebeam.cli.client import NodeApi, RequestFailed
from bramblebeam.cli.output import print_json, spec_text

EXIT_DIFFERENT = 1
EXIT_WRONG = 2
"""The request was wrong, or the token does not allow it; nothing was done."""
EXIT_CONFLICT = 3
"""Another edit came first; nothing was done."""
EXIT_NOT_IN_FORCE = 4
EXIT_UNAVAILABLE = 5
"""Nothing was done, or the node could not be asked; come back later."""
EXIT_UNKNOWN = 6
"""It may have been done."""

_EXIT_CODES = {409: EXIT_CONFLICT, 429: EXIT_UNAVAILABLE, 503: EXIT_UNAVAILABLE, 504: EXIT_UNKNOWN}

URL_VARIABLE = "BRAMBLEBEAM_ADMIN"
TOKEN_VARIABLE = "BRAMBLEBEAM_TOKEN"
CA_VARIABLE = "BRAMBLEBEAM_CA"
DEFAULT_URL = "http://127.0.0.1:8080"


def node_api() -> NodeApi:
    """Return the API of the node to ask."""
    url = os.environ.get(URL_VARIABLE, DEFAULT_URL).rstrip("/")
    token = os.environ.get(TOKEN_VARIABLE, "")
    return NodeApi(url, token, os.environ.get(CA_VARIABLE, ""))


def wants_json(context: typer.Context) -> bool:
    """Whether the output is for programs."""
    return bool(context.params.get("as_json"))


def fail(code: int, message: str) -> NoReturn:
    """End the command with a message on standard error."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


@contextmanager
def reporting(context: typer.Context) -> Iterator[None]:
    """Turn a refusal into a message and an exit code."""
    try:
        yield
    except RequestFailed as failed:
        _report(context, failed)
        default = EXIT_UNAVAILABLE if failed.status == 0 or failed.status >= 500 else EXIT_WRONG
        raise typer.Exit(_EXIT_CODES.get(failed.status, default)) from failed


def _report(context: typer.Context, failed: RequestFailed) -> None:
    if wants_json(context):
        print_json({"status": failed.status, **failed.problem})
        return
    typer.echo(f"refused: {failed}", err=True)
    if failed.problem.get("retry_after_ms"):
        typer.echo(f"  come back after {failed.problem['retry_after_ms']} ms", err=True)
    details = failed.problem.get("details", {})
    if failed.status == 409 and "yours" in details:
        current = details["current"]
        shown = spec_text(current["spec"]) if current else "(deleted)"
        version = current["version"] if current else "?"
        typer.echo(f"  in the store, version {version}: {shown}", err=True)
        yours = details["yours"]
        typer.echo(
            f"  yours, of version {yours['expected_version']}: {spec_text(yours['spec'])}", err=True
        )
    for field, message in details.get("fields", {}).items():
        typer.echo(f"  {field}: {message}", err=True)
