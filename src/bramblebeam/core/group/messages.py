"""Messages of the group package to other services and peers."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.identity import GroupId, InstanceId, Position
from bramblebeam.core.role import Role


class MemberStatus(NamedTuple):
    """A member's reply to a status query.

    `last`: the end of its log. `applied`: the position up to which reads there see the log.
    `lag_ms`: how far the applied state is behind the primary (milliseconds). `primary_contact_ms`:
    time since a replica last received from a primary of its term, or since a primary last had the
    replies of a majority (milliseconds). `primary`: the instance it follows, or empty.
    `promised_term`: the lowest term that it still accepts.
    """

    instance: InstanceId
    term: int
    role: Role
    last: Position
    applied: Position
    lag_ms: int
    primary_contact_ms: int
    primary: str
    promised_term: int
    leaving: bool


class GroupPhase(IntEnum):
    """State of a group as one watcher sees it."""

    UNKNOWN = 1
    """No primary is known yet."""
    STEADY = 2
    SUSPECTED = 3
    """The primary seems lost; the watcher waits for its turn to act."""
    CHANGING = 4
    """This watcher is changing the primary."""


@dataclass(frozen=True, slots=True)
class GroupChanged:
    """Published when the term, primary, phase or mode of a group changes for its watcher."""

    group: GroupId
    term: int
    primary: InstanceId | None
    phase: GroupPhase
    managed: bool


class ChangeOutcome(IntEnum):
    """Outcome of a requested change of primary."""

    DONE = 1
    """The target is primary of the term in the reply."""
    ALREADY_PRIMARY = 2
    """The target was the primary already."""
    OTHER_CHOSEN = 3
    """Another member had a longer log and became primary instead."""
    ABORTED = 4
    """Ended before any member was requested to refuse the old term; the primary continues."""
    FAILED = 5
    """No member became primary by this request; failure detection takes over from here."""
    NOT_WATCHED = 6
    """The queried node does not watch the group; query another node."""


@dataclass(frozen=True, slots=True)
class ChangePrimaryRequest:
    """Requests `target` as primary of `group`. Sent to the first watcher; answered at the end."""

    group: GroupId
    target: InstanceId


@dataclass(frozen=True, slots=True)
class ChangePrimaryReply:
    """Outcome of a requested change, and the term and primary known after it."""

    group: GroupId
    outcome: ChangeOutcome
    term: int = 0
    primary: str = ""
    detail: str = ""
    duration_ms: int = 0


@dataclass(frozen=True, slots=True)
class GroupStatusRequest:
    """Queries a watcher for the state of a group."""

    group: GroupId


class MemberReport(NamedTuple):
    """A watcher's last status of a member. `age_ms`: milliseconds since it was queried."""

    status: MemberStatus
    age_ms: int
    reachable: bool


@dataclass(frozen=True, slots=True)
class GroupStatusReply:
    """State of a group as a watcher knows it. `watched` False: unknown here, query another node."""

    group: GroupId
    watched: bool
    term: int = 0
    primary: str = ""
    phase: GroupPhase = GroupPhase.UNKNOWN
    managed: bool = True
    members: tuple[MemberReport, ...] = ()


@dataclass(frozen=True, slots=True)
class ReachabilityRequest:
    """Asks another watcher whether it reaches `instance`, which the sender does not."""

    group: GroupId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class ReachabilityReply:
    """Reply to `ReachabilityRequest`. `reachable`: the replying watcher has a recent status."""

    group: GroupId
    instance: InstanceId
    reachable: bool


@dataclass(frozen=True, slots=True)
class PrimaryNotice:
    """Notifies the other watchers that the sender promoted `primary` at `term`."""

    group: GroupId
    term: int
    primary: InstanceId
