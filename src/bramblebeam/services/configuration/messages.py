"""Messages that other services of the node send to the configuration service.

An edit is requested by `core.configuration.messages.EditRow` and answered by an `EditReply`.
"""

from dataclasses import dataclass

from bramblebeam.core.configuration.messages import InForceReply, ZoneVersionsReply
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.identity import ZoneId


@dataclass(frozen=True, slots=True)
class ConfigurationStatusQuery:
    """Requests the state of the rows at this node; the answer is a `ConfigurationStatus`."""


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """The state of the rows at this node.

    `rows`: number in force. `complete`: every change up to this store version has been received.
    `ready`: the node may serve traffic by the rows. `watching`: this node reads the store.
    """

    rows: int
    complete: int
    ready: bool
    watching: bool


@dataclass(frozen=True, slots=True)
class RowsQuery:
    """Requests up to `limit` rows in force with keys after `after`; the answer is a `RowsPage`."""

    kind: str
    prefix: str
    after: RowKey
    limit: int


@dataclass(frozen=True, slots=True)
class RowsPage:
    """Rows in the order of their keys. `more`: there are further rows."""

    rows: tuple[Row, ...]
    complete: int
    more: bool


@dataclass(frozen=True, slots=True)
class RowQuery:
    """Requests one row; the answer is a `RowAnswer`."""

    key: RowKey


@dataclass(frozen=True, slots=True)
class RowAnswer:
    """The row as known at this node (None: unknown); a deleted row has an empty spec."""

    row: Row | None


@dataclass(frozen=True, slots=True)
class InForceQuery:
    """Requests every zone's progress on a version, within `timeout` seconds."""

    version: int
    timeout: float = 1.0


@dataclass(frozen=True, slots=True)
class InForceStatus:
    """Each zone's progress, and the zones in which no reader answered in time."""

    zones: tuple[InForceReply, ...]
    unreachable: tuple[ZoneId, ...]


@dataclass(frozen=True, slots=True)
class VersionsQuery:
    """Requests the version in force at each node, within `timeout` seconds."""

    timeout: float = 1.0


@dataclass(frozen=True, slots=True)
class VersionsStatus:
    """The version in force at each node, by zone, and the zones in which no reader answered."""

    zones: tuple[ZoneVersionsReply, ...]
    unreachable: tuple[ZoneId, ...]
