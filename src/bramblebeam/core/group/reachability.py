"""Queries to other watchers about a primary that this watcher does not reach."""

from bramblebeam.core.group.messages import ReachabilityReply, ReachabilityRequest
from bramblebeam.core.group.observation import Observations
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.machine import Send

REACHABLE_WITHIN = 0.3
"""Greatest age of a status that proves reachability to another watcher (seconds)."""


class Reachability:
    """Queries the other watchers, answers their queries, and keeps their replies for a while."""

    def __init__(
        self, group: GroupId, node: NodeId, view: Observations, timing: GroupTiming
    ) -> None:
        self._group = group
        self._node = node
        self._view = view
        self._timing = timing
        self._next_request_at = float("-inf")
        self._reached: tuple[InstanceId | None, float] = (None, float("-inf"))

    def reached_by_others(self, now: float) -> bool:
        """Whether another watcher recently reported that it reaches the current primary."""
        instance, at = self._reached
        return instance == self._view.primary and now - at < self._timing.reachability_valid

    def due_requests(self, watchers: tuple[NodeId, ...], now: float) -> list[Send]:
        """Return the requests that are due now."""
        primary = self._view.primary_observation()
        if primary is None or now < self._next_request_at:
            return []
        if primary.unreachable_for(now) < self._timing.reachability_after:
            return []
        self._next_request_at = now + self._timing.reachability_interval
        request = ReachabilityRequest(self._group, primary.spec.instance)
        return [Send(watcher, request) for watcher in watchers if watcher != self._node]

    def reply(self, requester: NodeId, instance: InstanceId, now: float) -> Send:
        """Return the reply to another watcher's request."""
        member = self._view.members.get(instance)
        reached = member is not None and member.is_fresh(now, REACHABLE_WITHIN)
        return Send(requester, ReachabilityReply(self._group, instance, reached))

    def handle_reply(self, reply: ReachabilityReply, now: float) -> None:
        """Record another watcher's reply."""
        if reply.reachable:
            self._reached = (reply.instance, now)
