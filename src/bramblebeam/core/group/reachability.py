"""What the other watchers say of a primary that this one does not reach."""

from bramblebeam.core.group.messages import ReachabilityReply, ReachabilityRequest
from bramblebeam.core.group.observation import Observations
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.machine import Send

REACHABLE_WITHIN = 0.3
"""A status not older than this (seconds) is a proof of reachability for another watcher."""


class Reachability:
    """Asks the other watchers, answers them, and remembers for a while what they said."""

    def __init__(
        self, group: GroupId, node: NodeId, view: Observations, timing: GroupTiming
    ) -> None:
        self._group = group
        self._node = node
        self._view = view
        self._timing = timing
        self._ask_at = float("-inf")
        self._reached: tuple[InstanceId | None, float] = (None, float("-inf"))

    def reached_by_others(self, now: float) -> bool:
        """Whether another watcher lately said that it reaches the present primary."""
        instance, at = self._reached
        return instance == self._view.primary and now - at < self._timing.reachability_valid

    def due_requests(self, watchers: tuple[NodeId, ...], now: float) -> list[Send]:
        """Return the questions that are due."""
        primary = self._view.primary_observation()
        if primary is None or now < self._ask_at:
            return []
        if primary.unreachable_for(now) < self._timing.reachability_after:
            return []
        self._ask_at = now + self._timing.reachability_interval
        question = ReachabilityRequest(self._group, primary.spec.instance)
        return [Send(watcher, question) for watcher in watchers if watcher != self._node]

    def reply(self, asker: NodeId, instance: InstanceId, now: float) -> Send:
        """Return the answer to another watcher."""
        member = self._view.members.get(instance)
        reached = member is not None and member.is_fresh(now, REACHABLE_WITHIN)
        return Send(asker, ReachabilityReply(self._group, instance, reached))

    def handle_reply(self, reply: ReachabilityReply, now: float) -> None:
        """Take another watcher's answer."""
        if reply.reachable:
            self._reached = (reply.instance, now)
