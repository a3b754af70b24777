"""What the group's lease in the store tells a node that uses the leader: is a change pending?"""

from enum import Enum
from typing import NamedTuple

from bramblebeam.core.failover.lease import Lease
from bramblebeam.core.identity import InstanceId


class PendingChange(Enum):
    """Whether a lease records a change of primary that may still take effect."""

    NONE = "none"
    PENDING = "pending"
    """A change is being prepared, or it was ordered and its outcome is not recorded."""
    UNKNOWN = "unknown"
    """The leader in use may have been replaced, or the store may have lost a change."""


class ChangeLookup(NamedTuple):
    """What a read of the lease found. `requested_at`: monotonic clock, seconds."""

    requested_at: float
    found: PendingChange


def pending_change(
    lease: Lease | None, leader: InstanceId | None, term: int, is_first_era: bool
) -> PendingChange:
    """Return whether a lease, None if there is none, records a pending change.

    `leader`, `term`: the leader in use and its term. `is_first_era`: the store is not known to have
    been restored from a copy, which may lack the lease.
    """
    if lease is None:
        return PendingChange.NONE if is_first_era else PendingChange.UNKNOWN
    if lease.is_of_former_era:
        return PendingChange.UNKNOWN
    ordered = lease.unsettled
    is_leader_ordered = ordered is not None and ordered.is_led_by(leader) and ordered.term <= term
    if lease.preparing or (ordered is not None and not is_leader_ordered):
        return PendingChange.PENDING
    if is_leader_ordered:
        # The order has taken effect; its outcome is not recorded yet.
        return PendingChange.NONE
    change = lease.last_change
    if change is None or change.is_led_by(leader) or change.term <= term:
        return PendingChange.NONE
    return PendingChange.UNKNOWN
