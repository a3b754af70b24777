"""The platform's store in virtual time, with injected faults."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from bramblebeam.core.configuration.edit import (
    ReadRow,
    RowAccepted,
    RowConflicted,
    RowRead,
    StoreRow,
    StoreUnanswered,
    WriteRow,
)
from bramblebeam.core.configuration.relay_events import (
    RowsListed,
    RowsWatched,
    StoreFailed,
    StoreFailure,
)
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.identity import NodeId
from bramblebeam.lab.configuration.clock import VirtualClock
from bramblebeam.lab.platform.store import (
    Change,
    CompactedError,
    ConflictError,
    NotFoundError,
    ObjectName,
    ObjectStore,
    StoredObject,
)

LATENCY_SECONDS = 0.005
TIMEOUT_SECONDS = 2.0

Callback = Callable[[Any], None]


@dataclass
class _Watch:
    version: int
    notify: Callback


class StoreModel:
    """A store. `slow`: extra request delay (seconds); `lost`: fraction of lost write answers."""

    def __init__(self, clock: VirtualClock, random: Random) -> None:
        self.objects = ObjectStore(history=500)
        self.down = False
        self.slow = 0.0
        self.lost = 0.0
        self.written: list[tuple[int, str]] = []
        self.deletions: dict[RowKey, list[int]] = {}
        self.watches: dict[NodeId, _Watch] = {}
        self.watches_peak = 0
        self.lists = 0
        self._clock = clock
        self._random = random

    def list(self, notify: Callback) -> None:
        """List every row."""
        self.lists += 1
        self._request(self._listing, StoreFailed(StoreFailure.UNAVAILABLE), notify)

    def watch(self, node: NodeId, after: int, notify: Callback) -> None:
        """Watch from a version, replacing the node's previous watch."""
        self.watches.pop(node, None)
        self._clock.after(LATENCY_SECONDS, lambda: self._begin_watch(node, after, notify))

    def end_watch(self, node: NodeId) -> None:
        """End the node's watch."""
        self.watches.pop(node, None)

    def cut_watches(self) -> None:
        """End every watch and notify the watchers."""
        ended = list(self.watches.values())
        self.watches.clear()
        for watch in ended:
            watch.notify(StoreFailed(StoreFailure.UNAVAILABLE))

    def read(self, effect: ReadRow, notify: Callback) -> None:
        """Read one row for an edit."""
        self._request(lambda: RowRead(self._stored(effect.key)), StoreUnanswered(True, ""), notify)

    def write(self, effect: WriteRow, notify: Callback) -> None:
        """Write one row for an edit. The write may take effect after the writer timed out."""
        self._request(
            lambda: self._write(effect.written),
            StoreUnanswered(True, "no answer"),
            notify,
            lost=self._random.random() < self.lost,
        )

    def _request(
        self, effect: Callable[[], Any], failure: Any, notify: Callback, lost: bool = False
    ) -> None:
        answered: list[bool] = []

        def notify_once(answer: Any) -> None:
            if not answered:
                answered.append(True)
                notify(answer)

        def execute() -> None:
            if self.down:
                self._clock.after(LATENCY_SECONDS, lambda: notify_once(failure))
                return
            answer = effect()
            if not lost:
                self._clock.after(LATENCY_SECONDS, lambda: notify_once(answer))

        self._clock.after(LATENCY_SECONDS + self.slow, execute)
        self._clock.after(TIMEOUT_SECONDS, lambda: notify_once(failure))

    def _listing(self) -> RowsListed:
        rows = tuple(_row(found) for found in self.objects.list())
        return RowsListed(self.objects.version, rows)

    def _begin_watch(self, node: NodeId, after: int, notify: Callback) -> None:
        if self.down:
            notify(StoreFailed(StoreFailure.UNAVAILABLE))
            return
        self.watches[node] = _Watch(after, notify)
        self.watches_peak = max(self.watches_peak, len(self.watches))
        self._send_changes(node, self.watches[node])

    def _send_changes(self, node: NodeId, watch: _Watch) -> None:
        if self.watches.get(node) is not watch:
            return
        try:
            changes = list(self.objects.changes_after(watch.version))
        except CompactedError:
            del self.watches[node]
            watch.notify(StoreFailed(StoreFailure.EXPIRED))
            return
        watch.version = self.objects.version
        if changes:
            rows = tuple(_changed_row(change) for change in changes)
            watch.notify(RowsWatched(watch.version, rows))

    def _stored(self, key: RowKey) -> StoreRow | None:
        try:
            found = self.objects.get(ObjectName(*key))
        except NotFoundError:
            return None
        previous = tuple(found.annotations["previous"].split(","))
        return StoreRow(_row(found), "", tuple(change for change in previous if change))

    def _write(self, written: StoreRow) -> RowAccepted | RowConflicted:
        row = written.row
        name = ObjectName(*row.key)
        annotations = {"change": row.change_id, "previous": ",".join(written.previous_changes)}
        spec = {"text": row.spec}
        try:
            if row.version:
                stored = self.objects.replace(name, row.version, spec, annotations)
            else:
                stored = self.objects.create(name, spec, annotations)
        except (ConflictError, NotFoundError):
            return RowConflicted()
        self.written.append((stored.version, row.change_id))
        self._schedule_watch_updates()
        return RowAccepted(Row(row.key, stored.version, row.spec, row.change_id))

    def remove_any(self) -> None:
        """Delete a random object directly in the store, bypassing the nodes."""
        found = self._random.choice([None, *self.objects.list()])
        if found is not None and not self.down:
            removed = self.objects.delete(found.name, found.version)
            self.deletions.setdefault(RowKey(*found.name), []).append(removed.version)
            self._schedule_watch_updates()

    def _schedule_watch_updates(self) -> None:
        for node, watch in list(self.watches.items()):
            self._clock.after(LATENCY_SECONDS, lambda n=node, w=watch: self._send_changes(n, w))  # type: ignore[misc]


def _row(found: StoredObject) -> Row:
    key = RowKey(found.name.kind, found.name.name)
    return Row(key, found.version, found.spec["text"], found.annotations["change"])


def _changed_row(change: Change) -> Row:
    row = _row(change.object)
    return row._replace(spec="", change_id="") if change.type == "DELETED" else row
