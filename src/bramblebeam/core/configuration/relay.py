"""The configuration relay of one node: takes rows from the store or peers and passes them on.

Two members of each zone read the store. They push changes to all members of their zone and
announce them to one reader of each other zone. Every node also compares its table with another
node's every few seconds, which makes up for lost pushes and for a zone that cannot reach the
store. See docs/design/0007-configuration.md.
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
from bramblebeam.core.configuration.relay_join import JoinQuorum
from bramblebeam.core.configuration.relay_peers import RelayPeers
from bramblebeam.core.configuration.relay_propagation import Propagator
from bramblebeam.core.configuration.relay_repair import (
    answer_versions,
    begin_repair,
    continue_repair,
    implied_deletions,
)
from bramblebeam.core.configuration.relay_settings import RelaySettings
from bramblebeam.core.configuration.relay_store import StoreReader
from bramblebeam.core.configuration.rows import Row
from bramblebeam.core.configuration.table import Coverage, RowTable
from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.membership.view import MembersChanged


class ConfigurationRelay:
    """The state machine of the relay. `store`: whether a store is configured for this node."""

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
        self.reader = StoreReader(node, store, self.settings.role_settle_time)
        self.join_quorum = JoinQuorum()
        self.propagator = Propagator(self.table, self.peers, self.settings, self._probe)
        self._probe_count = 0
        self._probe_at = 0.0
        self._pulling_from: NodeId | None = None
        self._pull_expires_at = 0.0

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle one event; return the effects, in order."""
        match event:
            case Received(sender, message):
                return self._handle_message(sender, message, now)
            case MembersChanged(view):
                self.peers.update(view)
                return self._handle_wakeup(now)
            case RowsListed() | RowsWatched():
                return self._handle_store_rows(event, now)
            case StoreFailed(failure):
                self.reader.handle_failure(failure, now)
                return self._handle_wakeup(now)
            case RowWritten(row):
                return self._apply([row], None, None, now)
            case Wakeup():
                return self._handle_wakeup(now)
            case _:
                raise TypeError(f"unknown event {type(event).__name__}")

    def next_wakeup(self) -> float | None:
        """Return when `Wakeup` is due (seconds)."""
        due = [self._probe_at, self.reader.next_wakeup(), self.propagator.next_wakeup()]
        if not self.ready:
            due.append(self.join_quorum.next_round_at)
        return min(moment for moment in due if moment is not None)

    def in_force(self, version: int) -> InForceReply:
        """Return the progress of this zone towards a store version, as known to this node."""
        completes = self.peers.zone_completes(self.table.complete if self.ready else 0)
        slowest = min(completes, key=lambda node: (completes[node], node))
        behind = sum(1 for complete in completes.values() if complete < version)
        return InForceReply(
            self.zone, completes[slowest], slowest, len(completes), behind, self.peers.is_reader
        )

    def probe_lagging(self, version: int) -> list[Any]:
        """Return probes to the zone members that are not known to have `version`."""
        lagging = self.propagator.lagging_members(version)
        return [Send(node, self._probe(answer=True)) for node in lagging if node != self.node]

    # Events from the store.

    def _handle_store_rows(self, event: RowsListed | RowsWatched, now: float) -> list[Any]:
        update = self.reader.handle_rows(event, self.table)
        effects = [*update.effects, *self._apply(update.rows, update.coverage, None, now)]
        if not self.ready:
            effects += self._become_ready("store", now)
        return effects + self._handle_wakeup(now)

    # Messages from peers.

    def _handle_message(self, sender: NodeId, message: Any, now: float) -> list[Any]:
        match message:
            case Probe():
                return self._handle_probe(sender, message, now)
            case Changes():
                return self._handle_changes(sender, message, now)
            case Pull(after):
                return [Send(sender, self._changes(after))]
            case Report(complete):
                self.peers.record_complete(sender, complete)
                return []
            case _:
                return self._handle_repair(sender, message, now)

    def _handle_repair(self, sender: NodeId, message: Any, now: float) -> list[Any]:
        match message:
            case RowsGiven(rows):
                return self._apply_repaired(rows, sender, now)
            case BucketVersions():
                deleted = self._apply_repaired(implied_deletions(self.table, message), sender, now)
                return deleted + answer_versions(self.table, sender, message)
            case _:
                return continue_repair(self.table, sender, message)

    def _apply_repaired(self, rows: Iterable[Row], sender: NodeId, now: float) -> list[Any]:
        """Apply rows from a repair; if any was new, compare the tables again."""
        effects = self._apply(rows, None, sender, now)
        if effects:
            effects.append(Send(sender, self._probe(answer=True)))
        return effects

    def _handle_probe(self, sender: NodeId, probe: Probe, now: float) -> list[Any]:
        self.peers.record_complete(sender, probe.complete if probe.ready else 0)
        effects: list[Any] = []
        if probe.answer:
            effects.append(Send(sender, self._probe()))
        if probe.digest == self.table.digest and len(self.table):
            same = Coverage(self.table.complete, probe.complete)
            effects += self._apply((), same, sender, now)
        elif probe.complete > self.table.complete:
            effects += self._request_changes(sender, now)
        elif probe.complete < self.table.complete:
            if not probe.answer:
                effects.append(Send(sender, self._changes(probe.complete)))
        else:
            effects += begin_repair(self.table, sender)
        return effects + self._count_confirmation(sender, probe, now)

    def _changes(self, after: int) -> Changes:
        rows, more = self.table.rows_after(after, self.settings.batch_rows)
        more = more and rows[-1].version <= self.table.complete
        through = rows[-1].version if more else max(self.table.complete, after)
        return Changes(after, through, tuple(rows), more, self.table.floor)

    def _handle_changes(self, sender: NodeId, changes: Changes, now: float) -> list[Any]:
        coverage = Coverage(changes.after, changes.through, changes.floor)
        effects = self._apply(changes.rows, coverage, sender, now)
        behind = changes.through > self.table.complete
        was_pulled = sender == self._pulling_from
        if was_pulled:
            self._pulling_from = None
        if behind and changes.after <= self.table.complete:
            return effects + begin_repair(self.table, sender)
        if behind or (was_pulled and changes.more and changes.through >= self.table.complete):
            return effects + self._request_changes(sender, now)
        if was_pulled:
            self.join_quorum.begin_next_round_now(now)
        return effects

    def _request_changes(self, sender: NodeId, now: float) -> list[Any]:
        """Request the missing changes, unless a reply is still pending."""
        if self._pulling_from is not None and now < self._pull_expires_at:
            return []
        self._pulling_from = sender
        self._pull_expires_at = now + self.settings.pull_timeout
        return [Send(sender, Pull(self.table.complete))]

    # Applying rows and passing them on.

    def _apply(
        self, rows: Iterable[Row], coverage: Coverage | None, source: NodeId | None, now: float
    ) -> list[Any]:
        """Apply rows and pass on the new ones; `coverage`: the versions they cover, if known."""
        before = self.table.complete
        applied = self.table.apply(rows)
        if coverage is not None:
            self.table.record_coverage(coverage)
        effects: list[Any] = []
        if applied:
            effects.append(RowsApplied(tuple(applied)))
        if self.ready:
            effects += self.propagator.propagate(applied, before, source, now)
        if self.table.complete > before:
            self.propagator.report(now)
        return effects

    # Timers.

    def _handle_wakeup(self, now: float) -> list[Any]:
        effects = self.reader.wakeup(self.peers.is_reader, self.table, now)
        if not self.ready and now >= self.join_quorum.next_round_at:
            effects += self._query_join_peers(now)
        if now >= self._probe_at:
            effects += self._probe_peers(now)
        return effects + self.propagator.wakeup(now, self._fraction("announce"))

    def _probe(self, answer: bool = False) -> Probe:
        return Probe(self.table.complete, self.table.digest, self.ready, answer)

    def _probe_peers(self, now: float) -> list[Any]:
        jitter = 0.75 + 0.5 * self._fraction("jitter")
        self._probe_at = now + self.settings.probe_interval * jitter
        self._probe_count += 1
        if not self.ready:
            return []
        other_zone = self._probe_count % self.settings.zone_probe_every == 0
        targets: list[NodeId | None] = []
        if self.peers.is_reader or not other_zone:
            targets.append(self.peers.random_zone_member(self._fraction("zone")))
        if self.peers.is_reader or other_zone:
            targets.append(self.peers.random_foreign_member(self._fraction("foreign")))
        return [Send(node, self._probe()) for node in targets if node is not None]

    def _fraction(self, purpose: str) -> float:
        """Return a deterministic number in [0, 1) that varies with the node and the probe."""
        text = f"{self.node}\x00{purpose}\x00{self._probe_count}\x00{self.table.complete}"
        return float(xxhash.xxh3_64_intdigest(text.encode()) / 2**64)

    # Readiness.

    def _query_join_peers(self, now: float) -> list[Any]:
        self._probe_count += 1
        peers = self.peers.join_candidates(self._fraction("join"))
        self.join_quorum.begin_round(peers, now + self.settings.join_interval)
        return [Send(node, self._probe(answer=True)) for node in peers]

    def _count_confirmation(self, sender: NodeId, probe: Probe, now: float) -> list[Any]:
        """Count a ready peer with the same rows; become ready once a majority has been counted.

        The digests cover all rows, including those beyond the `complete` version.
        """
        if self.ready or not probe.ready or probe.digest != self.table.digest:
            return []
        if probe.complete > self.table.complete or not self.join_quorum.record_confirmation(sender):
            return []
        return self._become_ready("peers", now)

    def _become_ready(self, source: str, now: float) -> list[Any]:
        self.ready = True
        self.propagator.report(now)
        return [BecameReady(source)]
