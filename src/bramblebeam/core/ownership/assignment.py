"""Which instances a node should own, kept up to date as members and rows change."""

from collections.abc import Iterable, Mapping

from bramblebeam.core.configuration.rows import GroupSpec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import Address, GroupId, InstanceId, InstanceSpec, NodeId, ZoneId
from bramblebeam.core.ownership.rendezvous import instance_key, owner_of


class Assignment:
    """The instances of one zone and which of them this node should own."""

    def __init__(self, node: NodeId, zone: ZoneId) -> None:
        self.node = node
        self.zone = zone
        self.instances: dict[InstanceId, InstanceSpec] = {}
        self.wanted: frozenset[InstanceId] = frozenset()
        self.owners: tuple[NodeId, ...] = ()
        self._groups: Mapping[GroupId, GroupSpec] | None = None
        self._chosen: dict[InstanceId, NodeId | None] = {}

    def configure(self, view: ConfigurationView) -> None:
        """Take the rows in force; nothing is to be done while the groups' rows are the same."""
        if view.groups is self._groups:
            return
        self._groups = view.groups
        self.instances = {
            member.instance: InstanceSpec(
                member.instance, group, member.zone, Address(member.host, member.port)
            )
            for group, spec in view.groups.items()
            for member in spec.members
            if member.zone == self.zone
        }
        self._choose()

    def set_owners(self, owners: Iterable[NodeId]) -> None:
        """Take the nodes of the zone that may own something."""
        owners = tuple(owners)
        if owners == self.owners:
            return
        self.owners = owners
        self._chosen.clear()
        self._choose()

    def group_of(self, instance: InstanceId) -> GroupId | None:
        """Return the instance's group, or None where no row names the instance in this zone."""
        spec = self.instances.get(instance)
        return spec.group if spec else None

    def _choose(self) -> None:
        self._chosen = {instance: self._owner(instance) for instance in self.instances}
        self.wanted = frozenset(
            instance for instance, owner in self._chosen.items() if owner == self.node
        )

    def _owner(self, instance: InstanceId) -> NodeId | None:
        if instance in self._chosen:
            return self._chosen[instance]
        return owner_of(instance_key(instance), self.owners)
