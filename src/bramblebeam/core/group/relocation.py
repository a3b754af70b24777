"""Whether a working primary should move: its server leaves, or its zone has no node to serve it.

A primary that leaves gets no new work, and the statements for an instance go through a node of the
instance's own zone: in both cases nobody could write, though the primary works. The primary then
moves by a planned change.
"""

from dataclasses import dataclass

from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.group.observation import MemberObservation, Observations
from bramblebeam.core.identity import InstanceId, NodeId, ZoneId
from bramblebeam.core.membership.view import MembersView


@dataclass(frozen=True, slots=True)
class RelocationContext:
    """What the views of a node tell about the places and rows of a group's members."""

    node: NodeId
    members: MembersView
    configuration: ConfigurationView

    def is_served(self, zone: ZoneId) -> bool:
        """Whether the zone has a node that could own its instances and can be reached."""
        return bool(self.members.owners.get(zone)) and zone not in self.members.unreachable

    def is_drained(self, instance: InstanceId) -> bool:
        """Whether operators drain the instance by its row."""
        row = self.configuration.weights.get(instance)
        return row is not None and row.drain

    def is_first_reachable(self, watchers: tuple[NodeId, ...]) -> bool:
        """Whether this node is the first of the group's watchers that can be reached."""
        for watcher in watchers:
            if watcher == self.node:
                return True
            member = self.members.members.get(watcher)
            if member is not None and self.is_served(member.spec.zone):
                return False
        return False


UNSERVED_PATIENCE = 3.0
"""How long a zone must lack nodes before its primary moves (seconds).

A node that has just joined does not know all members yet. A zone that was found to be out of reach
needs no more time: that took several questions without an answer.
"""

RETRY_INTERVAL = 2.0
"""How long a group is left alone after an attempt to move its primary (seconds)."""


class Relocation:
    """When one group's primary is to be moved by this node."""

    def __init__(self) -> None:
        self._unserved_since: float | None = None
        self._acted_at = float("-inf")

    def target(
        self, view: Observations, around: RelocationContext, now: float
    ) -> InstanceId | None:
        """Return where the primary should move now, or None. An answer counts as an attempt."""
        primary = view.primary_observation()
        if primary is None or around.is_served(primary.spec.zone):
            self._unserved_since = None
        elif self._unserved_since is None:
            self._unserved_since = now
        if now - self._acted_at < RETRY_INTERVAL or not self._patient(primary, around, now):
            return None
        target = relocation_target(view, around)
        if target is not None:
            self._acted_at = now
        return target

    def _patient(
        self, primary: MemberObservation | None, around: RelocationContext, now: float
    ) -> bool:
        if self._unserved_since is None or primary is None or not _fit(primary, around):
            return True
        if primary.spec.zone in around.members.unreachable:
            return True
        return now - self._unserved_since >= UNSERVED_PATIENCE


def relocation_target(view: Observations, around: RelocationContext) -> InstanceId | None:
    """Return the member that the primary should move to, or None if it should stay.

    A node that sees less than a majority of the members' zones moves nothing: it is itself cut off.
    """
    primary = view.primary_observation()
    if primary is None or _may_stay(primary, around):
        return None
    served = [member for member in view.members.values() if around.is_served(member.spec.zone)]
    if len(served) < view.majority:
        return None
    candidates = [member for member in served if member is not primary and _fit(member, around)]
    best = max(candidates, key=_preference, default=None)
    return None if best is None else best.spec.instance


def _may_stay(primary: MemberObservation, around: RelocationContext) -> bool:
    return _fit(primary, around) and around.is_served(primary.spec.zone)


def _fit(member: MemberObservation, around: RelocationContext) -> bool:
    status = member.status
    if status is None or around.is_drained(member.spec.instance):
        return False
    return not status.leaving


def _preference(member: MemberObservation) -> tuple[int, int, int, str]:
    status = member.status
    assert status is not None
    return (*status.last, -status.lag_ms, member.spec.instance)
