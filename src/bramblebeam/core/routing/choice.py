"""Selects the instance for an attempt of a read from the last reported statuses."""

from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from bramblebeam.core.identity import GroupId, InstanceId, Position
from bramblebeam.core.role import Role
from bramblebeam.core.routing.directory import Directory
from bramblebeam.core.session.session import Session, StickyReplica
from bramblebeam.core.statement import InstanceStatus, RequestId

NEAR_LAG_MS = 250
"""A replica below the floor is still used, and waits for it, if its lag does not exceed this."""


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """What a read requires of an instance.

    `staleness_ms`: maximum lag (milliseconds; negative: no bound). `now`: time of the routing
    (seconds).
    """

    group: GroupId
    floor: Position
    staleness_ms: int
    now: float


def sticky_replica(
    directory: Directory, session: Session, need: ReadRequirement, excluded: Collection[InstanceId]
) -> InstanceStatus | None:
    """Return the replica that the session is bound to, if it can still serve the read."""
    sticky = session.sticky.get(need.group)
    if sticky is None:
        return None
    sticky.reads_left -= 1
    if sticky.reads_left <= 0 or sticky.configuration_version != directory.configuration.version:
        del session.sticky[need.group]
        return None
    status = directory.status(sticky.instance)
    if status is None or sticky.instance in excluded:
        return None
    if is_usable(directory, status, need) and _can_reach_floor(directory, status, need):
        return status
    return None


def choose_replica(
    directory: Directory,
    session: Session,
    need: ReadRequirement,
    excluded: Collection[InstanceId],
    request: RequestId,
) -> InstanceStatus | None:
    """Return the replica for a read, or None if none can serve it.

    A replica qualifies if it has reached the floor, or if its lag is small and no read recently
    timed out waiting for it. The choice among these is weighted by the configured read weights,
    and binds the session to the replica.
    """
    candidates = [
        status
        for status in _replicas(directory, need, weighted=True)
        if status.instance not in excluded and _can_reach_floor(directory, status, need)
    ]
    chosen = _select_by_weight(directory, candidates, request)
    if chosen is not None:
        version = directory.configuration.version
        session.sticky[need.group] = StickyReplica(chosen.instance, version)
    return chosen


def choose_unweighted(
    directory: Directory, need: ReadRequirement, excluded: Collection[InstanceId]
) -> InstanceStatus | None:
    """Return a replica of read weight 0, for use when no other instance is available."""
    for status in _replicas(directory, need, weighted=False):
        if status.instance not in excluded:
            return status
    return None


def _can_reach_floor(directory: Directory, status: InstanceStatus, need: ReadRequirement) -> bool:
    if status.applied >= need.floor:
        return True
    return status.lag_ms <= NEAR_LAG_MS and not directory.is_behind(status.instance, need.now)


def is_usable(directory: Directory, status: InstanceStatus, need: ReadRequirement) -> bool:
    """Whether the instance is a replica that may serve the read, by its last reported status."""
    if status.role is not Role.REPLICA or not status.reachable or status.leaving:
        return False
    if 0 <= need.staleness_ms < status.lag_ms:
        return False
    return directory.accepts_work(status.instance)


def _replicas(directory: Directory, need: ReadRequirement, weighted: bool) -> list[InstanceStatus]:
    """Return the usable replicas with a positive read weight, or those with read weight 0."""
    found = []
    for member in directory.group_members(need.group):
        status = directory.status(member.instance)
        if status is None or not is_usable(directory, status, need):
            continue
        if bool(directory.read_weight(member.instance)) is weighted:
            found.append(status)
    return found


def _select_by_weight(
    directory: Directory, candidates: list[InstanceStatus], request: RequestId
) -> InstanceStatus | None:
    """Select by weight, using a hash of the request id, which is uniform over many requests."""
    weights = [directory.read_weight(status.instance) for status in candidates]
    total = sum(weights)
    if not total:
        return None
    draw = xxhash.xxh3_64_intdigest(f"{request.session}/{request.sequence}".encode()) % total
    for status, weight in zip(candidates, weights, strict=True):
        if draw < weight:
            return status
        draw -= weight
    return None
