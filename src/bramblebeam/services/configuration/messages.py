"""What other services of the node ask the configuration service.

An edit is asked by `core.configuration.messages.EditRow`; its answer is an `EditReply`.
"""

from dataclasses import dataclass

from bramblebeam.core.configuration.messages import InForceReply, ZoneVersionsReply
from bramblebeam.core.configuration.rows import Row
from bramblebeam.core.identity import ZoneId


@dataclass(frozen=True, slots=True)
class RowsQuery:
    """Ask for the rows in force at this node; the answer is `RowsInForce`."""


@dataclass(frozen=True, slots=True)
class RowsInForce:
    """The rows in force at this node, without those deleted.

    `complete`: every change up to this store version is among them. `ready`: they may be served.
    """

    rows: tuple[Row, ...]
    complete: int
    ready: bool
    watching: bool


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
