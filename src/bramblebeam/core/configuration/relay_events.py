"""Events and effects of the configuration relay."""

from dataclasses import dataclass
from enum import IntEnum

from bramblebeam.core.configuration.rows import Row


class StoreFailure(IntEnum):
    """Why a listing or a watch of the store ended."""

    UNAVAILABLE = 1
    EXPIRED = 2
    """The store no longer keeps the changes after the requested version."""


@dataclass(frozen=True, slots=True)
class RowsListed:
    """The store listed all rows at its version `version`."""

    version: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class RowsWatched:
    """The watch delivered all changes up to `version`, oldest first."""

    version: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The listing failed, or the watch ended."""

    failure: StoreFailure


@dataclass(frozen=True, slots=True)
class RowWritten:
    """This node wrote a row to the store for an edit."""

    row: Row


@dataclass(frozen=True, slots=True)
class ListStore:
    """Effect: list the store; answered by `RowsListed` or `StoreFailed`."""


@dataclass(frozen=True, slots=True)
class WatchStore:
    """Effect: watch the store from `after`; answered by `RowsWatched` until `StoreFailed`."""

    after: int


@dataclass(frozen=True, slots=True)
class StopReadingStore:
    """Effect: end the current listing or watch; this node is no longer a reader."""


@dataclass(frozen=True, slots=True)
class RowsApplied:
    """Effect: these rows are now in force at this node."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class BecameReady:
    """Effect: the rows here are complete enough to serve by. `source`: `store` or `peers`."""

    source: str


@dataclass(frozen=True, slots=True)
class StoreBehind:
    """Effect: the store's state (`version`) is older than what is in force (`complete`)."""

    version: int
    complete: int
