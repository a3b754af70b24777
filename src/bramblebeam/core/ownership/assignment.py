"""Tracks which instances a node should own as members and rows change."""

from collections.abc import Iterable, Mapping

from bramblebeam.core.configuration.rows import GroupSpec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import Address, GroupId, InstanceId, InstanceSpec, NodeId, ZoneId
from bramblebeam.core.ownership.rendezvous import instance_key, owner_of


class Assignment:
    """The instances of one zone, and those of them that this node should own (`wanted`).

    `owners`: the nodes of the zone that may own instances.
    """

    def __init__(self, node: NodeId, zone: ZoneId) -> None:
        self.node = node
        self.zone = zone
        self.instances: dict[InstanceId, InstanceSpec] = {}
        self.wanted: frozenset[InstanceId] = frozenset()
        self.owners: tuple[NodeId, ...] = ()
        self._groups: Mapping[GroupId, GroupSpec] | None = None
        self._owner_by_instance: dict[InstanceId, NodeId | None] = {}

    def configure(self, view: ConfigurationView) -> None:
        """Apply the rows in force; does nothing if the groups are unchanged."""
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
        self._update_wanted()

    def set_owners(self, owners: Iterable[NodeId]) -> None:
        """Set the nodes of the zone that may own instances."""
        owners = tuple(owners)
        if owners == self.owners:
            return
        self.owners = owners
        self._owner_by_instance.clear()
        self._update_wanted()

    def group_of(self, instance: InstanceId) -> GroupId | None:
        """Return the instance's group, or None if no row lists the instance in this zone."""
        spec = self.instances.get(instance)
        return spec.group if spec else None

    def _update_wanted(self) -> None:
        self._owner_by_instance = {
            instance: self._choose_owner(instance) for instance in self.instances
        }
        self.wanted = frozenset(
            instance for instance, owner in self._owner_by_instance.items() if owner == self.node
        )

    def _choose_owner(self, instance: InstanceId) -> NodeId | None:
        if instance in self._owner_by_instance:
            return self._owner_by_instance[instance]
        return owner_of(instance_key(instance), self.owners)
