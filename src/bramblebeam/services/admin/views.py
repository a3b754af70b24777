"""The state that the admin service keeps from messages published by other services."""

from dataclasses import dataclass, field

from bramblebeam.core.configuration.rows import GroupSpec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.group.messages import GroupChanged
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.ownership.rendezvous import owner_of
from bramblebeam.core.statement import InstanceStatus


@dataclass
class Views:
    """The latest views and statuses. Only the admin service's own task changes them."""

    members: MembersView = field(default_factory=MembersView)
    configuration: ConfigurationView = field(default_factory=ConfigurationView)
    statuses: dict[InstanceId, InstanceStatus] = field(default_factory=dict)
    groups: dict[GroupId, GroupChanged] = field(default_factory=dict)

    def owned_statuses(self, node: NodeId) -> dict[InstanceId, InstanceStatus]:
        """Return the statuses of the instances that the node owns, by the current members."""
        return {
            instance: status
            for instance, status in self.statuses.items()
            if self._owner_of(status) == node
        }

    def _owner_of(self, status: InstanceStatus) -> NodeId | None:
        group = self.configuration.groups.get(status.group)
        return self.owners_of(group).get(status.instance) if group else None

    def group_of(self, instance: InstanceId) -> GroupId | None:
        """Return the group that the instance is a member of, or None."""
        for name, group in self.configuration.groups.items():
            if any(member.instance == instance for member in group.members):
                return name
        return None

    def owners_of(self, group: GroupSpec) -> dict[InstanceId, NodeId | None]:
        """Return the owner of each member of the group; None if its zone has no node."""
        return {
            member.instance: owner_of(
                f"instance/{member.instance}", self.members.owners.get(member.zone, ())
            )
            for member in group.members
        }
