"""Which changes of an instance's status its owner tells the edges at once."""

from bramblebeam.core.role import Role
from bramblebeam.core.routing.choice import NEAR_LAG_MS
from bramblebeam.core.statement import InstanceStatus


def must_notify(status: InstanceStatus, before: InstanceStatus) -> bool:
    """Whether the edges must hear of the change now; the rest travels on answers.

    A replica that has caught up is news because it gets no reads, and so gives no answers, for as
    long as the edges believe that it is behind.
    """
    if _standing(status) != _standing(before):
        return True
    return status.role is Role.REPLICA and status.lag_ms <= NEAR_LAG_MS < before.lag_ms


def _standing(status: InstanceStatus) -> tuple[int, Role, bool, bool]:
    return (status.term, status.role, status.leaving, status.reachable)
