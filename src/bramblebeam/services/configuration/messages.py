"""What other services of the node ask the configuration service.

An edit is asked by `core.configuration.messages.EditRow`; its answer is an `EditReply`.
"""

from dataclasses import dataclass

from bramblebeam.core.configuration.messages import InForceReply, ZoneVersionsReply
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.identity import ZoneId


@dataclass(frozen=True, slots=True)
class ConfigurationStatusQuery:
    """Ask for the state of the rows at this node; the answer is a `ConfigurationStatus`."""


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """`rows`: how many are in force. `complete`: every change up to this store version is here.

    `ready`: the rows may be served by. `watching`: this node reads the store.
    """

    rows: int
    complete: int
    ready: bool
    watching: bool


@dataclass(frozen=True, slots=True)
class RowsQuery:
    """Ask for up to `limit` rows in force whose keys come after `after`; answer: `RowsPage`."""

    kind: str
    prefix: str
    after: RowKey
    limit: int


@dataclass(frozen=True, slots=True)
class RowsPage:
    """Rows in the order of their keys; `more`: there are others after them."""

    rows: tuple[Row, ...]
    complete: int
    more: bool


@dataclass(frozen=True, slots=True)
class RowQuery:
    """Ask for one row; the answer is a `RowAnswer`."""

    key: RowKey


@dataclass(frozen=True, slots=True)
class RowAnswer:
    """The row here; one that is deleted has an empty spec. None: never seen."""

    row: Row | None


@dataclass(frozen=True, slots=True)
class InForceQuery:
    """Ask how far every zone is with a version; `timeout` (seconds) bounds the answer."""

    version: int
    timeout: float = 1.0


@dataclass(frozen=True, slots=True)
class InForceStatus:
    """How far the zones are, and the zones of which no reader answered in time."""

    zones: tuple[InForceReply, ...]
    unreachable: tuple[ZoneId, ...]


@dataclass(frozen=True, slots=True)
class VersionsQuery:
    """Ask what each node has in force; `timeout` (seconds) bounds the answer."""

    timeout: float = 1.0


@dataclass(frozen=True, slots=True)
class VersionsStatus:
    """What each node has in force, by zone, and the zones of which no reader answered in time."""

    zones: tuple[ZoneVersionsReply, ...]
    unreachable: tuple[ZoneId, ...]
