"""Decides what a node may conclude from its list of a group's databases about leases on the leader.

That the list names no other member does not show that none can be promoted: one whose registration
lapsed may still run, one that left the list may be back, and the list itself may be old. Only two
things confirm a lease: a member that reports not to be paused, beside others that are accounted
for, or the group's lease in the store, which records a change before any member is paused for it.
Times are seconds of the monotonic clock.
"""

from enum import Enum
from typing import NamedTuple

from bramblebeam.core.gateway.leader_lease import SIGHTING_SECONDS
from bramblebeam.core.identity import InstanceId

DEPARTURE_SECONDS = 12.0
"""How long a member that left a current list may still be promoted. Another node learns of it up
to 5.5 s later, and may just then have begun a change, which takes 6 s if it ignores a member."""


class Standing(Enum):
    """How a database stands in a node's list."""

    REGISTERED = "registered"
    LAPSED = "lapsed"
    """Its registration disappeared a short while ago."""
    DEPARTED = "departed"
    """It left the list, but may still run, or be back."""


class OtherMember(NamedTuple):
    """A member other than the leader. `since`: when it was first found to have departed."""

    instance: InstanceId
    standing: Standing
    since: float = float("-inf")


class GroupView(NamedTuple):
    """What a node's list tells of a group's members other than the leader, the nearest first.

    `confirmed_at`: when the store last had nothing newer than the list. A member that registered
    later is not listed.
    """

    others: tuple[OtherMember, ...] = ()
    confirmed_at: float = float("-inf")

    def is_current(self, now: float) -> bool:
        """Whether no member that registered after this list can lead beside a confirming one.

        A change that ignores a member which may confirm leases waits this long.
        """
        return now - self.confirmed_at <= SIGHTING_SECONDS


class LeaseSources(NamedTuple):
    """What may confirm a lease on the leader.

    `ask`: members whose report counts. `account_for`: those which must, besides the reporting one,
    have been seen unpaused or ended lately, unless the store showed no pending change. `store`:
    whether the store confirms the lease by itself, by showing that none is pending.
    """

    ask: tuple[InstanceId, ...]
    account_for: tuple[InstanceId, ...]
    store: bool


def lease_sources(view: GroupView, now: float) -> LeaseSources:
    """Return what may confirm a lease on the leader; never the absence of other members."""
    registered = _with_standing(view, Standing.REGISTERED)
    lapsed = _with_standing(view, Standing.LAPSED)
    departed = tuple(member.instance for member in view.others if _may_be_back(member, view, now))
    return LeaseSources(
        ask=registered or lapsed,
        account_for=(*registered, *lapsed, *departed),
        store=not registered,
    )


def _with_standing(view: GroupView, standing: Standing) -> tuple[InstanceId, ...]:
    return tuple(member.instance for member in view.others if member.standing is standing)


def _may_be_back(member: OtherMember, view: GroupView, now: float) -> bool:
    """Whether a departed member may be promoted, though the list does not name it."""
    if member.standing is not Standing.DEPARTED:
        return False
    return not view.is_current(now) or now - member.since < DEPARTURE_SECONDS
