"""The part of the relay that reads the store: listing, watching, backing off after a failure."""

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

INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 3.0
"""Delay between attempts at a failing store: doubled each time, with a jitter of half of it."""


class _State(Enum):
    IDLE = 1
    LISTING = 2
    WATCHING = 3
    WAITING = 4


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """Rows from the store, the versions they cover, and the effects to carry out."""

    rows: tuple[Row, ...]
    coverage: Coverage
    effects: tuple[Any, ...] = ()


class StoreReader:
    """Decides when to list and when to watch. `store`: whether a store is configured."""

    def __init__(self, node: NodeId, store: bool, settle_time: float) -> None:
        self._node = node
        self._store = store
        self._settle_time = settle_time
        self._state = _State.IDLE
        self._role_differs_since: float | None = None
        self._retry_at: float | None = None
        self._failures = 0
        self._must_list = False
        self._version = 0

    @property
    def watching(self) -> bool:
        """Whether a watch of the store is open."""
        return self._state is _State.WATCHING

    def next_wakeup(self) -> float | None:
        """Return when `wakeup` is due (seconds), or None."""
        due = [self._retry_at]
        if self._role_differs_since is not None:
            due.append(self._role_differs_since + self._settle_time)
        return min((moment for moment in due if moment is not None), default=None)

    def wakeup(self, is_reader: bool, table: RowTable, now: float) -> list[Any]:
        """Begin or end reading when the role has changed, or retry; return the effects."""
        is_reading = self._state is not _State.IDLE
        if not self._store or is_reader == is_reading:
            self._role_differs_since = None
        elif self._role_differs_since is None:
            self._role_differs_since = now
        elif now >= self._role_differs_since + self._settle_time:
            self._role_differs_since = None
            return self._begin_reading(table) if is_reader else self._end_reading()
        if self._retry_at is not None and now >= self._retry_at:
            return self._begin_reading(table)
        return []

    def handle_failure(self, failure: StoreFailure, now: float) -> None:
        """Schedule a retry after the listing failed or the watch ended."""
        if self._state not in (_State.LISTING, _State.WATCHING):
            return
        if failure is StoreFailure.EXPIRED:
            self._must_list = True
            self._failures = 0
        backoff = min(INITIAL_BACKOFF_SECONDS * 2**self._failures, MAX_BACKOFF_SECONDS)
        self._failures = min(self._failures + 1, 16)
        self._state = _State.WAITING
        self._retry_at = now + backoff * (0.5 + self._fraction(now))

    def handle_rows(self, event: RowsListed | RowsWatched, table: RowTable) -> StoreUpdate:
        """Handle rows from the store; return them with the versions that they cover."""
        self._failures = 0
        if isinstance(event, RowsWatched):
            coverage = Coverage(self._version, event.version)
            self._version = event.version
            return StoreUpdate(event.rows, coverage)
        return self._handle_listing(event, table)

    def _handle_listing(self, listing: RowsListed, table: RowTable) -> StoreUpdate:
        effects: list[Any] = []
        if self._state is _State.LISTING:
            self._version = listing.version
            self._must_list = False
            self._state = _State.WATCHING
            effects.append(WatchStore(listing.version))
        coverage = Coverage(0, listing.version, listed=True)
        rows = listing.rows
        if _is_behind(listing, table):
            effects.append(StoreBehind(listing.version, table.complete))
        else:
            rows += _deletions(listing, table)
        return StoreUpdate(rows, coverage, tuple(effects))

    def _begin_reading(self, table: RowTable) -> list[Any]:
        self._retry_at = None
        if self._must_list or not table.complete:
            self._state = _State.LISTING
            return [ListStore()]
        self._version = max(self._version, table.complete)
        self._state = _State.WATCHING
        return [WatchStore(self._version)]

    def _end_reading(self) -> list[Any]:
        self._state = _State.IDLE
        self._retry_at = None
        return [StopReadingStore()]

    def _fraction(self, now: float) -> float:
        text = f"{self._node}\x00{now!r}"
        return float(xxhash.xxh3_64_intdigest(text.encode()) / 2**64)


def _is_behind(listing: RowsListed, table: RowTable) -> bool:
    """Whether the store's state is older than the rows in the table."""
    if listing.version < table.complete:
        return True
    return any(row.version < table.version_of(row.key) <= listing.version for row in listing.rows)


def _deletions(listing: RowsListed, table: RowTable) -> tuple[Row, ...]:
    """Return a deletion for each older row of the table that the listing does not have."""
    listed = {row.key for row in listing.rows}
    return tuple(
        Row(row.key, listing.version, "")
        for row in table
        if row.spec and row.key not in listed and row.version < listing.version
    )
