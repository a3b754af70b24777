"""Slot limits of one instance, derived from the configuration in force."""

from collections.abc import Mapping, Set
from dataclasses import dataclass, field

from bramblebeam.core.configuration.rows import LimitSpec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import GroupId, ServiceId


@dataclass(frozen=True, slots=True)
class ServiceLimit:
    """Limits of one service on one instance (in slots and queued statements)."""

    slots: int
    burst: int
    queue: int
    queue_wait: float
    """Maximum wait for a slot (seconds)."""
    deadline: float
    """Maximum duration of one statement (seconds)."""

    @property
    def max_slots(self) -> int:
        """Maximum number of slots the service may hold, including borrowed ones."""
        return self.slots + self.burst


@dataclass(frozen=True, slots=True)
class InstanceLimits:
    """Limits of every service of the instance's group."""

    services: Mapping[ServiceId, ServiceLimit] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Number of slots of the instance: the sum over its services."""
        return sum(limit.slots for limit in self.services.values())


def limits_of_groups(
    view: ConfigurationView, groups: Set[GroupId]
) -> dict[GroupId, InstanceLimits]:
    """Return the configured limits for the instances of each of `groups`."""
    limits: dict[GroupId, dict[ServiceId, ServiceLimit]] = {group: {} for group in groups}
    for (service, group), row in view.limits.items():
        if group in limits:
            limits[group][service] = _service_limit(row)
    return {group: InstanceLimits(services) for group, services in limits.items()}


def limits_of(view: ConfigurationView, group: GroupId) -> InstanceLimits:
    """Return the configured limits for each instance of `group`."""
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
