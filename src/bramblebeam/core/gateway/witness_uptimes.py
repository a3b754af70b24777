"""Tracks how long group members have surely been running, to judge whose status renews a lease.

A change of primary pauses every member that it reaches. A member that restarts has forgotten the
pause, so that its report of not being paused proves nothing: the change may still be about to be
ordered, and the restarted member may even be the one to be promoted. Either of two facts shows that
no change is pending for which the member was paused before its start.

- The group's lease in the store recorded no pending change at some time after the start. Whoever
  orders a change records it there before any member is paused.
- The member has been running for longer than any change takes, and the lease, if it was read,
  recorded no pending change.

A connection proves uptime: a member that replies on it has run since the connection was opened.
Times are seconds of the monotonic clock.
"""

from collections.abc import Collection
from typing import NamedTuple

from bramblebeam.core.failover.change_lookup import ChangeLookup, PendingChange
from bramblebeam.core.gateway.leader_lease import WAIT_SECONDS
from bramblebeam.core.gateway.leader_promise import PROMISE_SECONDS
from bramblebeam.core.identity import InstanceId

SETTLED_SECONDS = PROMISE_SECONDS - WAIT_SECONDS
"""Uptime that rules out a pause, forgotten at the start, for a change that may yet take effect: at
the end of its wait the change queried the member once more."""
MAXIMUM_INTERVALS = 4
"""Uptime intervals remembered per member: later replies may show that they are of one run."""
NEVER = float("-inf")


class UptimeInterval(NamedTuple):
    """A member ran from `since` to `until` without interruption."""

    since: float
    until: float

    def overlaps(self, other: "UptimeInterval") -> bool:
        """Whether both belong to one run, as they overlap in time."""
        return self.since < other.until and other.since < self.until

    def joined(self, others: Collection["UptimeInterval"]) -> "UptimeInterval":
        """Return the interval that spans this one and those that overlap it."""
        intervals = [self, *others]
        return UptimeInterval(
            min(interval.since for interval in intervals),
            max(interval.until for interval in intervals),
        )


class WitnessUptimes:
    """Uptime intervals of members, and what the group's lease recorded of pending changes."""

    def __init__(self) -> None:
        self._intervals: dict[InstanceId, list[UptimeInterval]] = {}
        self._none_pending_at = NEVER
        self._looked_up_at = NEVER
        self._is_pending = False

    def keep_only(self, members: Collection[InstanceId]) -> None:
        """Forget databases that left the group."""
        for instance in self._intervals.keys() - set(members):
            del self._intervals[instance]

    def record_reply(self, instance: InstanceId, opened_at: float, queried_at: float) -> None:
        """Record a reply to a query on a connection that was open at `opened_at`.

        Two connections that were in use at the same time lead to the same run of the member.
        """
        intervals = self._intervals.get(instance, [])
        new = UptimeInterval(opened_at, queried_at)
        same = [known for known in intervals if known.overlaps(new) or known.since == opened_at]
        others = [known for known in intervals if known not in same]
        self._intervals[instance] = sorted([*others, new.joined(same)])[-MAXIMUM_INTERVALS:]

    def record_lookup(self, lookup: ChangeLookup) -> None:
        """Record what the group's lease showed of pending changes."""
        if lookup.requested_at >= self._looked_up_at:
            self._looked_up_at = lookup.requested_at
            self._is_pending = lookup.found is PendingChange.PENDING
        if lookup.found is PendingChange.NONE:
            self._none_pending_at = max(lookup.requested_at, self._none_pending_at)

    def none_pending_since(self, time: float) -> bool:
        """Whether the lease recorded no pending change at some time after `time`."""
        return self._none_pending_at >= time

    def has_outlasted_changes(
        self, instance: InstanceId, opened_at: float, queried_at: float
    ) -> bool:
        """Whether a member surely has not forgotten, by a restart, a pause for a pending change.

        `opened_at`: when the connection was opened on which it replied to a query at `queried_at`.
        """
        since = self._since(instance, opened_at)
        if since <= self._none_pending_at:
            return True
        return not self._is_pending and queried_at - since >= SETTLED_SECONDS

    def _since(self, instance: InstanceId, opened_at: float) -> float:
        """Return the earliest time since which the peer of a connection is known to have run."""
        intervals = self._intervals.get(instance, [])
        known = (found.since for found in intervals if found.since <= opened_at <= found.until)
        return min(known, default=opened_at)
