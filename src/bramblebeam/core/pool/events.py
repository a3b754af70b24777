"""Events and effects of the slot machine. A ticket identifies one statement or transaction."""

from typing import NamedTuple

from bramblebeam.core.identity import ServiceId
from bramblebeam.core.pool.limits import InstanceLimits
from bramblebeam.core.verdict import Reason


class Arrived(NamedTuple):
    """A statement requests a slot and waits for it until `wait_until` (seconds) at most."""

    ticket: int
    service: ServiceId
    wait_until: float


class Finished(NamedTuple):
    """The holder releases its slot; its connection is reusable or closed."""

    ticket: int


class Withdrawn(NamedTuple):
    """The caller left: the ticket stops waiting, or releases its slot."""

    ticket: int


class LimitsChanged(NamedTuple):
    """New configuration rows are in force."""

    limits: InstanceLimits


class OccupiedChanged(NamedTuple):
    """The number of connections that the instance counts but that hold no ticket here changed.

    These are connections that are being closed, and those that a former owner still uses.
    """

    connections: int


class Opened(NamedTuple):
    """This node owns the instance: slots may be granted."""


class Closed(NamedTuple):
    """No more slots may be granted; waiting statements are refused with `reason`."""

    reason: Reason


class Grant(NamedTuple):
    """The ticket holds a slot until `Finished`."""

    ticket: int


class Refuse(NamedTuple):
    """The ticket gets no slot; its statement did not run."""

    ticket: int
    reason: Reason
    retry_after_ms: int
