"""Events about group leaders, published to the other services of this node."""

from dataclasses import dataclass

from bramblebeam.core.identity import GroupId, InstanceId, Position


@dataclass(frozen=True, slots=True)
class LeaderSuspected:
    """Published while a group has no usable leader. `since`: monotonic clock, seconds."""

    group: GroupId
    instance: InstanceId | None
    since: float


@dataclass(frozen=True, slots=True)
class LeaderProven:
    """Published when a new leader of a group is found."""

    group: GroupId
    instance: InstanceId
    position: Position


@dataclass(frozen=True, slots=True)
class FormerLeaderFound:
    """Published when a database claims to lead a term older than `newest_term`."""

    group: GroupId
    instance: InstanceId
    newest_term: int


@dataclass(frozen=True, slots=True)
class ChangeLookupRequested:
    """Published when members confirm a leader that may have restarted while paused for a change.

    The group's lease in the store shows whether such a change is pending.
    """

    group: GroupId


LeaderEvent = LeaderSuspected | LeaderProven | FormerLeaderFound | ChangeLookupRequested
"""An event about the leader of a group that this node watches."""
