"""Generates logs of a run in the nodes' format, for tests and benchmarks of the report.

`python run_logs.py DIRECTORY --nodes 200 --lines 5000` writes one log per node.
"""

import argparse
import json
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random

from bramblebeam.events.catalogue import (
    CATALOGUE,
    EDGE_LISTENING,
    LEADER_LOST,
    LEADER_PROVEN,
    NODE_STARTED,
    READINESS_CHANGED,
    REQUEST_ATTEMPT_FAILED,
    REQUEST_REFUSED,
    Event,
)

BEGIN = datetime(2031, 5, 6, 7, 8, 9, tzinfo=UTC)
RUN_SECONDS = 40.0
ZONES = ("quito-norte", "cuenca-centro", "guayaquil-sur", "loja")
REASONS = ("replica_behind", "queue_full", "unreachable", "no_primary", "connection_lost")
DATABASES = ("deliveries_latest", "deliveries_bounded", "deliveries_session")
CHANGE_AT = 20.0


def line(at: float, event: Event | int, **fields: object) -> str:
    """Return a log line of a node, `at` seconds after the start of the run."""
    found = CATALOGUE[event] if isinstance(event, int) else event
    level = {10: "debug", 20: "info", 30: "warning", 40: "error", 50: "critical"}[found.level]
    content = {
        "time": (BEGIN + timedelta(seconds=at)).isoformat(),
        "level": level,
        "logger": "bramblebeam.services.gateway",
        "event": found.number,
        "message": found.text,
        "fields": fields,
    }
    return json.dumps(content)


def start(at: float, node: str, zone: str = ZONES[0]) -> list[str]:
    """Return the lines of a node's start, in the order in which it writes them."""
    return [
        line(at - 0.01, EDGE_LISTENING, host="0.0.0.0", port=3307),
        line(at, NODE_STARTED, node=node, zone=zone),
        line(at + 0.1, READINESS_CHANGED, ready=False),
        line(at + 0.5, READINESS_CHANGED, ready=True),
    ]


def proven(at: float, term: int, instance: str, group: str = "g") -> str:
    """Return the line of a proven leader."""
    return line(at, LEADER_PROVEN, group=group, instance=instance, term=term, position="1.1")


def missed(at: float, instance: str, proof_age_ms: float | None, group: str = "g") -> str:
    """Return the line of a lost leader."""
    reason = "no answer came in time"
    fields = {"group": group, "instance": instance, "reason": reason}
    return line(at, LEADER_LOST, **fields, proof_age_ms=proof_age_ms)


def refused(at: float, waited_ms: int = 640, **fields: object) -> str:
    """Return the line of a refused statement."""
    usual: dict[str, object] = {
        "request": "r1",
        "session": "s1",
        "database": DATABASES[0],
        "action": "write",
        "verdict": "not_run",
        "reason": "no_primary",
        "detail": "",
        "waited_ms": waited_ms,
        "leader": None,
        "proof_age_ms": None,
        "routes_version": 3,
    }
    return line(at, REQUEST_REFUSED, **{**usual, **fields})


def attempt(at: float, number: int = 1, **fields: object) -> str:
    """Return the line of a failed attempt."""
    usual: dict[str, object] = {
        "request": "r1",
        "instance": "db-a",
        "attempt": number,
        "verdict": "not_run",
        "reason": "replica_behind",
        "detail": "",
        "floor": "1.57",
    }
    return line(at, REQUEST_ATTEMPT_FAILED, **{**usual, **fields})


def long_log(number: int, lines: int) -> Iterator[str]:
    """Yield `lines` lines of a node: mostly attempts and refusals, and one change of leader."""
    random = Random(number)
    yield from start(0.0, f"edge-{number}", ZONES[number % len(ZONES)])
    yield proven(0.6, 1, "db-a")
    rest = lines - 7
    has_changed = False
    for index in range(rest):
        at = 0.7 + (RUN_SECONDS - 0.7) * index / rest
        if at >= CHANGE_AT and not has_changed:
            has_changed = True
            yield missed(at, "db-a", 840)
            yield proven(at + 1.5, 2, "db-b")
        name = f"{number:04x}{index:012x}"
        reason = random.choice(REASONS)
        if random.random() < 0.3:
            database = random.choice(DATABASES)
            waited = random.randrange(2_000)
            yield refused(at, waited, request=name, database=database, reason=reason)
        else:
            instance = f"db-{random.choice('abc')}"
            count = 1 + index % 3
            yield attempt(at, count, request=name, instance=instance, reason=reason)


def main() -> None:
    """Write the logs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=Path)
    parser.add_argument("--nodes", type=int, default=200)
    parser.add_argument("--lines", type=int, default=5_000)
    options = parser.parse_args()
    options.directory.mkdir(parents=True, exist_ok=True)
    for number in range(options.nodes):
        text = "".join(f"{entry}\n" for entry in long_log(number, options.lines))
        (options.directory / f"node-{number}.log").write_text(text)


if __name__ == "__main__":
    main()
