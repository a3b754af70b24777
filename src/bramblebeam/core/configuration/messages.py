"""What the configuration services of nodes tell each other, and what operators' edits ask.

`complete` is a store version C of which the sender says: every change up to C is in its table.
Rows travel as `Row`; a row that is deleted has an empty spec and the deletion's version.
"""

from dataclasses import dataclass
from enum import IntEnum

from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.identity import NodeId, ZoneId


@dataclass(frozen=True, slots=True)
class Probe:
    """The sender's state, so that the one that is behind fetches what it misses.

    `ready`: the sender's rows may be trusted. `answer`: send your state back in any case.
    """

    complete: int
    digest: int
    ready: bool
    answer: bool = False


@dataclass(frozen=True, slots=True)
class Report:
    """A node tells its zone's readers how far its rows are."""

    complete: int


@dataclass(frozen=True, slots=True)
class Pull:
    """Ask for the changes after the store version `after`."""

    after: int


@dataclass(frozen=True, slots=True)
class Changes:
    """The newest version of every row changed after `after` and up to `through`.

    `more`: the sender has later ones; ask again by `Pull(through)`. `floor`: deletions up to this
    version may be missing, for the sender has listed the store and not seen each change.
    """

    after: int
    through: int
    rows: tuple[Row, ...]
    more: bool = False
    floor: int = 0


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """The digest of each bucket of rows: sent where the tables' digests differ for no known gap."""

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BucketVersions:
    """The version of every row of some buckets.

    A row that is not among them and whose version is not above `floor` was deleted.
    """

    buckets: tuple[int, ...]
    versions: tuple[tuple[RowKey, int], ...]
    floor: int = 0


@dataclass(frozen=True, slots=True)
class RowsWanted:
    """Ask for these rows."""

    keys: tuple[RowKey, ...]


@dataclass(frozen=True, slots=True)
class RowsGiven:
    """Rows that the receiver lacks; they say nothing on the completeness of its table."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class InForceRequest:
    """Ask a zone's reader how far its zone is with the version `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class InForceReply:
    """How far one zone is. `lowest` is the version that all its nodes have in force at least.

    `slowest`: the node at `lowest`. `nodes`: members counted. `behind`: how many have not yet the
    asked version. `reader`: whether the node that answers is one of its zone's readers.
    """

    zone: ZoneId
    lowest: int
    slowest: NodeId
    nodes: int
    behind: int
    reader: bool = True


@dataclass(frozen=True, slots=True)
class ZoneVersionsRequest:
    """Ask a zone's reader how far each node of its zone is."""


@dataclass(frozen=True, slots=True)
class ZoneVersionsReply:
    """What each node of a zone has in force at least (0: not known)."""

    zone: ZoneId
    versions: tuple[tuple[NodeId, int], ...]


class EditStatus(IntEnum):
    """How an edit ended."""

    WRITTEN = 1
    """The store accepted it; it comes into force everywhere."""
    CONFLICT = 2
    """Not done: the row is at another version than expected."""
    INVALID = 3
    """Not done: the row is wrong."""
    UNAVAILABLE = 4
    """Not done: the store could not be reached."""
    UNKNOWN = 5
    """It may have been done: read the row later and compare its change id."""


@dataclass(frozen=True, slots=True)
class EditRow:
    """Write a row if it is still at the version `expected` (0: it must not exist).

    `spec` is JSON text; empty: delete the row. `change_id` names this edit and is unique.
    """

    key: RowKey
    expected: int
    spec: str
    change_id: str
    operator: str = ""


@dataclass(frozen=True, slots=True)
class EditReply:
    """The end of an edit. `current` is the row as the store has it, where that is known.

    `overwritten`: the edit was written, and a later one took its place.
    """

    status: EditStatus
    current: Row | None = None
    detail: str = ""
    overwritten: bool = False
