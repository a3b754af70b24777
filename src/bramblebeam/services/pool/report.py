"""The pool status shown to operators, and the counters of reads served."""

from collections.abc import Iterable

from bramblebeam.core.administration.messages import PoolReport, PoolStatus, ServiceSlots
from bramblebeam.core.pool.slots import SlotMachine
from bramblebeam.core.role import Role
from bramblebeam.core.statement import (
    ExecuteReply,
    ExecuteRequest,
    InstanceStatus,
    StatementKind,
)
from bramblebeam.metrics import PRIMARY_READS, REPLICA_READS
from bramblebeam.services.pool.instance import Instance


def pool_status(instances: Iterable[Instance]) -> PoolStatus:
    """Return the slot usage of each owned instance."""
    owned = [
        _report(instance, instance.slots.machine)
        for instance in instances
        if instance.slots is not None
    ]
    return PoolStatus(tuple(owned))


def _report(instance: Instance, machine: SlotMachine) -> PoolReport:
    services = _services(machine)
    return PoolReport(
        instance.spec.instance,
        instance.spec.group,
        machine.total,
        machine.in_use,
        sum(service.queued for service in services),
        services,
    )


def _services(machine: SlotMachine) -> tuple[ServiceSlots, ...]:
    return tuple(
        ServiceSlots(
            service,
            limit.slots,
            machine.used_by(service),
            max(0, machine.used_by(service) - limit.slots),
            machine.waiting_of(service),
        )
        for service, limit in sorted(machine.limits.services.items())
    )


def count_read(request: ExecuteRequest, reply: ExecuteReply, status: InstanceStatus | None) -> None:
    """Count a read by its back end's role, except in a transaction, where there was no choice."""
    if request.kind is not StatementKind.READ or request.transaction or reply.refusal is not None:
        return
    if status is not None:
        served = REPLICA_READS if status.role is Role.REPLICA else PRIMARY_READS
        served.inc()
