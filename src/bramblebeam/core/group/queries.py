"""Schedule of a watcher's status queries to the members."""

from bramblebeam.core.group.events import QueryStatus
from bramblebeam.core.group.observation import MemberObservation, Observations
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import InstanceId

ALERT_SECONDS = 1.0
"""How long a watcher stays on alert after the last sign of trouble."""


class QuerySchedule:
    """Queries one member at a time normally, and all members in rounds while on alert.

    The cost of normal operation thus does not grow with the number of members. The watchers after
    the first can query rarely, since any member reports whether it has contact with the primary.
    """

    def __init__(self, view: Observations, timing: GroupTiming) -> None:
        self._view = view
        self._timing = timing
        self._next_at = float("-inf")
        self._turn = 0
        self._alert_since: float | None = None
        self._alert_until = float("-inf")
        self.interval = timing.other_interval

    @property
    def next_at(self) -> float:
        """Time of the next scheduled query (seconds)."""
        return self._next_at

    def start_alert(self, now: float) -> None:
        """Enter or prolong the alert state."""
        if now >= self._alert_until:
            self._alert_since = now
            self._next_at = now
        self._alert_until = now + ALERT_SECONDS

    def due_queries(self, now: float) -> list[QueryStatus]:
        """Return the queries scheduled for now."""
        if now < self._next_at:
            return []
        alert = now < self._alert_until
        self._next_at = now + (self._alert_interval(now) if alert else self.interval)
        if not self._view.members:
            return []
        members = list(self._view.members.values()) if alert else [self._next_member()]
        return [query for member in members for query in self._query(member, now)]

    def query_now(self, instances: list[InstanceId], now: float) -> list[QueryStatus]:
        """Return queries to these members, regardless of the schedule."""
        members = [self._view.members[name] for name in instances if name in self._view.members]
        return [query for member in members for query in self._query(member, now)]

    def clear_pending(self, instance: InstanceId) -> None:
        """Mark the query to this member as answered, which allows the next one."""
        member = self._view.members.get(instance)
        if member is not None:
            member.query_pending_until = float("-inf")

    def _next_member(self) -> MemberObservation:
        """Return the member to query when not on alert: the primary and the others by turns."""
        self._turn += 1
        primary = self._view.primary_observation()
        if primary is not None and self._turn % 2:
            return primary
        members = list(self._view.members.values())
        return members[self._turn // 2 % len(members)]

    def _alert_interval(self, now: float) -> float:
        since = now if self._alert_since is None else self._alert_since
        is_long = now - since > self._timing.long_alert_after
        return self._timing.long_alert_interval if is_long else self._timing.alert_interval

    def _query(self, member: MemberObservation, now: float) -> list[QueryStatus]:
        if now < member.query_pending_until:
            return []
        member.query_pending_until = now + 2 * self._timing.query_timeout
        return [QueryStatus(member.spec.instance, now, self._timing.query_timeout)]
