"""Messages between an edge and the node that owns a back end's connections.

Nested records are named tuples, which the codec encodes as plain arrays.
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
    """How the back end has to run a statement."""

    READ = 1
    """Modifies nothing; may run on a replica and may be repeated."""
    WRITE = 2
    """Anything not proven to be a read; runs on the primary only and is never repeated blindly."""
    BEGIN = 3
    COMMIT = 4
    ROLLBACK = 5


class RequestId(NamedTuple):
    """Identifies a request for as long as it may be resent: the edge's session and its sequence."""

    session: str
    sequence: int


class ColumnSpec(NamedTuple):
    """Name and MySQL type code of a result column."""

    name: str
    type_code: int


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """State of a back end as last observed by its owner.

    `applied`: the position that a read there reflects at least. `last`: the end of its log.
    `lag_ms`: upper bound of how far the applied state lags the primary (milliseconds).
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
    """Run a statement on a back end.

    `floor`: a read runs only where the applied position is at or past it.
    `staleness_ms`: a read runs only where the lag does not exceed it (-1: no bound).
    `wait_ms`: how long the owner may wait for a slot or for the floor to be reached.
    `deadline_ms`: time left for the whole request, from its arrival (milliseconds).
    `transaction`: the edge's name of the transaction that the statement belongs to, or empty. A
    transaction's statements run on one connection, which no other session uses meanwhile.
    `minimum_term`: the highest term the edge knows of; a back end at a lower term must not reply.
    `caller_request`: the caller's own request id, which is stored in the database, or empty.
    `repeat`: the request was sent to this owner before and the reply was lost. An owner that no
    longer has the request id must not run it and replies with verdict UNKNOWN.
    `session_name`: name of the caller's roaming session, empty for none. None: not reported by
    the edge.
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
    """The complete result of a statement, its refusal, or the head of a streamed result.

    `position`: a write's commit position; for a read, a lower bound of the state it reflects.
    `more`: the remaining rows have to be fetched with `FetchRequest` under the same request id.
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
    """Fetch the next rows of a streamed result; `cancel`: discard the rest and release the slot."""

    request: RequestId
    instance: InstanceId
    cancel: bool = False


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """Cancel the session's running statements and roll back its transaction: the caller is gone."""

    session: str
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class PositionRequest:
    """Request a position from an instance's owner to use as the floor of sessions.

    The owner has the primary confirm its term with a majority of the group. `sessions`: names of
    sessions, each of which only needs a floor that covers its own acknowledged writes.
    """

    instance: InstanceId
    sessions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PositionReply:
    """The confirmed position, or the refusal.

    `floors`: for each requested session, in order, a position that covers its writes; empty from
    an owner that knows none.
    """

    instance: InstanceId
    position: Position = ZERO_POSITION
    refusal: Refusal | None = None
    floors: tuple[Position, ...] = ()


@dataclass(frozen=True, slots=True)
class SubscribeRequest:
    """Subscribe to `InstanceStatus` pushes on each change of term, role or `leaving`.

    The edge renews the subscription every few seconds while it uses the instance; otherwise it
    expires.
    """

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class SubscribeReply:
    """The instance's current status; `owned`: whether the queried node owns the instance."""

    instance: InstanceId
    owned: bool
    status: InstanceStatus | None = None
