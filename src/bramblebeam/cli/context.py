"""Shared by operators' commands: the node to query, the output format and the exit codes."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NoReturn

import typer

from bramblebeam.cli.client import NodeApi, RequestFailed
from bramblebeam.cli.output import format_spec, print_json

EXIT_DIFFERENT = 1
EXIT_BAD_REQUEST = 2
"""The request was invalid or the token does not permit it; nothing was changed."""
EXIT_CONFLICT = 3
"""Another edit was made first; nothing was changed."""
EXIT_NOT_IN_FORCE = 4
EXIT_UNAVAILABLE = 5
"""Nothing was changed, or the node gave no answer; retry later."""
EXIT_UNKNOWN = 6
"""The change may have been made."""

_EXIT_CODES = {409: EXIT_CONFLICT, 429: EXIT_UNAVAILABLE, 503: EXIT_UNAVAILABLE, 504: EXIT_UNKNOWN}

URL_VARIABLE = "BRAMBLEBEAM_ADMIN"
TOKEN_VARIABLE = "BRAMBLEBEAM_TOKEN"
CA_VARIABLE = "BRAMBLEBEAM_CA"
DEFAULT_URL = "http://127.0.0.1:8080"


def node_api() -> NodeApi:
    """Return the API of the node that the environment names."""
    url = os.environ.get(URL_VARIABLE, DEFAULT_URL).rstrip("/")
    token = os.environ.get(TOKEN_VARIABLE, "")
    return NodeApi(url, token, os.environ.get(CA_VARIABLE, ""))


def wants_json(context: typer.Context) -> bool:
    """Whether the command was called with --json."""
    return bool(context.params.get("as_json"))


def fail(code: int, message: str) -> NoReturn:
    """Exit with a message on standard error."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


@contextmanager
def exit_on_request_error(context: typer.Context) -> Iterator[None]:
    """Turn a failed request into a message and an exit code."""
    try:
        yield
    except RequestFailed as failed:
        _print_failure(context, failed)
        default = (
            EXIT_UNAVAILABLE if failed.status == 0 or failed.status >= 500 else EXIT_BAD_REQUEST
        )
        raise typer.Exit(_EXIT_CODES.get(failed.status, default)) from failed


def _print_failure(context: typer.Context, failed: RequestFailed) -> None:
    if wants_json(context):
        print_json({"status": failed.status, **failed.problem})
        return
    typer.echo(f"refused: {failed}", err=True)
    if failed.problem.get("retry_after_ms"):
        typer.echo(f"  retry after {failed.problem['retry_after_ms']} ms", err=True)
    details = failed.problem.get("details", {})
    if failed.status == 409 and "yours" in details:
        current = details["current"]
        shown = format_spec(current["spec"]) if current else "(deleted)"
        version = current["version"] if current else "?"
        typer.echo(f"  in the store, version {version}: {shown}", err=True)
        yours = details["yours"]
        typer.echo(
            f"  yours, of version {yours['expected_version']}: {format_spec(yours['spec'])}",
            err=True,
        )
    for field, message in details.get("fields", {}).items():
        typer.echo(f"  {field}: {message}", err=True)
