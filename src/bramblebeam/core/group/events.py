"""Events and effects of the group machine.

A driver answers each command exactly once: with the member's status, with `REFUSED` for an error
of the member, or with `LOST` when it may have run. It repeats no command by itself.
"""

from dataclasses import dataclass
from enum import IntEnum

from bramblebeam.core.group.messages import ChangeOutcome, GroupChanged, MemberStatus
from bramblebeam.core.identity import InstanceId, InstanceSpec, NodeId


class CommandOutcome(IntEnum):
    """How a command to a member ended."""

    DONE = 1
    REFUSED = 2
    LOST = 3


@dataclass(frozen=True, slots=True)
class QueryStatus:
    """Effect: ask a member for its status within `timeout` seconds."""

    instance: InstanceId
    queried_at: float
    timeout: float


@dataclass(frozen=True, slots=True)
class StatusObserved:
    """Event: a member answered the query asked at `asked_at`."""

    instance: InstanceId
    status: MemberStatus
    queried_at: float


@dataclass(frozen=True, slots=True)
class StatusFailed:
    """Event: a query got no answer. `refused`: no process listens at the member's address."""

    instance: InstanceId
    queried_at: float
    refused: bool


@dataclass(frozen=True, slots=True)
class Promise:
    """Effect: have a member promise to refuse terms below `term` (`timeout` in seconds)."""

    instance: InstanceId
    term: int
    timeout: float


@dataclass(frozen=True, slots=True)
class PromiseAnswered:
    """Event: the answer to `Promise`; `status` is set if it was made."""

    instance: InstanceId
    term: int
    outcome: CommandOutcome
    status: MemberStatus | None = None


@dataclass(frozen=True, slots=True)
class Promote:
    """Effect: make a member the primary of `term`, which it promised (`timeout` in seconds)."""

    instance: InstanceId
    term: int
    members: tuple[InstanceSpec, ...]
    timeout: float


@dataclass(frozen=True, slots=True)
class PromoteAnswered:
    """Event: the answer to `Promote`."""

    instance: InstanceId
    term: int
    outcome: CommandOutcome


@dataclass(frozen=True, slots=True)
class Follow:
    """Effect: have a member follow the primary of `term`. Needs no answer: statuses tell."""

    instance: InstanceId
    term: int
    primary: InstanceSpec
    timeout: float


@dataclass(frozen=True, slots=True)
class PauseWrites:
    """Effect: have a primary hold new writes back for `milliseconds` (0: let them go on)."""

    instance: InstanceId
    milliseconds: int
    timeout: float


@dataclass(frozen=True, slots=True)
class PauseAnswered:
    """Event: the answer to `PauseWrites` with a time above 0."""

    instance: InstanceId
    outcome: CommandOutcome


@dataclass(frozen=True, slots=True)
class GroupReconfigured:
    """Event: the group's members, mode or watchers changed.

    `watchers` are all watchers of the group, first one first, as the member table tells.
    """

    members: tuple[InstanceSpec, ...]
    managed: bool
    watchers: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class ChangeRequested:
    """Event: an operator wants `target` to be the primary. `request` names the demand."""

    request: int
    target: InstanceId


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Effect: the requested change is over."""

    request: int
    outcome: ChangeOutcome
    detail: str
    duration: float


@dataclass(frozen=True, slots=True)
class Publish:
    """Effect: tell the other services of the node."""

    message: GroupChanged


class Cause(IntEnum):
    """Why a watcher changes the primary."""

    CONTACT_LOST = 1
    """A majority of the members do not hear the primary."""
    PRIMARY_REFUSED = 2
    """No process listens at the primary's address, and a majority does not hear it."""
    UNREACHABLE = 3
    """No watcher that answers reaches the primary, though replicas hear it."""
    NO_PRIMARY = 4
    """No member is known to be primary."""
    TERM_PROMISED = 5
    """A member promised a higher term and so takes nothing from a primary that works."""
    REQUESTED = 6
    """An operator asked for it."""


@dataclass(frozen=True, slots=True)
class ChangeStarted:
    """Effect, to be logged: a change to `term` begins."""

    term: int
    cause: Cause


@dataclass(frozen=True, slots=True)
class ChangeCompleted:
    """Effect, to be logged: `primary` has been promoted (`duration` in seconds)."""

    term: int
    primary: InstanceId
    duration: float


@dataclass(frozen=True, slots=True)
class ChangeGivenUp:
    """Effect, to be logged: this attempt ended without a promotion that is known."""

    term: int
    detail: str


Command = Promise | Promote | Follow | PauseWrites
Effect = (
    QueryStatus
    | Command
    | Publish
    | RequestFinished
    | ChangeStarted
    | ChangeCompleted
    | ChangeGivenUp
)
