"""Collects the records of simulated databases and the events of simulated nodes."""

from __future__ import annotations

import logging
from typing import Any

from bramblebeam.lab.collect import RECORD_KINDS, ROW_IN_FORCE_EVENT, BackendRecorder
from bramblebeam.lab.database.journal import Journal
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import RowInForce
from bramblebeam.lab.simulator.cluster import SimulatedCluster
from bramblebeam.lab.simulator.hosts import CURRENT_HOST
from bramblebeam.lab.simulator.loop import VirtualLoop


class SimulatedRecorder(BackendRecorder):
    """Reads the journals of the simulated members directly."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        super().__init__(cluster, None)  # type: ignore[arg-type]
        self._simulated = cluster

    async def fetch(self, instance: str) -> bool:
        """Collect a member's records of its current incarnation; return whether it is running."""
        if not self._simulated.databases[instance].host.alive:
            return False
        self.collect_member(instance)
        return True

    def collect_now(self, history: History) -> None:
        """Add the records of every running member to the history."""
        for group in self._simulated.scenario.topology.groups:
            names = [member.instance for member in group.members]
            for name in names:
                if self._simulated.databases[name].host.alive:
                    self.collect_member(name)
            self._add_group(history, group.name, names)

    def collect_member(self, instance: str) -> None:
        """Collect a member's records of its current incarnation."""
        journal = self._simulated.databases[instance].member.journal
        records = {kind: list(_records(journal, kind)) for kind in RECORD_KINDS}
        self._lives[instance].append(records)


def _records(journal: Journal, kind: str) -> Any:
    singular = {"statements": "statement", "connections": "connection"}.get(kind, kind)
    return getattr(journal, f"{singular}_records")()


class EventCollector(logging.Handler):
    """Log handler that adds rows in force to the history and keeps every event for the trace."""

    def __init__(self, loop: VirtualLoop, history: History) -> None:
        super().__init__(logging.INFO)
        self.lines: list[tuple[float, str, str]] = []
        """(time, host, text) of each event."""
        self._loop = loop
        self._history = history

    def emit(self, record: logging.LogRecord) -> None:
        """Record one event of the current host."""
        host = CURRENT_HOST.get()
        if host is None:
            return
        self.lines.append((self._loop.now, host.name, record.getMessage()))
        if getattr(record, "event_number", 0) == ROW_IN_FORCE_EVENT:
            fields: dict[str, Any] = record.event_fields  # type: ignore[attr-defined]
            key = f"{fields['kind']}/{fields['name']}"
            version = int(fields["version"])
            self._history.add(RowInForce(self._loop.now, host.name, key, version))
