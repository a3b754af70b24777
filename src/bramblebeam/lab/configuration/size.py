"""Measures what the rows of a large system cost a node: memory, start time, time per edit."""

import json
import time
import tracemalloc
from typing import Annotated

import typer

from bramblebeam.core.configuration.relay import ConfigurationRelay
from bramblebeam.core.configuration.relay_events import RowsApplied, RowsListed, RowsWatched
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.configuration.view_builder import ViewBuilder
from bramblebeam.core.identity import NodeId, ZoneId

MEMBERS = 3
SERVICES = 3
EDITS = 200


def make_rows(groups: int) -> tuple[Row, ...]:
    """Return the rows of `groups` groups of three members and three services."""
    specs: list[tuple[RowKey, object]] = []
    for number in range(groups):
        group = f"group{number}"
        members = [
            {"instance": f"{group}-{index}", "zone": f"zone-{index}", "host": "10.0.0.1", "port": 1}
            for index in range(1, MEMBERS + 1)
        ]
        specs.append((RowKey("group", group), {"members": members}))
        for member in members:
            name = str(member["instance"])
            specs.append((RowKey("weight", name), {"instance": name, "read_weight": 100}))
        for index in range(SERVICES):
            service = f"service{index}"
            spec = {"service": service, "group": group, "slots": 5, "burst": 5, "queue": 100}
            specs.append((RowKey("limit", f"{service}.{group}"), spec))
    return tuple(
        Row(key, version, json.dumps(spec), f"change-{version:032d}")
        for version, (key, spec) in enumerate(specs, start=1)
    )


def main(groups: Annotated[int, typer.Option(help="Database groups.")] = 10_000) -> None:
    """Print the measured costs as JSON."""
    rows = make_rows(groups)
    count = len(rows)
    tracemalloc.start()
    texts = tuple(row._replace(spec=str(row.spec.encode(), "utf-8")) for row in rows)
    relay = ConfigurationRelay(NodeId("node"), ZoneId("zone"), True)
    relay.handle(RowsListed(count, texts), 0.0)
    table_bytes = tracemalloc.get_traced_memory()[0]
    builder = ViewBuilder()
    builder.apply(texts)
    view_bytes = tracemalloc.get_traced_memory()[0] - table_bytes
    tracemalloc.stop()
    result = {"rows": count, "table_mb": table_bytes / 1e6, "view_mb": view_bytes / 1e6}
    result["start_seconds"] = _start_seconds(count, texts)
    result["edit_cpu_ms"] = _edit_seconds(relay, builder, texts) * 1000
    typer.echo(json.dumps({name: round(value, 3) for name, value in result.items()}))


def _start_seconds(count: int, rows: tuple[Row, ...]) -> float:
    began = time.process_time()
    relay = ConfigurationRelay(NodeId("node"), ZoneId("zone"), True)
    relay.handle(RowsListed(count, rows), 0.0)
    ViewBuilder().apply(rows)
    return time.process_time() - began


def _edit_seconds(relay: ConfigurationRelay, builder: ViewBuilder, rows: tuple[Row, ...]) -> float:
    """Return the CPU time (seconds) to put one changed row into force, without the network."""
    began = time.process_time()
    for number in range(EDITS):
        row = rows[number * 7 % len(rows)]
        version = len(rows) + number + 1
        changed = row._replace(version=version)
        for effect in relay.handle(RowsWatched(version, (changed,)), 0.0):
            if isinstance(effect, RowsApplied):
                builder.apply(effect.rows)
    return (time.process_time() - began) / EDITS


if __name__ == "__main__":
    typer.run(main)
