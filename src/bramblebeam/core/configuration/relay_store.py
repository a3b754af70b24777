"""The part of the relay that reads the store: list, watch, back off, list again."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import xxhash

from bramblebeam.core.configuration.relay_events import (
    ListStore,
    RowsListed,
    RowsWatched,
    StopReadingStore,
    StoreBehind,
    StoreFailure,
    WatchStore,
)
from bramblebeam.core.configuration.rows import Row
from bramblebeam.core.configuration.table import Coverage, RowTable
from bramblebeam.core.identity import NodeId

FIRST_BACKOFF = 0.2
LONGEST_BACKOFF = 3.0
"""Seconds between two tries at a store that fails; doubled each time, with jitter of a half."""


class _State(Enum):
    IDLE = 1
    LISTING = 2
    WATCHING = 3
    WAITING = 4


@dataclass(frozen=True, slots=True)
class Told:
    """What the store told: rows, what they cover, and effects."""

    rows: tuple[Row, ...]
    coverage: Coverage
    effects: tuple[Any, ...] = ()


class StoreReader:
    """Decides when to list and when to watch. `store`: whether there is a store to read."""

    def __init__(self, node: NodeId, store: bool, settle: float) -> None:
        self._node = node
        self._store = store
        self._settle = settle
        self._state = _State.IDLE
        self._changing_since: float | None = None
        self._try_due: float | None = None
        self._failures = 0
        self._list_next = False
        self._version = 0

    @property
    def watching(self) -> bool:
        """Whether a watch of the store is open."""
        return self._state is _State.WATCHING

    def next_wakeup(self) -> float | None:
        """Return when `wakeup` is due (seconds), or None."""
        due = [self._try_due]
        if self._changing_since is not None:
            due.append(self._changing_since + self._settle)
        return min((moment for moment in due if moment is not None), default=None)

    def wakeup(self, is_reader: bool, table: RowTable, now: float) -> list[Any]:
        """Begin or end reading as the role says, or try again; return the effects."""
        reading = self._state is not _State.IDLE
        if not self._store or is_reader == reading:
            self._changing_since = None
        elif self._changing_since is None:
            self._changing_since = now
        elif now >= self._changing_since + self._settle:
            self._changing_since = None
            return self._begin(table) if is_reader else self._end()
        if self._try_due is not None and now >= self._try_due:
            return self._begin(table)
        return []

    def failed(self, failure: StoreFailure, now: float) -> None:
        """Note that the listing failed or the watch ended."""
        if self._state not in (_State.LISTING, _State.WATCHING):
            return
        if failure is StoreFailure.EXPIRED:
            self._list_next = True
            self._failures = 0
        backoff = min(FIRST_BACKOFF * 2**self._failures, LONGEST_BACKOFF)
        self._failures = min(self._failures + 1, 16)
        self._state = _State.WAITING
        self._try_due = now + backoff * (0.5 + self._fraction(now))

    def told(self, event: RowsListed | RowsWatched, table: RowTable) -> Told:
        """Take what the store told; return the rows and what they make complete."""
        self._failures = 0
        if isinstance(event, RowsWatched):
            coverage = Coverage(self._version, event.version)
            self._version = event.version
            return Told(event.rows, coverage)
        return self._listed_rows(event, table)

    def _listed_rows(self, listing: RowsListed, table: RowTable) -> Told:
        effects: list[Any] = []
        if self._state is _State.LISTING:
            self._version = listing.version
            self._list_next = False
            self._state = _State.WATCHING
            effects.append(WatchStore(listing.version))
        coverage = Coverage(0, listing.version, listed=True)
        rows = listing.rows
        if _is_behind(listing, table):
            effects.append(StoreBehind(listing.version, table.complete))
        else:
            rows += _deletions(listing, table)
        return Told(rows, coverage, tuple(effects))

    def _begin(self, table: RowTable) -> list[Any]:
        self._try_due = None
        if self._list_next or not table.complete:
            self._state = _State.LISTING
            return [ListStore()]
        self._version = max(self._version, table.complete)
        self._state = _State.WATCHING
        return [WatchStore(self._version)]

    def _end(self) -> list[Any]:
        self._state = _State.IDLE
        self._try_due = None
        return [StopReadingStore()]

    def _fraction(self, now: float) -> float:
        text = f"{self._node}\x00{now!r}"
        return float(xxhash.xxh3_64_intdigest(text.encode()) / 2**64)


def _is_behind(listing: RowsListed, table: RowTable) -> bool:
    """Whether the store shows an older state than the rows here."""
    if listing.version < table.complete:
        return True
    return any(row.version < table.version_of(row.key) <= listing.version for row in listing.rows)


def _deletions(listing: RowsListed, table: RowTable) -> tuple[Row, ...]:
    """Return a deletion for each row here that the listing, which is newer, does not have."""
    listed = {row.key for row in listing.rows}
    return tuple(
        Row(row.key, listing.version, "")
        for row in table
        if row.spec and row.key not in listed and row.version < listing.version
    )
