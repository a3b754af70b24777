"""Choice of the member to promote."""

from collections.abc import Mapping, Sequence

from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import InstanceId


def majority_of(count: int) -> int:
    """Return the smallest number of members that is a majority of `count`."""
    return count // 2 + 1


def choose_primary(
    promises: Mapping[InstanceId, MemberStatus],
    order: Sequence[InstanceId],
    preferred: InstanceId | None,
) -> InstanceId:
    """Return the member to promote, given the statuses received with a majority's promises.

    Only a member with the highest last position may be chosen: it has every acknowledged write.
    Among these, the preferred member ranks first and leaving members last; then the highest applied
    position decides, then the configured order. Raises ValueError if there are no promises.
    """
    if not promises:
        raise ValueError("no member has promised")
    highest = max(status.last for status in promises.values())
    candidates = [instance for instance, status in promises.items() if status.last == highest]

    def key(instance: InstanceId) -> tuple[bool, bool, int, int, int]:
        status = promises[instance]
        applied = status.applied
        return (
            status.leaving and instance != preferred,
            instance != preferred,
            -applied.term,
            -applied.offset,
            order.index(instance),
        )

    return min(candidates, key=key)
