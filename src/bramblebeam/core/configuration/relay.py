"""The configuration relay of one node: rows from the store or from peers, and on to the others.

Two members of each zone read the store; they push what is new to all members of their zone and
tell one reader of each other zone. Every node compares its state with another node every few
seconds, so that a push that was lost, or a zone that cannot reach the store, is made up for.
See docs/design/0007-configuration.md.
"""

from collections.abc import Iterable
from typing import Any

import xxhash

from bramblebeam.core.configuration.messages import (
    BucketVersions,
    Changes,
    InForceReply,
    Probe,
    Pull,
    Report,
    RowsGiven,
)
from bramblebeam.core.configuration.relay_events import (
    BecameReady,
    RowsApplied,
    RowsListed,
    RowsWatched,
    RowWritten,
    StoreFailed,
)
from bramblebeam.core.configuration.relay_join import Joining
from bramblebeam.core.configuration.relay_peers import RelayPeers
from bramblebeam.core.configuration.relay_repair import (
    answer_versions,
    begin_repair,
    continue_repair,
    deletions_told,
)
from bramblebeam.core.configuration.relay_settings import RelaySettings
from bramblebeam.core.configuration.relay_spread import Spreading
from bramblebeam.core.configuration.relay_store import StoreReader
from bramblebeam.core.configuration.rows import Row
from bramblebeam.core.configuration.table import Coverage, RowTable
from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.membership.view import MembersChanged


