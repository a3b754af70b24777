"""Events and effects of the slot machine. A ticket names one statement or transaction."""

from typing import NamedTuple

from bramblebeam.core.identity import ServiceId
from bramblebeam.core.pool.limits import InstanceLimits
from bramblebeam.core.verdict import Reason


class Arrived(NamedTuple):
    """A statement asks for a slot and waits for it until `wait_until` (seconds) at most."""

    ticket: int
    service: ServiceId
    wait_until: float


class Finished(NamedTuple):
    """The holder gives its slot back, and its connection is reusable or closed."""

    ticket: int


class Withdrawn(NamedTuple):
    """The caller is gone: the ticket no longer waits, or gives its slot back."""

    ticket: int


class LimitsChanged(NamedTuple):
    """Other rows are in force."""

    limits: InstanceLimits


class OccupiedChanged(NamedTuple):
    """Connections that count at the back end and serve no ticket here.

    They are connections under way to their close, and those that a former owner still uses.
    """

    connections: int


class Opened(NamedTuple):
    """This node owns the instance: slots may be granted."""


class Closed(NamedTuple):
    """No slot may be granted any more; what waits is refused with `reason`."""

    reason: Reason


class Grant(NamedTuple):
    """The ticket holds a slot until `Finished`."""

    ticket: int


class Refuse(NamedTuple):
    """The ticket gets no slot. Its statement did not run."""

    ticket: int
    reason: Reason
    retry_after_ms: int
