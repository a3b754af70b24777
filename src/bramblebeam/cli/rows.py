"""`bramblebeam rows …`: reads, edits, applies and compares rows of the shared table."""

import json
import time
import uuid
from pathlib import Path
from typing import Annotated, Any

import typer

from bramblebeam.cli.client import NodeApi, RequestFailed
from bramblebeam.cli.context import (
    EXIT_BAD_REQUEST,
    EXIT_DIFFERENT,
    EXIT_NOT_IN_FORCE,
    exit_on_request_error,
    fail,
    node_api,
    wants_json,
)
from bramblebeam.cli.output import format_spec, print_json, print_table

application = typer.Typer(help="Rows of the shared table.", no_args_is_help=True)

PAGE_SIZE = 1_000
POLL_SECONDS = 0.2

KindArgument = Annotated[str, typer.Argument(help="group, limit or weight.")]
NameArgument = Annotated[str, typer.Argument(help="The row's name.")]
WaitOption = Annotated[
    bool, typer.Option("--wait", help="Wait until it is in force at every node.")
]
TimeoutOption = Annotated[float, typer.Option(help="Maximum wait in seconds.")]

JsonOption = Annotated[bool, typer.Option("--json", help="JSON for programs.")]


@application.command("list")
def list_rows(
    context: typer.Context,
    kind: Annotated[str, typer.Option(help="Only this kind.")] = "",
    prefix: Annotated[str, typer.Option(help="Only names with this prefix.")] = "",
    as_json: JsonOption = False,
) -> None:
    """List the rows in force at the queried node."""
    with exit_on_request_error(context):
        rows = _all_rows(node_api(), kind, prefix)
    if wants_json(context):
        print_json(rows)
        return
    shown = [(row["kind"], row["name"], row["version"], format_spec(row["spec"])) for row in rows]
    print_table(f"{len(rows)} rows", ("KIND", "NAME", "VERSION", "SPEC"), shown)


@application.command("get")
def get_row(
    context: typer.Context, kind: KindArgument, name: NameArgument, as_json: JsonOption = False
) -> None:
    """Show one row in force."""
    with exit_on_request_error(context):
        row = node_api().call("GET", f"/rows/{kind}/{name}")
    if wants_json(context):
        print_json(row)
        return
    print_table(
        f"{kind}/{name} at version {row['version']}", ("FIELD", "VALUE"), row["spec"].items()
    )


@application.command("edit")
def edit_row(
    context: typer.Context,
    kind: KindArgument,
    name: NameArgument,
    values: Annotated[list[str], typer.Argument(help="FIELD=VALUE; VALUE is JSON or text.")],
    version: Annotated[
        int | None, typer.Option(help="The version you saw; left out: the one in force now.")
    ] = None,
    wait: WaitOption = False,
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Change fields of a row, creating it if it does not exist."""
    api = node_api()
    changes = dict(_assignment(value) for value in values)
    with exit_on_request_error(context):
        row = _row_or_none(api, kind, name)
        spec = {**(row["spec"] if row else {}), **changes}
        seen = row["version"] if row else 0
        result = _write(api, kind, name, seen if version is None else version, spec)
        _show_written(context, result, wait, timeout)


@application.command("delete")
def delete_row(
    context: typer.Context,
    kind: KindArgument,
    name: NameArgument,
    version: Annotated[
        int | None, typer.Option(help="The version you saw; left out: the one in force now.")
    ] = None,
    wait: WaitOption = False,
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Delete a row."""
    api = node_api()
    with exit_on_request_error(context):
        if version is None:
            version = api.call("GET", f"/rows/{kind}/{name}")["version"]
        path = f"/rows/{kind}/{name}?expected_version={version}&change_id={uuid.uuid4().hex}"
        _show_written(context, api.call("DELETE", path), wait, timeout)


@application.command("apply")
def apply_file(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="JSON: a list of {kind, name, spec}.")],
    wait: WaitOption = False,
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Write each row of the file that differs from the one in force; keep all other rows."""
    api = node_api()
    wanted = _read_file(file)
    with exit_on_request_error(context):
        changes = _differences(api, wanted)
        results = []
        for change in changes:
            version = change["version"]
            written = _write(api, change["kind"], change["name"], version, change["wanted"])
            results.append({**written, "kind": change["kind"], "name": change["name"]})
        newest = max((result["version"] for result in results), default=0)
        if wait and newest:
            _wait(api, newest, timeout)
    if wants_json(context):
        print_json({"written": results, "unchanged": len(wanted) - len(results)})
        return
    shown = [(result["kind"], result["name"], result["version"]) for result in results]
    title = f"{len(results)} written, {len(wanted) - len(results)} unchanged"
    print_table(title, ("KIND", "NAME", "VERSION"), shown)


@application.command("diff")
def diff_file(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="JSON: a list of {kind, name, spec}.")],
    as_json: JsonOption = False,
) -> None:
    """Show what `apply` would write. Exit code 1 if anything differs."""
    with exit_on_request_error(context):
        changes = _differences(node_api(), _read_file(file))
    if wants_json(context):
        print_json(changes)
    else:
        shown = [
            (
                change["kind"],
                change["name"],
                format_spec(change["current"] or {}),
                format_spec(change["wanted"]),
            )
            for change in changes
        ]
        print_table(f"{len(changes)} differ", ("KIND", "NAME", "IN FORCE", "IN FILE"), shown)
    if changes:
        raise typer.Exit(EXIT_DIFFERENT)


@application.command("wait")
def wait_version(
    context: typer.Context,
    version: Annotated[int, typer.Argument(help="The store version of an edit.")],
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Wait until a version is in force at every node. Exit code 4: timeout."""
    with exit_on_request_error(context):
        found = _wait(node_api(), version, timeout)
    if wants_json(context):
        print_json(found)
        return
    typer.echo(f"version {version} is in force everywhere")


