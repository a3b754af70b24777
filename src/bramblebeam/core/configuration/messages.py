"""Messages between the configuration services of nodes, and requests for operators' edits.

`complete` is a store version: the sender's table has every change up to it. Rows are sent as
`Row`; a deleted row has an empty spec and the version of the deletion.
"""

from dataclasses import dataclass
from enum import IntEnum

from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.identity import NodeId, ZoneId


@dataclass(frozen=True, slots=True)
class Probe:
    """The state of the sender's table, so that the node that is behind fetches what it lacks.

    `ready`: the sender serves by its rows. `answer`: the receiver must reply with its own probe.
    """

    complete: int
    digest: int
    ready: bool
    answer: bool = False


@dataclass(frozen=True, slots=True)
class Report:
    """Report the sender's `complete` version to the readers of its zone."""

    complete: int


@dataclass(frozen=True, slots=True)
class Pull:
    """Request the changes after the store version `after`."""

    after: int


@dataclass(frozen=True, slots=True)
class Changes:
    """The newest version of every row changed after `after` and up to `through`.

    `more`: the sender has later changes, to be requested by `Pull(through)`. `floor`: deletions up
    to this version may be missing, because the sender listed the store at it and has not seen each
    change before.
    """

    after: int
    through: int
    rows: tuple[Row, ...]
    more: bool = False
    floor: int = 0


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """The digest of each bucket of rows; sent if tables differ without a known missing change."""

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BucketVersions:
    """The version of every row of some buckets.

    If a row of these buckets is not listed and its version is below `floor`, it was deleted.
    """

    buckets: tuple[int, ...]
    versions: tuple[tuple[RowKey, int], ...]
    floor: int = 0


@dataclass(frozen=True, slots=True)
class RowsWanted:
    """Request these rows."""

    keys: tuple[RowKey, ...]


@dataclass(frozen=True, slots=True)
class RowsGiven:
    """Rows that the receiver lacks; they do not advance its `complete` version."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class InForceRequest:
    """Query a zone's reader for how many nodes of its zone have `version` in force."""

    version: int


@dataclass(frozen=True, slots=True)
class InForceReply:
    """The progress of one zone: every node of it has at least version `lowest` in force.

    `slowest`: the node at `lowest`. `nodes`: number of members counted. `behind`: how many of them
    are not known to have the requested version. `reader`: whether the replying node is one of its
    zone's readers.
    """

    zone: ZoneId
    lowest: int
    slowest: NodeId
    nodes: int
    behind: int
    reader: bool = True


@dataclass(frozen=True, slots=True)
class ZoneVersionsRequest:
    """Query a zone's reader for the version in force at each node of its zone."""


@dataclass(frozen=True, slots=True)
class ZoneVersionsReply:
    """The version that each node of a zone has in force at least (0: unknown)."""

    zone: ZoneId
    versions: tuple[tuple[NodeId, int], ...]


class EditStatus(IntEnum):
    """The outcome of an edit."""

    WRITTEN = 1
    """The store accepted it; it will come into force at every node."""
    CONFLICT = 2
    """Not written: the row is at another version than expected."""
    INVALID = 3
    """Not written: the row is invalid."""
    UNAVAILABLE = 4
    """Not written: the store could not be reached, or has an older version than this node."""
    UNKNOWN = 5
    """It may have been written: read the row later and compare its change id."""


@dataclass(frozen=True, slots=True)
class EditRow:
    """Request to write a row if it is still at the version `expected` (0: it must not exist).

    `spec` is JSON text; an empty one deletes the row. `change_id` identifies this edit uniquely.
    """

    key: RowKey
    expected: int
    spec: str
    change_id: str
    operator: str = ""


@dataclass(frozen=True, slots=True)
class EditReply:
    """The outcome of an edit. `current`: the row in the store, if known.

    `overwritten`: the edit was written, and a later one has replaced it.
    """

    status: EditStatus
    current: Row | None = None
    detail: str = ""
    overwritten: bool = False
