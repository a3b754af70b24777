"""The platform's store in virtual time, with its faults."""

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

Answer = Callable[[Any], None]


@dataclass
class _Watch:
    version: int
    tell: Answer


class StoreModel:
    """One store. `slow`: seconds more for each request; `lost`: share of write answers lost."""

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

    def list(self, tell: Answer) -> None:
        """List every row."""
        self.lists += 1
        self._request(self._listing, StoreFailed(StoreFailure.UNAVAILABLE), tell)

    def watch(self, node: NodeId, after: int, tell: Answer) -> None:
        """Watch from a version, in place of the node's watch before."""
        self.watches.pop(node, None)
        self._clock.after(LATENCY_SECONDS, lambda: self._begin_watch(node, after, tell))

    def end_watch(self, node: NodeId) -> None:
        """End the node's watch."""
        self.watches.pop(node, None)

    def cut_watches(self) -> None:
        """End every watch; each watcher is told."""
        ended = list(self.watches.values())
        self.watches.clear()
        for watch in ended:
            watch.tell(StoreFailed(StoreFailure.UNAVAILABLE))

    def read(self, effect: ReadRow, tell: Answer) -> None:
        """Read one row for an edit."""
        self._request(lambda: RowRead(self._stored(effect.key)), StoreUnanswered(True, ""), tell)

    def write(self, effect: WriteRow, tell: Answer) -> None:
        """Write one row for an edit; the effect may come long after the writer gave up."""
        self._request(
            lambda: self._write(effect.written),
            StoreUnanswered(True, "no answer"),
            tell,
            lost=self._random.random() < self.lost,
        )

    def _request(
        self, effect: Callable[[], Any], failure: Any, tell: Answer, lost: bool = False
    ) -> None:
        answered: list[bool] = []

        def give(answer: Any) -> None:
            if not answered:
                answered.append(True)
                tell(answer)

        def arrive() -> None:
            if self.down:
                self._clock.after(LATENCY_SECONDS, lambda: give(failure))
                return
            answer = effect()
            if not lost:
                self._clock.after(LATENCY_SECONDS, lambda: give(answer))

        self._clock.after(LATENCY_SECONDS + self.slow, arrive)
        self._clock.after(TIMEOUT_SECONDS, lambda: give(failure))

    def _listing(self) -> RowsListed:
        rows = tuple(_row(found) for found in self.objects.list())
        return RowsListed(self.objects.version, rows)

    def _begin_watch(self, node: NodeId, after: int, tell: Answer) -> None:
        if self.down:
            tell(StoreFailed(StoreFailure.UNAVAILABLE))
            return
        self.watches[node] = _Watch(after, tell)
        self.watches_peak = max(self.watches_peak, len(self.watches))
        self._feed(node, self.watches[node])

    def _feed(self, node: NodeId, watch: _Watch) -> None:
        if self.watches.get(node) is not watch:
            return
        try:
            changes = list(self.objects.changes_after(watch.version))
        except CompactedError:
            del self.watches[node]
            watch.tell(StoreFailed(StoreFailure.EXPIRED))
            return
        watch.version = self.objects.version
        if changes:
            rows = tuple(_changed_row(change) for change in changes)
            watch.tell(RowsWatched(watch.version, rows))

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
        self._tell_watches()
        return RowAccepted(Row(row.key, stored.version, row.spec, row.change_id))

    def remove_any(self) -> None:
        """Remove the object of a random row by other means than the nodes."""
        found = self._random.choice([None, *self.objects.list()])
        if found is not None and not self.down:
            removed = self.objects.delete(found.name, found.version)
            self.deletions.setdefault(RowKey(*found.name), []).append(removed.version)
            self._tell_watches()

    def _tell_watches(self) -> None:
        for node, watch in list(self.watches.items()):
            self._clock.after(LATENCY_SECONDS, lambda n=node, w=watch: self._feed(n, w))  # type: ignore[misc]


def _row(found: StoredObject) -> Row:
    key = RowKey(found.name.kind, found.name.name)
    return Row(key, found.version, found.spec["text"], found.annotations["change"])


def _changed_row(change: Change) -> Row:
    row = _row(change.object)
    return row._replace(spec="", change_id="") if change.type == "DELETED" else row
