"""Intervals and limits of the relay."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Intervals and limits of one relay; times are in seconds.

    `probe_interval`: between two comparisons with a member of the own zone. `zone_probe_every`: a
    node that is not a reader sends one in this many probes to another zone instead; a reader probes
    both at each interval. `join_interval`: between two rounds of queries while not ready.
    `report_interval`: least time between two reports. `follow_up_delay`: after a push, until the
    members that have not reported it are probed. `pull_timeout`: how long to wait for the reply to
    a pull. `batch_rows`: rows per message. `role_settle_time`: how long a node must be a reader
    before it reads the store, or not be one before it stops.
    """

    probe_interval: float = 2.0
    zone_probe_every: int = 10
    join_interval: float = 0.5
    report_interval: float = 0.2
    follow_up_delay: float = 0.5
    pull_timeout: float = 1.0
    batch_rows: int = 200
    role_settle_time: float = 0.5
