"""Events and effects of the group machine.

A driver answers each command exactly once: with the member's status, with `REFUSED` if the member
returned an error, or with `LOST` if the command may have run. It does not retry commands.
"""

from dataclasses import dataclass
from enum import IntEnum

from bramblebeam.core.group.messages import ChangeOutcome, GroupChanged, MemberStatus
from bramblebeam.core.identity import InstanceId, InstanceSpec, NodeId


class CommandOutcome(IntEnum):
    """Outcome of a command to a member."""

    DONE = 1
    REFUSED = 2
    LOST = 3


@dataclass(frozen=True, slots=True)
class QueryStatus:
    """Effect: query the status of a member (`timeout` in seconds)."""

    instance: InstanceId
    queried_at: float
    timeout: float


@dataclass(frozen=True, slots=True)
class StatusObserved:
    """Event: a member replied to the query sent at `queried_at`."""

    instance: InstanceId
    status: MemberStatus
    queried_at: float


@dataclass(frozen=True, slots=True)
class StatusFailed:
    """Event: a query got no reply. `refused`: no process listens at the member's address."""

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
    """Event: the reply to `Promise`; `status` is set if the promise was made."""

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
    """Event: the reply to `Promote`."""

    instance: InstanceId
    term: int
    outcome: CommandOutcome


@dataclass(frozen=True, slots=True)
class Follow:
    """Effect: have a member follow the primary of `term`. Later statuses show the result."""

    instance: InstanceId
    term: int
    primary: InstanceSpec
    timeout: float


@dataclass(frozen=True, slots=True)
class PauseWrites:
    """Effect: have a primary hold back new writes for `milliseconds` (0: resume them)."""

    instance: InstanceId
    milliseconds: int
    timeout: float


@dataclass(frozen=True, slots=True)
class PauseAnswered:
    """Event: the reply to `PauseWrites` with `milliseconds` above 0."""

    instance: InstanceId
    outcome: CommandOutcome


@dataclass(frozen=True, slots=True)
class GroupReconfigured:
    """Event: the group's members, mode or watchers changed.

    `watchers`: all watchers of the group in order of rank, according to the member table.
    """

    members: tuple[InstanceSpec, ...]
    managed: bool
    watchers: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class ChangeRequested:
    """Event: an operator requests `target` as primary. `request` identifies the request."""

    request: int
    target: InstanceId


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Effect: a requested change has ended (`duration` in seconds)."""

    request: int
    outcome: ChangeOutcome
    detail: str
    duration: float


@dataclass(frozen=True, slots=True)
class Publish:
    """Effect: publish a message to the node's other services."""

    message: GroupChanged


class Cause(IntEnum):
    """Why a watcher changes the primary."""

    CONTACT_LOST = 1
    """A majority of the members have no contact with the primary."""
    PRIMARY_REFUSED = 2
    """No process listens at the primary's address, and a majority have no contact with it."""
    UNREACHABLE = 3
    """No watcher that replies reaches the primary, although replicas have contact with it."""
    NO_PRIMARY = 4
    """No member is known to be primary."""
    TERM_PROMISED = 5
    """A member promised a higher term and so accepts nothing from a working primary."""
    REQUESTED = 6
    """An operator requested it."""


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
    """Effect, to be logged: the attempt ended without a known promotion."""

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
