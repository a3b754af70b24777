"""Determines the watchers of a group: the nodes that own its members' instances."""

from collections.abc import Mapping

from bramblebeam.core.configuration.rows import GroupSpec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, ZoneId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.ownership.rendezvous import instance_key, owner_of, ranked_owners


class WatcherTable:
    """Derives watchers from the membership view and the configuration in force.

    Only instances in the node's own zone can make it a watcher. So only these are checked on an
    update, and only if the owners of that zone or the rows of the groups changed.
    """

    def __init__(self, node: NodeId, zone: ZoneId) -> None:
        self._node = node
        self._zone = zone
        self.members = MembersView()
        self.configuration = ConfigurationView()
        self._own_owners: tuple[NodeId, ...] | None = None
        self._own_rows: Mapping[GroupId, GroupSpec] | None = None
        self._own_groups: tuple[GroupId, ...] = ()

    def watched(self) -> dict[GroupId, tuple[NodeId, ...]]:
        """Return the groups that this node watches, each with all its watchers in order of rank."""
        return {group: self.watchers_of(group) for group in self._groups_with_own_instance()}

    def watchers_of(self, group: GroupId) -> tuple[NodeId, ...]:
        """Return the watchers of any group in order of rank; empty for an unknown group."""
        spec = self.configuration.groups.get(group)
        if spec is None:
            return ()
        owners = {self._owner(member.instance, member.zone) for member in spec.members}
        present = [owner for owner in owners if owner is not None]
        return tuple(ranked_owners(f"group/{group}", present))

    def _groups_with_own_instance(self) -> tuple[GroupId, ...]:
        owners = self.members.owners.get(self._zone, ())
        rows = self.configuration.groups
        if owners != self._own_owners or self._own_rows is not rows:
            self._own_owners = owners
            self._own_rows = rows
            self._own_groups = tuple(group for group, spec in rows.items() if self._owns_one(spec))
        return self._own_groups

    def _owns_one(self, spec: GroupSpec) -> bool:
        return any(
            self._owner(member.instance, member.zone) == self._node
            for member in spec.members
            if member.zone == self._zone
        )

    def _owner(self, instance: InstanceId, zone: ZoneId) -> NodeId | None:
        return owner_of(instance_key(instance), self.members.owners.get(zone, ()))