class ConfigurationRelay:
    """The machine. `store`: whether this node has a store to read at all."""

    def __init__(
        self,
        node: NodeId,
        zone: ZoneId,
        store: bool,
        settings: RelaySettings | None = None,
    ) -> None:
        self.node = node
        self.zone = zone
        self.settings = settings or RelaySettings()
        self.table = RowTable()
        self.ready = False
        self.peers = RelayPeers(node, zone)
        self.reader = StoreReader(node, store, self.settings.settle)
        self.joining = Joining()
        self.spreading = Spreading(self.table, self.peers, self.settings, self._probe)
        self._probes = 0
        self._probe_due = 0.0
        self._pulled_from: NodeId | None = None
        self._pull_until = 0.0

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event; return the effects, in order."""
        match event:
            case Received(sender, message):
                return self._received(sender, message, now)
            case MembersChanged(view):
                self.peers.update(view)
                return self._wakeup(now)
            case RowsListed() | RowsWatched():
                return self._store_told(event, now)
            case StoreFailed(failure):
                self.reader.failed(failure, now)
                return self._wakeup(now)
            case RowWritten(row):
                return self._learned([row], None, None, now)
            case Wakeup():
                return self._wakeup(now)
            case _:
                raise TypeError(f"unknown event {type(event).__name__}")

    def next_wakeup(self) -> float | None:
        """Return when `Wakeup` is due (seconds)."""
        due = [self._probe_due, self.reader.next_wakeup(), self.spreading.next_wakeup()]
        if not self.ready:
            due.append(self.joining.due)
        return min(moment for moment in due if moment is not None)

    def in_force(self, version: int) -> InForceReply:
        """Summarize the own zone, as its reader, for one store version."""
        completes = self.peers.zone_completes(self.table.complete if self.ready else 0)
        slowest = min(completes, key=lambda node: (completes[node], node))
        behind = sum(1 for complete in completes.values() if complete < version)
        return InForceReply(
            self.zone, completes[slowest], slowest, len(completes), behind, self.peers.is_reader
        )

    def probe_lagging(self, version: int) -> list[Any]:
        """Return the questions to those members of the zone that are not known to have it."""
        late = self.spreading.late_members(version)
        return [Send(node, self._probe(answer=True)) for node in late if node != self.node]

    # What the store tells.

    def _store_told(self, event: RowsListed | RowsWatched, now: float) -> list[Any]:
        told = self.reader.told(event, self.table)
        effects = [*told.effects, *self._learned(told.rows, told.coverage, None, now)]
        if not self.ready:
            effects += self._become_ready("store", now)
        return effects + self._wakeup(now)

    # What peers tell.

    def _received(self, sender: NodeId, message: Any, now: float) -> list[Any]:
        match message:
            case Probe():
                return self._probed(sender, message, now)
            case Changes():
                return self._changes_told(sender, message, now)
            case Pull(after):
                return [Send(sender, self._changes(after))]
            case Report(complete):
                self.peers.note_complete(sender, complete)
                return []
            case _:
                return self._repair(sender, message, now)

    def _repair(self, sender: NodeId, message: Any, now: float) -> list[Any]:
        match message:
            case RowsGiven(rows):
                return self._mended(rows, sender, now)
            case BucketVersions():
                deleted = self._mended(deletions_told(self.table, message), sender, now)
                return deleted + answer_versions(self.table, sender, message)
            case _:
                return continue_repair(self.table, sender, message)

    def _mended(self, rows: Iterable[Row], sender: NodeId, now: float) -> list[Any]:
        """Take rows that a repair brought; if there were any, compare again."""
        effects = self._learned(rows, None, sender, now)
        if effects:
            effects.append(Send(sender, self._probe(answer=True)))
        return effects

    def _probed(self, sender: NodeId, probe: Probe, now: float) -> list[Any]:
        self.peers.note_complete(sender, probe.complete if probe.ready else 0)
        effects: list[Any] = []
        if probe.answer:
            effects.append(Send(sender, self._probe()))
        if probe.digest == self.table.digest and len(self.table):
            same = Coverage(self.table.complete, probe.complete)
            effects += self._learned((), same, sender, now)
        elif probe.complete > self.table.complete:
            effects += self._pull(sender, now)
        elif probe.complete < self.table.complete:
            if not probe.answer:
                effects.append(Send(sender, self._changes(probe.complete)))
        else:
            effects += begin_repair(self.table, sender)
        return effects + self._confirm(sender, probe, now)

    def _changes(self, after: int) -> Changes:
        rows, more = self.table.rows_after(after, self.settings.batch)
        more = more and rows[-1].version <= self.table.complete
        through = rows[-1].version if more else max(self.table.complete, after)
        return Changes(after, through, tuple(rows), more, self.table.floor)

    def _changes_told(self, sender: NodeId, changes: Changes, now: float) -> list[Any]:
        coverage = Coverage(changes.after, changes.through, changes.floor)
        effects = self._learned(changes.rows, coverage, sender, now)
        behind = changes.through > self.table.complete
        asked = sender == self._pulled_from
        if asked:
            self._pulled_from = None
        if behind and changes.after <= self.table.complete:
            return effects + begin_repair(self.table, sender)
        if behind or (asked and changes.more and changes.through >= self.table.complete):
            return effects + self._pull(sender, now)
        if asked:
            self.joining.hasten(now)
        return effects

    def _pull(self, sender: NodeId, now: float) -> list[Any]:
        """Ask for what is missing, unless an answer is still awaited."""
        if self._pulled_from is not None and now < self._pull_until:
            return []
        self._pulled_from = sender
        self._pull_until = now + self.settings.pull
        return [Send(sender, Pull(self.table.complete))]

    # Rows that come into force here, and go on.

    def _learned(
        self, rows: Iterable[Row], coverage: Coverage | None, source: NodeId | None, now: float
    ) -> list[Any]:
        """Apply rows; `coverage`: what they cover, where that is known."""
        before = self.table.complete
        applied = self.table.apply(rows)
        if coverage is not None:
            self.table.cover(coverage)
        effects: list[Any] = []
        if applied:
            effects.append(RowsApplied(tuple(applied)))
        if self.ready:
            effects += self.spreading.pass_on(applied, before, source, now)
        if self.table.complete > before:
            self.spreading.report(now)
        return effects

    # What time brings.

    def _wakeup(self, now: float) -> list[Any]:
        effects = self.reader.wakeup(self.peers.is_reader, self.table, now)
        if not self.ready and now >= self.joining.due:
            effects += self._ask_to_join(now)
        if now >= self._probe_due:
            effects += self._probe_peers(now)
        return effects + self.spreading.wakeup(now, self._fraction("announce"))

    def _probe(self, answer: bool = False) -> Probe:
        return Probe(self.table.complete, self.table.digest, self.ready, answer)

    def _probe_peers(self, now: float) -> list[Any]:
        jitter = 0.75 + 0.5 * self._fraction("jitter")
        self._probe_due = now + self.settings.probe * jitter
        self._probes += 1
        if not self.ready:
            return []
        other_zone = self._probes % self.settings.zone_probe_every == 0
        targets: list[NodeId | None] = []
        if self.peers.is_reader or not other_zone:
            targets.append(self.peers.random_zone_member(self._fraction("zone")))
        if self.peers.is_reader or other_zone:
            targets.append(self.peers.random_foreign_member(self._fraction("foreign")))
        return [Send(node, self._probe()) for node in targets if node is not None]

    def _fraction(self, purpose: str) -> float:
        """Return a number in [0, 1) that differs from node to node and from probe to probe."""
        text = f"{self.node}\x00{purpose}\x00{self._probes}\x00{self.table.complete}"
        return float(xxhash.xxh3_64_intdigest(text.encode()) / 2**64)

    # Readiness.

    def _ask_to_join(self, now: float) -> list[Any]:
        self._probes += 1
        asked = self.peers.join_candidates(self._fraction("join"))
        self.joining.ask(asked, now + self.settings.join)
        return [Send(node, self._probe(answer=True)) for node in asked]

    def _confirm(self, sender: NodeId, probe: Probe, now: float) -> list[Any]:
        """Count a peer whose rows are all here, also those ahead of what is complete."""
        if self.ready or not probe.ready or probe.digest != self.table.digest:
            return []
        if probe.complete > self.table.complete or not self.joining.confirmed_by(sender):
            return []
        return self._become_ready("peers", now)

    def _become_ready(self, source: str, now: float) -> list[Any]:
        self.ready = True
        self.spreading.report(now)
        return [BecameReady(source)]
