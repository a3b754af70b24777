"""A statement as the decisions under load see it."""

from typing import NamedTuple

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.tenants import TenantId


class WorkKind(NamedTuple):
    """Statements whose service times are learned together."""

    route: str
    action: Action


class Work(NamedTuple):
    """A statement that wants to run at one database. Times: steady clock, seconds.

    `priority`: the route's, 0 is the highest. `aim`: until when its caller wants the answer.
    `deadline`: when its time is over. `inside`: it belongs to an open transaction, which holds what
    others wait for.
    """

    kind: WorkKind
    tenant: TenantId
    priority: int
    arrived: float
    soft_deadline: float
    deadline: float
    in_transaction: bool = False
