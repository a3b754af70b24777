"""The periods and bounds of the relay."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Periods in seconds and bounds of one relay.

    `probe`: between two comparisons with a member of the own zone. `zone_probe_every`: each so
    many probes of an ordinary node go to another zone; a reader sends both at each period.
    `join`: between two questions of a node that has no rows yet. `report`: least time between two
    reports. `follow_up`: after a push, until members that have not reported it are probed.
    `pull`: how long an answer to a pull is waited for. `batch`: rows in one message. `settle`: how
    long a node must be among the readers before it reads, or out before it stops.
    """

    probe: float = 2.0
    zone_probe_every: int = 10
    join: float = 0.5
    report: float = 0.2
    follow_up: float = 0.5
    pull: float = 1.0
    batch: int = 200
    settle: float = 0.5
