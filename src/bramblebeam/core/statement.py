"""Messages of the statement path: an edge to the owner of a back end's connections, and back.

Nested records are named tuples: they travel as plain arrays.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

from bramblebeam.core.identity import (
    ZERO_POSITION,
    GroupId,
    InstanceId,
    NodeId,
    Position,
    ServiceId,
)
from bramblebeam.core.role import Role
from bramblebeam.core.verdict import Refusal


class StatementKind(IntEnum):
    """What a statement needs of the back end."""

    READ = 1
    """Changes nothing; may run on a replica and may be repeated."""
    WRITE = 2
    """Anything that is not surely a read; runs on the primary only, never repeated blindly."""
    BEGIN = 3
    COMMIT = 4
    ROLLBACK = 5


class RequestId(NamedTuple):
    """Names one request for as long as it may be asked again: (edge's session, its sequence)."""

    session: str
    sequence: int


class ColumnSpec(NamedTuple):
    """One column of a result: its name and MySQL type code."""

    name: str
    type_code: int


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Live state of one back end, as its owner last saw it.

    `applied` is what a read there sees at least; `last` the end of its log. `lag_ms` is how far
    the applied state is behind the primary in time (milliseconds, an upper bound).
    """

    instance: InstanceId
    group: GroupId
    term: int
    role: Role
    last: Position
    applied: Position
    lag_ms: int
    leaving: bool
    reachable: bool
    owner: NodeId
    epoch: int


@dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """Run one statement on one back end.

    `floor`: a read runs only where the applied position is at or past it.
    `staleness_ms`: a read runs only where the lag is within it (-1: no bound).
    `wait_ms`: how long the owner may wait for a slot or for the floor to be reached.
    `deadline_ms`: time left for the whole request, counted from arrival (milliseconds).
    `transaction`: empty, or the edge's name of the transaction the statement belongs to; the
    statements of one transaction run on one connection that no other session uses meanwhile.
    `minimum_term`: the highest term the edge knows of; a back end at a lower term must not answer.
    `caller_request`: empty, or the caller's own request id, kept in the database.
    `repeat`: the request was sent to this owner before and its answer was lost. An owner that does
    not remember the id must not run it, and answers with verdict UNKNOWN.
    `session_name`: the name by which the caller's session roams, empty for none. None: the edge
    does not tell.
    """

    request: RequestId
    instance: InstanceId
    service: ServiceId
    kind: StatementKind
    sql: str
    database: str = ""
    floor: Position = ZERO_POSITION
    staleness_ms: int = -1
    wait_ms: int = 0
    deadline_ms: int = 30_000
    transaction: str = ""
    minimum_term: int = 0
    caller_request: str = ""
    repeat: bool = False
    session_name: str | None = None


@dataclass(frozen=True, slots=True)
class ExecuteReply:
    """The whole answer of a statement, or its refusal, or the head of a streamed result.

    A write's `position` is its commit's. For a read, `position` is a lower bound of what was read.
    Where `more` is set, the rest of the rows are fetched by `FetchRequest` under the same id.
    """

    request: RequestId
    refusal: Refusal | None = None
    columns: tuple[ColumnSpec, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    position: Position = ZERO_POSITION
    in_transaction: bool = False
    more: bool = False
    status: InstanceStatus | None = None


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Ask for the next rows of a streamed result (`cancel`: give it up and free the slot)."""

    request: RequestId
    instance: InstanceId
    cancel: bool = False


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """The caller is gone: cancel what runs for this session and roll its transaction back."""

    session: str
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class PositionRequest:
    """Ask an instance's owner for a position to use as a session's floor.

    The owner asks the primary to confirm under a majority of the group for its term. `sessions`:
    names of sessions, each of which needs no more than its own acknowledged writes covered.
    """

    instance: InstanceId
    sessions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PositionReply:
    """The confirmed position, or why there is none.

    `floors`: for each session of the question a position that covers its writes, in order; empty
    from an owner that knows none.
    """

    instance: InstanceId
    position: Position = ZERO_POSITION
    refusal: Refusal | None = None
    floors: tuple[Position, ...] = ()


@dataclass(frozen=True, slots=True)
class SubscribeRequest:
    """Ask an instance's owner to push `InstanceStatus` on each change of term, role or leaving.

    Renewed by the edge every few seconds while it uses the instance; lapses by itself.
    """

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class SubscribeReply:
    """The instance's status now; `owned` tells whether the asked node owns it."""

    instance: InstanceId
    owned: bool
    status: InstanceStatus | None = None
