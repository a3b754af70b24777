"""Events into and effects out of the machine that carries one statement to its final answer."""

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
    """One statement of a caller, classified.

    `sees_writes`: it returns data, so that it must see what its session wrote.
    """

    kind: StatementKind
    sql: str
    sees_writes: bool = True
    implicit_commit: bool = False
    caller_request: str = ""


@dataclass(frozen=True, slots=True)
class Started:
    """The statement arrived."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The owner answered the attempt."""

    reply: ExecuteReply


@dataclass(frozen=True, slots=True)
class PositionAnswered:
    """The primary's owner answered with a confirmed position or a refusal."""

    reply: PositionReply


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """No answer came. `sent` False: the owner surely did not get the message."""

    sent: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class GroupUpdated:
    """Something became known about the group while the statement was held."""


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send the request to a node; feed `Answered` or `AttemptFailed` (`timeout` in seconds)."""

    node: NodeId
    request: ExecuteRequest
    timeout: float


@dataclass(frozen=True, slots=True)
class RequestPosition:
    """Have a position confirmed; feed `PositionAnswered` or `AttemptFailed`."""

    node: NodeId
    request: PositionRequest
    timeout: float


@dataclass(frozen=True, slots=True)
class Hold:
    """Wait for news of the group, or for `next_wakeup`; feed `GroupUpdated` or `Wakeup`.

    `refresh`: ask the owners of the group's members for their statuses meanwhile.
    """

    group: GroupId
    refresh: bool = True


@dataclass(frozen=True, slots=True)
class Refresh:
    """Ask the owners of the group's members for their statuses; nothing waits for them."""

    group: GroupId


@dataclass(frozen=True, slots=True)
class Abandon:
    """Tell the owner that the session's transaction is given up."""

    node: NodeId
    instance: InstanceId
    session: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The final answer: the reply, or a refusal with its verdict."""

    reply: ExecuteReply | None
    refusal: Refusal | None
    instance: InstanceId
    node: NodeId


Effect = SendRequest | RequestPosition | Hold | Refresh | Abandon | Finish
"""What the driver of an execution carries out."""

Event = Started | Answered | PositionAnswered | AttemptFailed | GroupUpdated
"""What happens to an execution, besides `Wakeup`."""
