"""The load that a node reports of the databases it serves, attached to its answers."""

from typing import NamedTuple

from bramblebeam.core.identity import InstanceId

NO_LOADS = ()


class DatabaseLoad(NamedTuple):
    """Load of one database, as seen by the node that serves it at the time of an answer.

    `wait`: until a statement that arrives now would begin (seconds). `service`: a typical
    statement's time at the database, also under load (seconds). `error_share`: of failed attempts,
    0 to 1. `usable`: whether it accepts work: it is neither ejected nor leaving.

    It is soft state: it is lost with its node, and a wrong value costs a wait or an early refusal,
    but never correctness.
    """

    instance: InstanceId
    wait: float
    service: float
    error_share: float = 0.0
    usable: bool = True
