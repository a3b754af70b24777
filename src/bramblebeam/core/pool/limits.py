"""The slots of one instance, as the rows in force give them."""

from collections.abc import Mapping, Set
from dataclasses import dataclass, field

from bramblebeam.core.configuration.rows import LimitSpec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import GroupId, ServiceId


@dataclass(frozen=True, slots=True)
class ServiceLimit:
    """What one service may use of one instance (counts of slots and of waiting statements)."""

    slots: int
    burst: int
    queue: int
    queue_wait: float
    """Longest wait for a slot (seconds)."""
    deadline: float
    """Longest time of one statement (seconds)."""

    @property
    def max_slots(self) -> int:
        """The most slots the service may hold, borrowed ones included."""
        return self.slots + self.burst


@dataclass(frozen=True, slots=True)
class InstanceLimits:
    """The limits of every service of the instance's group."""

    services: Mapping[ServiceId, ServiceLimit] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Slots of the instance: the sum over its services."""
        return sum(limit.slots for limit in self.services.values())


def limits_of_groups(
    view: ConfigurationView, groups: Set[GroupId]
) -> dict[GroupId, InstanceLimits]:
    """Return the limits that the rows in force give to the instances of each of `groups`."""
    found: dict[GroupId, dict[ServiceId, ServiceLimit]] = {group: {} for group in groups}
    for (service, group), row in view.limits.items():
        if group in found:
            found[group][service] = _service_limit(row)
    return {group: InstanceLimits(services) for group, services in found.items()}


def limits_of(view: ConfigurationView, group: GroupId) -> InstanceLimits:
    """Return the limits that the rows in force give to each instance of `group`."""
    return InstanceLimits(
        {
            service: _service_limit(row)
            for (service, row_group), row in view.limits.items()
            if row_group == group
        }
    )


def _service_limit(row: LimitSpec) -> ServiceLimit:
    return ServiceLimit(
        slots=row.slots,
        burst=row.burst,
        queue=row.queue,
        queue_wait=row.queue_wait_ms / 1000,
        deadline=row.deadline_ms / 1000,
    )
