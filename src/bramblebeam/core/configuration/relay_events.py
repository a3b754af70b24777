"""What the relay is told by its driver, and what it asks its driver to do."""

from dataclasses import dataclass
from enum import IntEnum

from bramblebeam.core.configuration.rows import Row


class StoreFailure(IntEnum):
    """Why a listing or a watch of the store ended."""

    UNAVAILABLE = 1
    EXPIRED = 2
    """The store no longer keeps the changes after the asked version."""


@dataclass(frozen=True, slots=True)
class RowsListed:
    """The store listed every row, at its version `version`."""

    version: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class RowsWatched:
    """The watch told changes, oldest first, and that there are no others up to `version`."""

    version: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The listing failed, or the watch ended."""

    failure: StoreFailure


@dataclass(frozen=True, slots=True)
class RowWritten:
    """This node itself wrote a row to the store (an edit)."""

    row: Row


@dataclass(frozen=True, slots=True)
class ListStore:
    """Effect: list the store; answer `RowsListed` or `StoreFailed`."""


@dataclass(frozen=True, slots=True)
class WatchStore:
    """Effect: watch the store from `after`; tell `RowsWatched` until `StoreFailed`."""

    after: int


@dataclass(frozen=True, slots=True)
class StopReadingStore:
    """Effect: end the listing or watch under way; this node is no reader any more."""


@dataclass(frozen=True, slots=True)
class RowsApplied:
    """Effect: these rows are in force at this node from now on."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class BecameReady:
    """Effect: this node has rows it may serve by. `source`: `store` or `peers`."""

    source: str


@dataclass(frozen=True, slots=True)
class StoreBehind:
    """Effect: the store shows an older state (`version`) than what is in force (`complete`)."""

    version: int
    complete: int
