"""`bramblebeam tenants`: which nodes count which tenant, and by how much of its limit."""

from typing import Annotated

import typer

from bramblebeam.cli.ask_nodes import NodeRow, align_columns, print_rows

TENANTS_PATH = "/tenants"
COLUMNS = ("tenant", "share", "counted", "allowed", "nodes", "")
AT_ITS_LIMIT = "at its limit"
AT_LIMIT_PART = 0.75
"""Nodes admit four fifths of a limit: a tenant with so much of it is about to be refused."""


def tenants_command(
    nodes: Annotated[list[str], typer.Argument(help="HOST:PORT of nodes' metrics addresses.")],
) -> None:
    """Print for each tenant what the nodes asked counted in the last 5 s, by which share."""
    print_rows(nodes, TENANTS_PATH, table_lines)


def table_lines(rows: list[NodeRow]) -> list[str]:
    """Return a table with a row for each tenant over all nodes, the one nearest its limit first."""
    by_tenant: dict[str, list[NodeRow]] = {}
    for node, row in rows:
        by_tenant.setdefault(str(row.get("tenant", "?")), []).append((node, row))
    ordered = sorted(by_tenant.items(), key=lambda item: (-_used(item[1]), item[0]))
    return align_columns([COLUMNS, *(_cells(tenant, found) for tenant, found in ordered)])


def _used(found: list[NodeRow]) -> float:
    """Return how much of what its limit allows a tenant has used."""
    allowed = _allowed(found)
    return _sum(found, "counted") / allowed if allowed else 0.0


def _allowed(found: list[NodeRow]) -> float:
    return max(float(row.get("allowed", 0.0)) for _, row in found)


def _sum(found: list[NodeRow], name: str) -> float:
    return sum(float(row.get(name, 0.0)) for _, row in found)


def _cells(tenant: str, found: list[NodeRow]) -> tuple[str, ...]:
    return (
        tenant,
        f"{_sum(found, 'share'):.2f}",
        f"{_sum(found, 'counted'):.0f}",
        f"{_allowed(found):.0f}",
        " ".join(f"{node} {row.get('share', '?')}" for node, row in found),
        AT_ITS_LIMIT if _used(found) >= AT_LIMIT_PART else "",
    )
