"""The lease for changing the primary of a group, kept in the platform's store."""

from dataclasses import dataclass, replace

from bramblebeam.core.identity import (
    ZERO_POSITION,
    GroupId,
    InstanceId,
    NodeId,
    Position,
    incarnation_of,
    server_name,
)
from bramblebeam.core.revision import FIRST_ERA, Revision


@dataclass(frozen=True, slots=True)
class OrderedChange:
    """One ordered change of primary.

    `term`: the lowest term that the target leads once the order is carried out. `cut`: the end of
    the target's log when it was chosen. Entries of other logs beyond it may be rolled back.
    """

    target: InstanceId
    term: int
    cut: Position = ZERO_POSITION

    def is_led_by(self, leader: InstanceId | None) -> bool:
        """Whether `leader` is the target, which may have restarted before its promotion."""
        if leader is None or server_name(leader) != server_name(self.target):
            return False
        return incarnation_of(leader) >= incarnation_of(self.target)


UNKNOWN_HOLDER = NodeId("?")
"""Holder of a lease from a former era: which node held it last, if any, is unknown."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Entitles its holder to change the primary of a group.

    `token`: the fencing token. It is the store's revision of the last write of the lease, so it is
    unique, rises with each write, and no two holders ever have the same one. `holder` is empty if
    the former holder released the lease. `last_change`: the last change known to be carried out.
    `unsettled`: a later change that was ordered but not answered. Until it is, no other member may
    be promoted. `preparing`: the holder may have paused members for a change that it has not
    ordered yet. `era`: the era of the store as its writer knew it. If the store reports another
    era, it was restored from a copy, or the write found a lease other than the intended one.
    """

    group: GroupId
    holder: NodeId
    token: Revision
    last_change: OrderedChange | None = None
    unsettled: OrderedChange | None = None
    era: int = FIRST_ERA
    preparing: bool = False

    @property
    def is_of_former_era(self) -> bool:
        """Whether the lease does not show which node holds it now."""
        return self.era != self.token.era

    def with_later_changes_of(self, former: "Lease") -> "Lease":
        """Return the lease with the later changes that a former state of it records."""
        last_change = _later(self.last_change, former.last_change)
        unsettled = _later(self.unsettled, former.unsettled)
        if unsettled is not None and last_change is not None and unsettled.term <= last_change.term:
            unsettled = None
        return replace(self, last_change=last_change, unsettled=unsettled)


def _later(current: OrderedChange | None, former: OrderedChange | None) -> OrderedChange | None:
    if current is None or former is None:
        return current or former
    return former if former.term > current.term else current
