"""What the group package tells other services and peers."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.identity import GroupId, InstanceId, Position
from bramblebeam.core.role import Role


class MemberStatus(NamedTuple):
    """One member's answer to a status query.

    `last` is the end of its log, `applied` what a read there sees. `lag_ms` is how far the applied
    state is behind the primary (milliseconds). `primary_contact_ms` is the time since a replica
    heard from a primary of its term, or since a primary had the answers of a majority
    (milliseconds). `primary` is the instance it follows, empty for none. `promised_term` is the
    lowest term that it still accepts.
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
    """What a watcher takes the group to be doing."""

    UNKNOWN = 1
    """No primary is known yet."""
    STEADY = 2
    SUSPECTED = 3
    """The primary seems lost; the watcher waits its turn to act."""
    CHANGING = 4
    """This watcher is changing the primary."""


@dataclass(frozen=True, slots=True)
class GroupChanged:
    """Published when a watcher's knowledge of its group's term, primary or phase changes."""

    group: GroupId
    term: int
    primary: InstanceId | None
    phase: GroupPhase
    managed: bool


class ChangeOutcome(IntEnum):
    """How a requested change of primary ended."""

    DONE = 1
    """The target is primary of the answered term."""
    ALREADY_PRIMARY = 2
    """Nothing was to be done."""
    OTHER_CHOSEN = 3
    """The change went on, but another member held more and became primary."""
    ABORTED = 4
    """Given up before any member was asked to refuse the old term; the primary goes on."""
    FAILED = 5
    """No member became primary by this request; the watchers' detection goes on from here."""
    NOT_WATCHED = 6
    """The asked node does not watch the group; ask another node."""


@dataclass(frozen=True, slots=True)
class ChangePrimaryRequest:
    """Make `target` the primary of `group`. Sent to the first watcher; answered when it is over."""

    group: GroupId
    target: InstanceId


@dataclass(frozen=True, slots=True)
class ChangePrimaryReply:
    """How the change ended, and the term and primary known after it."""

    group: GroupId
    outcome: ChangeOutcome
    term: int = 0
    primary: str = ""
    detail: str = ""
    duration_ms: int = 0


@dataclass(frozen=True, slots=True)
class GroupStatusRequest:
    """Ask a watcher for what it knows of a group."""

    group: GroupId


class MemberReport(NamedTuple):
    """A watcher's last status of a member. `age_ms`: milliseconds since it was asked for."""

    status: MemberStatus
    age_ms: int
    reachable: bool


@dataclass(frozen=True, slots=True)
class GroupStatusReply:
    """What a watcher knows of a group. `watched` False: nothing, ask another node."""

    group: GroupId
    watched: bool
    term: int = 0
    primary: str = ""
    phase: GroupPhase = GroupPhase.UNKNOWN
    managed: bool = True
    members: tuple[MemberReport, ...] = ()


@dataclass(frozen=True, slots=True)
class ReachabilityRequest:
    """Ask another watcher whether it reaches `instance`, which the asker does not."""

    group: GroupId
    instance: InstanceId


@dataclass(frozen=True, slots=True)
class ReachabilityReply:
    """`reachable`: the answering watcher had a fresh status of the instance."""

    group: GroupId
    instance: InstanceId
    reachable: bool


@dataclass(frozen=True, slots=True)
class PrimaryNotice:
    """A watcher tells the others that it has promoted `primary` at `term`."""

    group: GroupId
    term: int
    primary: InstanceId
