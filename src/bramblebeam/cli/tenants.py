"""`bramblebeam tenants`: shows tenants' use of their limits and the nodes that count them."""

from typing import Annotated

import typer

from bramblebeam.cli.ask_nodes import NodeRow, align_columns, print_rows

TENANTS_PATH = "/tenants"
COLUMNS = ("tenant", "share", "counted", "allowed", "nodes", "")
AT_ITS_LIMIT = "at its limit"
NEAR_LIMIT_FRACTION = 0.75
"""Nodes admit four fifths of a limit, so a tenant at this part of it is about to be refused."""


def tenants_command(
    nodes: Annotated[list[str], typer.Argument(help="HOST:PORT of nodes' metrics addresses.")],
) -> None:
    """Print each tenant's count of the last 5 s at the queried nodes, and their shares."""
    print_rows(nodes, TENANTS_PATH, table_lines)


def table_lines(rows: list[NodeRow]) -> list[str]:
    """Return a table with one row per tenant over all nodes, the nearest to its limit first."""
    by_tenant: dict[str, list[NodeRow]] = {}
    for node, row in rows:
        by_tenant.setdefault(str(row.get("tenant", "?")), []).append((node, row))
    ordered = sorted(by_tenant.items(), key=lambda item: (-_used_fraction(item[1]), item[0]))
    return align_columns([COLUMNS, *(_cells(tenant, found) for tenant, found in ordered)])


def _used_fraction(found: list[NodeRow]) -> float:
    """Return the used fraction of what a tenant's limit allows."""
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
        AT_ITS_LIMIT if _used_fraction(found) >= NEAR_LIMIT_FRACTION else "",
    )
