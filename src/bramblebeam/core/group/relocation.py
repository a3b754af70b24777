"""Decides whether a working primary should move: its server leaves, or no node serves its zone.

A leaving primary gets no new work, and statements for an instance go through a node in the
instance's zone. In both cases no caller can write although the primary works, so the primary moves
by a planned change.
"""

from dataclasses import dataclass

from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.group.observation import MemberObservation, Observations
from bramblebeam.core.identity import InstanceId, NodeId, ZoneId
from bramblebeam.core.membership.view import MembersView


@dataclass(frozen=True, slots=True)
class RelocationContext:
    """A node's views of nodes and configuration, as needed to judge a primary's location."""

    node: NodeId
    members: MembersView
    configuration: ConfigurationView

    def is_served(self, zone: ZoneId) -> bool:
        """Whether the zone is reachable and has a node that can own its instances."""
        return bool(self.members.owners.get(zone)) and zone not in self.members.unreachable

    def is_drained(self, instance: InstanceId) -> bool:
        """Whether the instance is marked for draining in its configuration row."""
        row = self.configuration.weights.get(instance)
        return row is not None and row.drain

    def is_first_reachable(self, watchers: tuple[NodeId, ...]) -> bool:
        """Whether this node is the first reachable watcher of the group."""
        for watcher in watchers:
            if watcher == self.node:
                return True
            member = self.members.members.get(watcher)
            if member is not None and self.is_served(member.spec.zone):
                return False
        return False


UNSERVED_GRACE_SECONDS = 3.0
"""How long a zone must have no nodes before its primary moves (seconds).

A node that has just joined does not know all members yet. An unreachable zone needs no grace
period: that verdict already took several unanswered queries.
"""

RETRY_INTERVAL = 2.0
"""Shortest time between two attempts to move the primary of a group (seconds)."""


class Relocation:
    """Decides when this node moves the primary of one group."""

    def __init__(self) -> None:
        self._unserved_since: float | None = None
        self._attempted_at = float("-inf")

    def target(
        self, view: Observations, context: RelocationContext, now: float
    ) -> InstanceId | None:
        """Return where to move the primary now, or None. A returned member counts as an attempt."""
        primary = view.primary_observation()
        if primary is None or context.is_served(primary.spec.zone):
            self._unserved_since = None
        elif self._unserved_since is None:
            self._unserved_since = now
        if now - self._attempted_at < RETRY_INTERVAL or not self._is_grace_over(
            primary, context, now
        ):
            return None
        target = relocation_target(view, context)
        if target is not None:
            self._attempted_at = now
        return target

    def _is_grace_over(
        self, primary: MemberObservation | None, context: RelocationContext, now: float
    ) -> bool:
        if self._unserved_since is None or primary is None or not _is_eligible(primary, context):
            return True
        if primary.spec.zone in context.members.unreachable:
            return True
        return now - self._unserved_since >= UNSERVED_GRACE_SECONDS


def relocation_target(view: Observations, context: RelocationContext) -> InstanceId | None:
    """Return the member that the primary should move to, or None if it should stay.

    A node that reaches the zones of less than a majority of the members is itself cut off, and
    moves nothing.
    """
    primary = view.primary_observation()
    if primary is None or _may_stay(primary, context):
        return None
    served = [member for member in view.members.values() if context.is_served(member.spec.zone)]
    if len(served) < view.majority:
        return None
    candidates = [
        member for member in served if member is not primary and _is_eligible(member, context)
    ]
    best = max(candidates, key=_preference, default=None)
    return None if best is None else best.spec.instance


def _may_stay(primary: MemberObservation, context: RelocationContext) -> bool:
    return _is_eligible(primary, context) and context.is_served(primary.spec.zone)


def _is_eligible(member: MemberObservation, context: RelocationContext) -> bool:
    status = member.status
    if status is None or context.is_drained(member.spec.instance):
        return False
    return not status.leaving


def _preference(member: MemberObservation) -> tuple[int, int, int, str]:
    status = member.status
    assert status is not None
    return (*status.last, -status.lag_ms, member.spec.instance)
