"""What a node tells its own services of the leaders of groups."""

from dataclasses import dataclass

from bramblebeam.core.identity import GroupId, InstanceId, Position


@dataclass(frozen=True, slots=True)
class LeaderSuspected:
    """Published while a group has no leader that can be used. `since`: steady clock, seconds."""

    group: GroupId
    instance: InstanceId | None
    since: float


@dataclass(frozen=True, slots=True)
class LeaderProven:
    """Published when a database was found to lead its group after another one or none."""

    group: GroupId
    instance: InstanceId
    position: Position


@dataclass(frozen=True, slots=True)
class FormerLeaderFound:
    """Published when a database says that it leads a term older than `newest_term`."""

    group: GroupId
    instance: InstanceId
    newest_term: int


LeaderEvent = LeaderSuspected | LeaderProven | FormerLeaderFound
"""What a node publishes of the leaders that it follows."""
