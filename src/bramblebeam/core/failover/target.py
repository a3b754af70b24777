"""Choice of the member of a group to promote."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bramblebeam.core.failover.lease import OrderedChange
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import InstanceId, Position


@dataclass(frozen=True, slots=True)
class CandidateStatus:
    """Status reported by a reachable member. `paused`: it receives nothing for now."""

    is_primary: bool
    term: int
    received: Position
    paused: bool = False


def has_no_rolled_back_entries(
    instance: InstanceId,
    status: CandidateStatus,
    last_change: OrderedChange | None,
    synchronous: bool = False,
) -> bool:
    """Whether a member's log certainly has no entry that the last change of primary rolled back.

    A former primary that has been unreachable since then keeps its old log. Promoting it would
    restore commits that others have read past, and drop commits made since. A log that is part of
    the target's log up to the cut has no such entries, but with synchronous replicas it may lack
    acknowledged commits.
    """
    if last_change is None or instance == last_change.target:
        return True
    if status.term >= last_change.term:
        return True
    cut = last_change.cut
    is_prefix = status.received.term <= cut.term and status.received.offset <= cut.offset
    is_part_of_cut = status.term >= cut.term and is_prefix
    return is_part_of_cut and not synchronous


def next_term(
    statuses: Mapping[InstanceId, CandidateStatus], last_change: OrderedChange | None
) -> int:
    """Return the lowest term of the next primary, which is above every known term.

    The term of the last change is known even if no member that has it is reachable.
    """
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
    """Return the reachable member with the longest log; a leaving one only if there is no other.

    A member without a log, for example after a restart, ranks last. With synchronous replicas the
    longest log decides even for a leaving member: only it certainly has every acknowledged commit.
    """
    candidates = [
        entry
        for entry in members
        if entry.instance in statuses
        and entry.instance != leader
        and has_no_rolled_back_entries(
            entry.instance, statuses[entry.instance], last_change, synchronous
        )
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
    wait_expired: bool,
) -> bool:
    """Whether a target may be promoted although its log may be empty.

    `had_log`: the group is known to have had commits. The caller then waits for a member that has
    them: at least until `wait_expired`, and while a registered member has not reported its log.
    """
    if statuses[target].received.offset > 0 or not had_log:
        return True
    unreported = [
        entry.instance for entry in members if entry.instance not in statuses and not entry.lapsed
    ]
    return wait_expired and not unreported


def covers_acknowledged(
    members: Collection[DatabaseEntry],
    statuses: Mapping[InstanceId, CandidateStatus],
    leader: InstanceId | None,
    synchronous_replicas: int,
    restarted: Collection[InstanceId] = (),
    departed: Collection[InstanceId] = (),
) -> bool:
    """Whether the longest log of the paused members certainly has every acknowledged commit.

    `restarted`, `departed`: as in `logs_not_paused`.

    A commit is acknowledged once `synchronous_replicas` replicas have received it. If fewer
    replicas than that are not paused, every acknowledged commit is in a paused log, and no further
    commit can be acknowledged.
    """
    if synchronous_replicas <= 0:
        return True
    missing = logs_not_paused(members, statuses, leader, restarted, departed)
    return len(missing) < synchronous_replicas


def logs_not_paused(
    members: Collection[DatabaseEntry],
    statuses: Mapping[InstanceId, CandidateStatus],
    leader: InstanceId | None,
    restarted: Collection[InstanceId],
    departed: Collection[InstanceId],
) -> list[InstanceId]:
    """Return the replicas whose receipt may have counted and whose log is not paused.

    `restarted`: replicas that restarted and have not caught up. What they received in their former
    incarnation may be in no log. `departed`: replicas that left, and that no paused log covers.
    """
    replicas = [entry.instance for entry in members if entry.instance not in (leader, *departed)]
    unpaused = [
        instance
        for instance in replicas
        if instance in restarted or instance not in statuses or not statuses[instance].paused
    ]
    return sorted([*unpaused, *departed])
