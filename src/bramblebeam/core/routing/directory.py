"""A node's knowledge of groups, of their members' statuses and of the nodes that own them."""

from collections.abc import Iterable
from dataclasses import replace

from bramblebeam.core.configuration.rows import GroupSpec, LimitSpec, MemberSpec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import (
    GroupId,
    InstanceId,
    NodeId,
    Position,
    ServiceId,
    ZoneId,
)
from bramblebeam.core.membership.view import MemberState, MembersView
from bramblebeam.core.ownership.rendezvous import owner_of
from bramblebeam.core.role import Role
from bramblebeam.core.statement import InstanceStatus

DEFAULT_READ_WEIGHT = 100


BEHIND_SECONDS = 2.0
"""For how long a replica counts as behind after a read timed out waiting for it (seconds)."""


class Directory:
    """The latest views and statuses, and the highest term observed of each group.

    Terms are never discarded: a reply at a lower term must not be accepted as a primary's.
    """

    def __init__(self) -> None:
        self.configuration = ConfigurationView()
        self.members = MembersView()
        self._statuses: dict[InstanceId, InstanceStatus] = {}
        self._terms: dict[GroupId, int] = {}
        self._primaries: dict[GroupId, InstanceId] = {}
        self._zones: dict[InstanceId, ZoneId] = {}
        self._owners: dict[InstanceId, NodeId | None] = {}
        self._limits: dict[tuple[ServiceId, GroupId], LimitSpec] = {}
        self._behind_until: dict[InstanceId, float] = {}

    def configure(self, view: ConfigurationView) -> None:
        """Apply the configuration; versions older than the current one are ignored."""
        if view.version < self.configuration.version:
            return
        before, self.configuration = self.configuration, view
        self._limits.clear()
        if view.groups is before.groups:
            return
        self._zones = {
            member.instance: member.zone
            for group in view.groups.values()
            for member in group.members
        }
        self._owners.clear()

    def set_members(self, view: MembersView) -> None:
        """Replace the view of the cluster's members."""
        self.members = view
        self._owners.clear()

    def observe(self, status: InstanceStatus) -> bool:
        """Apply a status; return whether the instance's term, role or availability changed."""
        known = self._statuses.get(status.instance)
        if known is not None and _is_older(status, known):
            return False
        self._statuses[status.instance] = status
        term_rose = self.observe_term(status.group, status.term)
        if status.role is Role.PRIMARY and status.term == self.highest_term(status.group):
            self._primaries[status.group] = status.instance
        return term_rose or known is None or _availability(known) != _availability(status)

    def record_applied(self, instance: InstanceId, position: Position) -> None:
        """Record a lower bound of the applied position, from the instance's reply to a read."""
        known = self._statuses.get(instance)
        if known is not None and position > known.applied:
            self._statuses[instance] = replace(known, applied=position)

    def record_floor_timeout(self, instance: InstanceId, now: float) -> None:
        """Record that a read timed out waiting for the instance to catch up (`now` in seconds).

        Lag does not show this: between writes a replica has nothing left to apply.
        """
        self._behind_until[instance] = now + BEHIND_SECONDS

    def is_behind(self, instance: InstanceId, now: float) -> bool:
        """Whether a read recently timed out waiting for the instance to catch up."""
        until = self._behind_until.get(instance)
        if until is None:
            return False
        if now < until:
            return True
        del self._behind_until[instance]
        return False

    def observe_term(self, group: GroupId, term: int) -> bool:
        """Record a term of the group; return whether it is the highest so far."""
        if term <= self._terms.get(group, 0):
            return False
        self._terms[group] = term
        self._primaries.pop(group, None)
        return True

    def forget_status(self, instance: InstanceId) -> None:
        """Discard an instance's status because its owner could not be queried."""
        self._statuses.pop(instance, None)

    def group(self, group: GroupId) -> GroupSpec | None:
        """Return the group's configuration, or None."""
        return self.configuration.groups.get(group)

    def group_members(self, group: GroupId) -> tuple[MemberSpec, ...]:
        """Return the group's members; none for an unknown group."""
        spec = self.configuration.groups.get(group)
        return spec.members if spec is not None else ()

    def highest_term(self, group: GroupId) -> int:
        """Return the highest observed term of the group, or 0."""
        return self._terms.get(group, 0)

    def status(self, instance: InstanceId) -> InstanceStatus | None:
        """Return the instance's last known status, or None."""
        return self._statuses.get(instance)

    def primary(self, group: GroupId) -> InstanceStatus | None:
        """Return the status of the primary at the highest term if it is reachable, or None."""
        instance = self._primaries.get(group)
        if instance is None:
            return None
        status = self._statuses.get(instance)
        if status is None or not status.reachable or instance not in self._zones:
            return None
        if status.role is not Role.PRIMARY or status.term < self.highest_term(group):
            return None
        return status

    def owner(self, instance: InstanceId) -> NodeId | None:
        """Return the node that owns the instance according to the members' view, or None."""
        if instance in self._owners:
            return self._owners[instance]
        candidates: Iterable[NodeId] = ()
        zone = self._zones.get(instance)
        if zone is not None:
            candidates = self.members.owners.get(zone, ())
        owner = owner_of(f"instance/{instance}", candidates)
        self._owners[instance] = owner
        return owner

    def is_dead(self, node: NodeId) -> bool:
        """Whether the node is dead according to the members' view."""
        member = self.members.members.get(node)
        return member is not None and member.state is MemberState.DEAD

    def read_weight(self, instance: InstanceId) -> int:
        """Return the instance's configured read weight, or the default."""
        row = self.configuration.weights.get(instance)
        return DEFAULT_READ_WEIGHT if row is None else row.read_weight

    def accepts_work(self, instance: InstanceId) -> bool:
        """Whether the instance is neither leaving nor configured to drain."""
        row = self.configuration.weights.get(instance)
        if row is not None and row.drain:
            return False
        status = self._statuses.get(instance)
        return status is None or not status.leaving

    def limit(self, service: ServiceId, group: GroupId) -> LimitSpec:
        """Return the service's limits on the group; the defaults if none are configured."""
        key = (service, group)
        known = self._limits.get(key)
        if known is None:
            row = self.configuration.limits.get(key)
            known = row or LimitSpec(service=service, group=group)
            if len(self._limits) < MAXIMUM_CACHED_LIMITS:
                self._limits[key] = known
        return known


MAXIMUM_CACHED_LIMITS = 10_000


def _is_older(status: InstanceStatus, known: InstanceStatus) -> bool:
    """Whether `status` is older than the known one, although it arrived later.

    A former owner's final report that the instance is unreachable does not apply to the current
    owner. Epochs increase until the back end restarts.
    """
    if status.epoch != known.epoch or status.owner != known.owner:
        is_final_report = not status.reachable and status.epoch < known.epoch
        return is_final_report or status.term < known.term
    return (status.term, status.applied) < (known.term, known.applied)


def _availability(status: InstanceStatus) -> tuple[int, Role, bool, bool]:
    return (status.term, status.role, status.leaving, status.reachable)
