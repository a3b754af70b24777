"""What a node tells of the databases that it serves, on answers that flow anyway."""

from typing import NamedTuple

from bramblebeam.core.identity import InstanceId

NO_LOADS = ()


class DatabaseLoad(NamedTuple):
    """How busy one database is, as the node that serves it sees it at the time of an answer.

    `wait`: until a statement that comes now would begin (seconds). `service`: a usual statement's
    time at the database, also under load (seconds). `error_share`: of its attempts in vain, 0 to 1.
    `usable`: whether it takes work: it is not ejected, nor leaving.

    It is soft: lost with its node, and a wrong guess costs a wait or an early refusal, no rule.
    """

    instance: InstanceId
    wait: float
    service: float
    error_share: float = 0.0
    usable: bool = True
