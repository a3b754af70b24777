"""Operators' commands, which use the administration API of any node.

The node's URL, the token and a private CA come from the environment: `BRAMBLEBEAM_ADMIN`,
`BRAMBLEBEAM_TOKEN`, `BRAMBLEBEAM_CA` (a PEM file).
"""

from typing import Annotated, Any

import typer

from bramblebeam.cli import rows
from bramblebeam.cli.context import exit_on_request_error, node_api, wants_json
from bramblebeam.cli.output import print_json, print_table

application = typer.Typer(no_args_is_help=True)
application.add_typer(rows.application, name="rows")

JsonOption = Annotated[bool, typer.Option("--json", help="JSON for programs.")]


@application.command()
def status(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show an overview of the system, as the queried node sees it."""
    with exit_on_request_error(context):
        found = node_api().call("GET", "/status")
    if wants_json(context):
        print_json(found)
        return
    members = ", ".join(f"{count} {state}" for state, count in found["members"].items() if count)
    shown = [
        ("node", f"{found['node']} in {found['zone']}"),
        ("ready", found["ready"]),
        ("version in force", found["complete"]),
        ("reads the store", found["watching_store"]),
        ("rows", found["rows"]),
        ("groups", found["groups"]),
        ("members", members),
    ]
    print_table("System", ("", ""), shown)
    zones = [
        (zone["zone"], zone["nodes"], zone["behind"], zone["lowest"], zone["slowest"])
        for zone in found["zones"]
    ]
    columns = ("ZONE", "NODES", "BEHIND", "LOWEST VERSION", "SLOWEST NODE")
    print_table("Zones", columns, zones, found["unreachable"])


@application.command()
def versions(
    context: typer.Context,
    limit: Annotated[int, typer.Option(help="Nodes to show.")] = 20,
    as_json: JsonOption = False,
) -> None:
    """Show the versions that nodes have in force, the slowest node first."""
    with exit_on_request_error(context):
        found = node_api().call("GET", f"/versions?limit={limit}")
    if wants_json(context):
        print_json(found)
        return
    shown = [(node["node"], node["zone"], node["version"]) for node in found["nodes"]]
    title = f"Versions in force, {len(shown)} of {found['total']} nodes"
    print_table(title, ("NODE", "ZONE", "VERSION"), shown, found["unreachable"])


@application.command()
def members(
    context: typer.Context,
    zone: Annotated[str, typer.Option(help="Only this zone's.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the nodes that the queried node knows."""
    with exit_on_request_error(context):
        found = _pages(context, f"/members?zone={zone}", "members")
    if wants_json(context):
        print_json({"members": found})
        return
    columns = ("node", "zone", "region", "state", "incarnation", "admin")
    shown = [[member[column] for column in columns] for member in found]
    print_table("Members", [column.upper() for column in columns], shown)


@application.command()
def groups(
    context: typer.Context,
    group: Annotated[str, typer.Argument(help="Only this group.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show database groups: term, primary, positions and lag of their members."""
    with exit_on_request_error(context):
        if group:
            found = [node_api().call("GET", f"/groups/{group}")]
        else:
            found = _pages(context, "/groups", "groups")
    if wants_json(context):
        print_json({"groups": found})
        return
    columns = (
        "instance",
        "zone",
        "role",
        "term",
        "last",
        "applied",
        "lag_ms",
        "leaving",
        "drained",
        "owner",
    )
    for one in found:
        title = f"{one['group']}: term {one['term']}, primary {one['primary'] or '?'}"
        shown = [[member[column] for column in columns] for member in one["members"]]
        print_table(title, [column.upper() for column in columns], shown, one["unreachable"])


@application.command()
def pools(
    context: typer.Context,
    group: Annotated[str, typer.Argument(help="Only this group's.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the slots of back ends by service: used, borrowed and queued."""
    with exit_on_request_error(context):
        missing: list[str] = []
        found = _pages(context, f"/pools?group={group}", "pools", missing)
    if wants_json(context):
        print_json({"pools": found, "unreachable": missing})
        return
    shown = []
    for pool in found:
        shown.append(
            (pool["instance"], pool["owner"], "", pool["limit"], pool["used"], "", pool["queued"])
        )
        shown += [
            ("", "", part["service"], part["slots"], part["used"], part["borrowed"], part["queued"])
            for part in pool["services"]
        ]
    columns = ("INSTANCE", "OWNER", "SERVICE", "SLOTS", "USED", "BORROWED", "QUEUED")
    print_table("Pools", columns, shown, missing)


@application.command("change-primary")
def change_primary(
    context: typer.Context,
    group: Annotated[str, typer.Argument(help="The group.")],
    instance: Annotated[str, typer.Argument(help="The member to make primary.")],
    as_json: JsonOption = False,
) -> None:
    """Change a group's primary as a planned change; writes wait for about one round trip."""
    with exit_on_request_error(context):
        body = {"instance": instance}
        found = node_api().call("POST", f"/groups/{group}/primary", body)
    if wants_json(context):
        print_json(found)
        return
    typer.echo(
        f"{found['outcome']}: {found['primary']} is primary of {group} in term {found['term']}, "
        f"after {found['duration_ms']} ms"
    )


@application.command()
def drain(
    context: typer.Context,
    kind: Annotated[str, typer.Argument(help="instance or node.")],
    name: Annotated[str, typer.Argument(help="Its name.")],
    undo: Annotated[bool, typer.Option("--undo", help="Return the back end to service.")] = False,
    force: Annotated[
        bool, typer.Option("--force", help="Also drain a primary, which the group must then move.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Take a back end out of service, or start a node's planned stop."""
    if kind not in ("instance", "node") or (undo and kind == "node"):
        raise typer.BadParameter("expected: drain instance NAME [--undo], or drain node NAME")
    body: dict[str, Any] | None = (
        {"drain": not undo, "force": force} if kind == "instance" else None
    )
    with exit_on_request_error(context):
        found = node_api().call("POST", f"/{kind}s/{name}/drain", body)
    if wants_json(context):
        print_json(found)
    elif kind == "node":
        typer.echo(f"{name} has started its planned stop")
    else:
        state = "back in service" if undo else "to get no new work"
        typer.echo(f"{name} is {state}, by version {found['version']} of its weight row")


def _pages(
    context: typer.Context, path: str, key: str, missing: list[str] | None = None
) -> list[dict[str, Any]]:
    """Return the entries of all pages of a list; adds unreachable zones to `missing`."""
    entries: list[dict[str, Any]] = []
    after = ""
    separator = "&" if "?" in path else "?"
    while True:
        page = node_api().call("GET", f"{path}{separator}after={after}")
        entries += page[key]
        if missing is not None:
            missing += page["unreachable"]
        if not page["next"]:
            return entries
        after = page["next"]
