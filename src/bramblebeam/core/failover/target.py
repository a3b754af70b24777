"""Which member of a group is promoted."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bramblebeam.core.failover.lease import OrderedChange
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import InstanceId, Position


@dataclass(frozen=True, slots=True)
class CandidateStatus:
    """What a member that can be reached says of itself. `paused`: it receives nothing now."""

    is_primary: bool
    term: int
    received: Position
    paused: bool = False


def follows(
    instance: InstanceId,
    status: CandidateStatus,
    last_change: OrderedChange | None,
    synchronous: bool = False,
) -> bool:
    """Whether a member's log surely has nothing that the last change of primary rolled back.

    A former primary that could not be reached since keeps its old log. To promote it would bring
    back commits that others have read past, and drop those made since. A log that is part of the
    cut has nothing of that kind, but with synchronous replicas it may lack acknowledged commits.
    """
    if last_change is None or instance == last_change.target:
        return True
    if status.term >= last_change.term:
        return True
    cut = last_change.cut
    is_prefix = status.received.term <= cut.term and status.received.offset <= cut.offset
    is_part = status.term >= cut.term and is_prefix
    return is_part and not synchronous


def next_term(
    statuses: Mapping[InstanceId, CandidateStatus], last_change: OrderedChange | None
) -> int:
    """Return the lowest term that the next primary leads, also where a newer one is unreachable."""
    known = [status.term for status in statuses.values()]
    if last_change is not None:
        known.append(last_change.term)
    return max(known, default=0) + 1


def choose_target(
    members: Collection[DatabaseEntry],
    statuses: Mapping[InstanceId, CandidateStatus],
    leader: InstanceId | None,
    last_change: OrderedChange | None = None,
    synchronous: bool = False,
) -> InstanceId | None:
    """Return the reachable member with the longest log; a leaving one only for want of others.

    One without a log, as after it started again, comes after all others. With synchronous replicas
    the longest log rules alone: only it surely has every acknowledged commit.
    """
    candidates = [
        entry
        for entry in members
        if entry.instance in statuses
        and entry.instance != leader
        and follows(entry.instance, statuses[entry.instance], last_change, synchronous)
    ]
    if not candidates:
        return None
    best = max(
        candidates,
        key=lambda entry: (
            statuses[entry.instance].received.offset > 0,
            synchronous or not entry.leaving,
            statuses[entry.instance].received,
            entry.instance,
        ),
    )
    return best.instance


def may_promote_without_log(
    target: InstanceId,
    members: Collection[DatabaseEntry],
    statuses: Mapping[InstanceId, CandidateStatus],
    had_log: bool,
    waited_in_vain: bool,
) -> bool:
    """Whether a target may be promoted though its log may be empty.

    `had_log`: the group is known to have had commits. Then a member that has them is waited for:
    as long as one is registered that did not tell how far it is, and else until `waited_in_vain`.
    """
    if statuses[target].received.offset > 0 or not had_log:
        return True
    untold = [
        entry.instance for entry in members if entry.instance not in statuses and not entry.lapsed
    ]
    return waited_in_vain and not untold


def covers_acknowledged(
    members: Collection[DatabaseEntry],
    statuses: Mapping[InstanceId, CandidateStatus],
    leader: InstanceId | None,
    synchronous_replicas: int,
    forgetful: Collection[InstanceId] = (),
) -> bool:
    """Whether the longest paused log surely has every acknowledged commit.

    `forgetful`: replicas that started again and have not caught up: what their former start had
    received may be in no log.

    A commit is acknowledged once `synchronous_replicas` replicas have received it. If fewer
    replicas than that are outside the paused set, every acknowledged commit is in one paused log,
    and none can be acknowledged any more.
    """
    if synchronous_replicas <= 0:
        return True
    replicas = [entry.instance for entry in members if entry.instance != leader]
    paused = sum(
        1
        for instance in replicas
        if instance in statuses and statuses[instance].paused and instance not in forgetful
    )
    return len(replicas) - paused < synchronous_replicas
