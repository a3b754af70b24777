"""Events and effects of the state machines that execute a statement."""

from dataclasses import dataclass

from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.statement import (
    ExecuteReply,
    ExecuteRequest,
    PositionReply,
    PositionRequest,
    StatementKind,
)
from bramblebeam.core.verdict import Refusal


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """A classified statement of a caller.

    `sees_writes`: it returns data, which must reflect the session's own writes.
    """

    kind: StatementKind
    sql: str
    sees_writes: bool = True
    implicit_commit: bool = False
    caller_request: str = ""


@dataclass(frozen=True, slots=True)
class Started:
    """The execution starts."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The owner replied to the attempt."""

    reply: ExecuteReply


@dataclass(frozen=True, slots=True)
class PositionAnswered:
    """The primary's owner replied with a confirmed position or a refusal."""

    reply: PositionReply


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """No reply was received. `sent` False: the owner certainly did not receive the request."""

    sent: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class GroupUpdated:
    """The group's state changed while the statement was held."""


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send the request to a node; respond with `Answered` or `AttemptFailed` (`timeout` in s)."""

    node: NodeId
    request: ExecuteRequest
    timeout: float


@dataclass(frozen=True, slots=True)
class RequestPosition:
    """Request a confirmed position; respond with `PositionAnswered` or `AttemptFailed`."""

    node: NodeId
    request: PositionRequest
    timeout: float


@dataclass(frozen=True, slots=True)
class Hold:
    """Wait for a change of the group or for `next_wakeup`; respond with `GroupUpdated` or `Wakeup`.

    `refresh`: meanwhile query the owners of the group's members for their statuses.
    """

    group: GroupId
    refresh: bool = True


@dataclass(frozen=True, slots=True)
class Refresh:
    """Query the owners of the group's members for statuses without waiting for replies."""

    group: GroupId


@dataclass(frozen=True, slots=True)
class Abandon:
    """Notify the owner that the session's transaction is abandoned."""

    node: NodeId
    instance: InstanceId
    session: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The final outcome: the reply or a refusal."""

    reply: ExecuteReply | None
    refusal: Refusal | None
    instance: InstanceId
    node: NodeId


Effect = SendRequest | RequestPosition | Hold | Refresh | Abandon | Finish
"""Effects that the driver of an execution carries out."""

Event = Started | Answered | PositionAnswered | AttemptFailed | GroupUpdated
"""Events that an execution handles, besides `Wakeup`."""