def _all_rows(api: NodeApi, kind: str, prefix: str) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    after: str | None = ""
    while after is not None:
        page = api.call("GET", f"/rows?kind={kind}&prefix={prefix}&after={after}&limit={PAGE_SIZE}")
        rows += page["rows"]
        after = page["next"]
    return rows


def _row_or_none(api: NodeApi, kind: str, name: str) -> dict[str, Any] | None:
    try:
        return api.call("GET", f"/rows/{kind}/{name}")
    except RequestFailed as failed:
        if failed.status == 404:
            return None
        raise


def _write(
    api: NodeApi, kind: str, name: str, version: int, spec: dict[str, Any]
) -> dict[str, Any]:
    """Write a row; retry with the same change id if the answer was lost."""
    body = {"expected_version": version, "spec": spec, "change_id": uuid.uuid4().hex}
    try:
        return api.call("PUT", f"/rows/{kind}/{name}", body)
    except RequestFailed as failed:
        if failed.status not in (0, 504):
            raise
    return api.call("PUT", f"/rows/{kind}/{name}", body)


def _show_written(
    context: typer.Context, result: dict[str, Any], wait: bool, timeout: float
) -> None:
    started_at = time.monotonic()
    if wait and result["version"]:
        _wait(node_api(), result["version"], timeout)
        result["in_force_after_ms"] = round((time.monotonic() - started_at) * 1000)
    if wants_json(context):
        print_json(result)
        return
    typer.echo(f"written as version {result['version']}, change {result['change_id']}")
    if result["overwritten"]:
        typer.echo("a later edit has already overwritten it")
    if "in_force_after_ms" in result:
        typer.echo(f"in force everywhere after {result['in_force_after_ms']} ms")


def _wait(api: NodeApi, version: int, timeout: float) -> dict[str, Any]:
    """Poll until the version is in force everywhere; exit with code 4 on timeout."""
    deadline = time.monotonic() + timeout
    while True:
        found = api.call("GET", f"/in-force?version={version}")
        if found["everywhere"]:
            return found
        if time.monotonic() >= deadline:
            fail(EXIT_NOT_IN_FORCE, _timeout_message(version, found))
        time.sleep(POLL_SECONDS)


def _timeout_message(version: int, found: dict[str, Any]) -> str:
    late = [
        f"{zone['behind']} of {zone['nodes']} nodes of {zone['zone']} "
        f"(slowest {zone['slowest']} at {zone['lowest']})"
        for zone in found["zones"]
        if zone["behind"]
    ]
    late += [f"no reader of {zone} answers" for zone in found["unreachable"]]
    return f"version {version} is not in force everywhere: {'; '.join(late)}"


def _differences(api: NodeApi, wanted: list[dict[str, Any]]) -> list[dict[str, Any]]:
    in_force = {(row["kind"], row["name"]): row for row in _all_rows(api, "", "")}
    changes = []
    for row in wanted:
        found = in_force.get((row["kind"], row["name"]))
        current = found["spec"] if found else None
        if current != row["spec"]:
            changes.append(
                {
                    "kind": row["kind"],
                    "name": row["name"],
                    "version": found["version"] if found else 0,
                    "current": current,
                    "wanted": row["spec"],
                }
            )
    return changes


def _read_file(file: Path) -> list[dict[str, Any]]:
    try:
        rows = json.loads(file.read_text(encoding="utf-8"))
        return [{name: row[name] for name in ("kind", "name", "spec")} for row in rows]
    except (OSError, ValueError, KeyError, TypeError) as error:
        fail(EXIT_BAD_REQUEST, f"{file}: expected a JSON list of {{kind, name, spec}}: {error!r}")


def _assignment(text: str) -> tuple[str, Any]:
    name, separator, value = text.partition("=")
    if not separator:
        fail(EXIT_BAD_REQUEST, f"{text!r}: expected FIELD=VALUE")
    try:
        return name, json.loads(value)
    except ValueError:
        return name, value
