"""Decides which status changes of an instance its owner sends to the edges immediately."""

from bramblebeam.core.role import Role
from bramblebeam.core.routing.choice import NEAR_LAG_MS
from bramblebeam.core.statement import InstanceStatus


def must_notify(status: InstanceStatus, before: InstanceStatus) -> bool:
    """Return whether the edges must be notified now; other changes travel on answers.

    A replica that has caught up must be announced: as long as the edges believe that it is behind,
    it gets no reads, and so has no answers to carry its status.
    """
    if _urgent_fields(status) != _urgent_fields(before):
        return True
    return status.role is Role.REPLICA and status.lag_ms <= NEAR_LAG_MS < before.lag_ms


def _urgent_fields(status: InstanceStatus) -> tuple[int, Role, bool, bool]:
    return (status.term, status.role, status.leaving, status.reachable)
