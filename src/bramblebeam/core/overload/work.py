"""A statement as seen by overload control."""

from typing import NamedTuple

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.tenants import TenantId


class WorkKind(NamedTuple):
    """Statements whose service times are learned together."""

    route: str
    action: Action


class Work(NamedTuple):
    """A statement to run at one database. Times: monotonic clock, seconds.

    `priority`: the route's, 0 is the highest. `soft_deadline`: until when its caller wants the
    answer. `deadline`: when it is given up. `in_transaction`: it belongs to an open transaction,
    which holds a connection that others wait for.
    """

    kind: WorkKind
    tenant: TenantId
    priority: int
    arrived: float
    soft_deadline: float
    deadline: float
    in_transaction: bool = False
