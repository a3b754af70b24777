"""When each member of a group was last seen not to be paused for a change of primary.

A change may ignore a member that it cannot reach and whose registration has lapsed. That member may
still confirm leases to a node that reaches it. So its confirmation counts only while every other
member, and with them the one to be promoted, was seen unpaused recently. Times are seconds of the
monotonic clock.
"""

from collections.abc import Collection

from bramblebeam.core.identity import InstanceId

NEVER = float("-inf")


class MemberSightings:
    """The latest time at which each member was surely not paused, or had ended."""

    def __init__(self) -> None:
        self._seen_at: dict[InstanceId, float] = {}

    def record(self, instance: InstanceId, at: float) -> None:
        """Record that a member was not paused at some time after `at`."""
        self._seen_at[instance] = max(at, self._seen_at.get(instance, NEVER))

    def keep_only(self, members: Collection[InstanceId]) -> None:
        """Forget databases that left the group."""
        for instance in self._seen_at.keys() - set(members):
            del self._seen_at[instance]

    def unseen(self, members: Collection[InstanceId], since: float) -> list[InstanceId]:
        """Return those of `members` that were not seen after `since`."""
        return [member for member in members if self._seen_at.get(member, NEVER) < since]
