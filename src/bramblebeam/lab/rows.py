"""Builds a scenario's configuration rows and its nodes' settings files."""

import json
from collections.abc import Mapping
from typing import Any

from bramblebeam.lab.scenario import Group, Scenario

Address = tuple[str, int]

QUEUE_WAIT_MS = 4_000
"""Longer than recovery from the loss of a node, so that callers wait without an error."""

OPERATOR_TOKEN = "laboratory-operator"


def initial_rows(scenario: Scenario, databases: Mapping[str, Address]) -> list[dict[str, Any]]:
    """Return all group, limit and weight rows in the format of the simulated platform."""
    rows = [
        {"kind": "group", "name": group.name, "spec": _group_spec(group, databases)}
        for group in scenario.topology.groups
    ]
    for service in scenario.load.services:
        spec = {
            "service": service.name,
            "group": service.group,
            "slots": service.slots,
            "burst": service.burst,
            "connections": service.connections,
            "staleness_ms": service.staleness_ms,
            "queue_wait_ms": QUEUE_WAIT_MS,
        }
        name = f"{service.name}.{service.group}"
        rows.append({"kind": "limit", "name": name, "spec": spec})
    for instance in scenario.topology.instances:
        spec = {"instance": instance, "read_weight": 100}
        rows.append({"kind": "weight", "name": instance, "spec": spec})
    return rows


def slots_of_group(scenario: Scenario, group: str) -> int:
    """Return the number of slots per member of the group, summed over all services."""
    return sum(service.slots for service in scenario.load.services if service.group == group)


def node_settings(
    scenario: Scenario,
    node: str,
    peers: Mapping[str, Address],
    platform_url: str,
    listen: Mapping[str, Address],
) -> str:
    """Return the text of a node's settings file.

    `listen` holds its addresses by section: `peer`, `client` and `admin`.
    """
    zones = scenario.topology.nodes
    zone = zones[node]
    lines = [
        f'node = "{node}"',
        f'zone = "{zone}"',
        f'region = "{scenario.topology.region_of(zone)}"',
        "drain_seconds = 8.0",
    ]
    for section, (host, port) in listen.items():
        lines += ["", f"[{section}]", f'host = "{host}"', f"port = {port}"]
    lines += ["", "[[admin.tokens]]", f'token = "{OPERATOR_TOKEN}"', 'role = "operate"']
    lines += ["", "[platform]", f'url = "{platform_url}"']
    lines += ["", "[log]", 'level = "info"', 'format = "json"']
    for peer, address in peers.items():
        if peer != node:
            lines += ["", "[[seeds]]", f'node = "{peer}"', f'zone = "{zones[peer]}"']
            lines += [f"address = {json.dumps(list(address))}"]
    return "\n".join(lines) + "\n"


def _group_spec(group: Group, databases: Mapping[str, Address]) -> dict[str, Any]:
    members = []
    for member in group.members:
        host, port = databases[member.instance]
        members.append(
            {"instance": member.instance, "zone": member.zone, "host": host, "port": port}
        )
    return {"members": members, "failover": "managed"}
