"""Chooses the instance for one attempt of a read, from what the node last heard of each."""

from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from bramblebeam.core.identity import GroupId, InstanceId, Position
from bramblebeam.core.role import Role
from bramblebeam.core.routing.directory import Directory
from bramblebeam.core.session.session import Session, StickyReplica
from bramblebeam.core.statement import InstanceStatus, RequestId

NEAR_LAG_MS = 250
"""A replica with this lag or less is asked to wait for the floor rather than passed over."""


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """What a read that is routed at `now` (seconds) asks of an instance.

    `staleness_ms`: oldest answer (milliseconds).
    """

    group: GroupId
    floor: Position
    staleness_ms: int
    now: float


def sticky_replica(
    directory: Directory, session: Session, need: ReadRequirement, excluded: Collection[InstanceId]
) -> InstanceStatus | None:
    """Return the replica the session reads from, if that one can still serve the read."""
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
    if is_usable(directory, status, need) and _is_near(directory, status, need):
        return status
    return None


def choose_replica(
    directory: Directory,
    session: Session,
    need: ReadRequirement,
    excluded: Collection[InstanceId],
    request: RequestId,
) -> InstanceStatus | None:
    """Return the replica to ask, or None where none can serve the read.

    A replica qualifies that satisfies the floor, or is so little behind that it soon will, unless a
    read waited for it in vain lately. Among those the rows' weights decide, and the session stays
    with the choice.
    """
    near = [
        status
        for status in _replicas(directory, need, weighted=True)
        if status.instance not in excluded and _is_near(directory, status, need)
    ]
    chosen = _weighted(directory, near, request)
    if chosen is not None:
        version = directory.configuration.version
        session.sticky[need.group] = StickyReplica(chosen.instance, version)
    return chosen


def choose_unweighted(
    directory: Directory, need: ReadRequirement, excluded: Collection[InstanceId]
) -> InstanceStatus | None:
    """Return a replica whose row gives it no reads, for want of any other instance."""
    for status in _replicas(directory, need, weighted=False):
        if status.instance not in excluded:
            return status
    return None


def _is_near(directory: Directory, status: InstanceStatus, need: ReadRequirement) -> bool:
    if status.applied >= need.floor:
        return True
    return status.lag_ms <= NEAR_LAG_MS and not directory.is_behind(status.instance, need.now)


def is_usable(directory: Directory, status: InstanceStatus, need: ReadRequirement) -> bool:
    """Whether the instance is a replica that may take reads, as far as the node knows."""
    if status.role is not Role.REPLICA or not status.reachable or status.leaving:
        return False
    if 0 <= need.staleness_ms < status.lag_ms:
        return False
    return directory.accepts_work(status.instance)


def _replicas(directory: Directory, need: ReadRequirement, weighted: bool) -> list[InstanceStatus]:
    """Return the usable replicas that the rows give reads to, or those that they give none."""
    found = []
    for member in directory.group_members(need.group):
        status = directory.status(member.instance)
        if status is None or not is_usable(directory, status, need):
            continue
        if bool(directory.read_weight(member.instance)) is weighted:
            found.append(status)
    return found


def _weighted(
    directory: Directory, candidates: list[InstanceStatus], request: RequestId
) -> InstanceStatus | None:
    """Draw by weight; the draw is a hash of the request's id, even over many requests."""
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
