"""The lease on a group's changes of primary, kept in the platform's store."""

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
    the target's log when it was chosen. What other logs have beyond it may be rolled back.
    """

    target: InstanceId
    term: int
    cut: Position = ZERO_POSITION

    def is_led_by(self, leader: InstanceId | None) -> bool:
        """Whether a leader is the target. It may have started again before it was promoted."""
        if leader is None or server_name(leader) != server_name(self.target):
            return False
        return incarnation_of(leader) >= incarnation_of(self.target)


UNKNOWN_HOLDER = NodeId("?")
"""Of a lease that was written in a former era: somebody may have held it last, or nobody."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Who may change the primary of a group.

    `token`: the fencing token. It is the store's revision of the lease's last write, so that it is
    unique, rises with each write, and no two holders ever have the same one. `holder` is empty
    where the former holder released the lease. `last_change`: the last one that is known to be
    carried out. `unsettled`: one that was ordered later and not answered; until it is, no other
    member may be promoted. `era`: the one in which its writer took the store to be. If the store
    tells another one it came back from a copy, or the write found what was not meant.
    """

    group: GroupId
    holder: NodeId
    token: Revision
    last_change: OrderedChange | None = None
    unsettled: OrderedChange | None = None
    era: int = FIRST_ERA

    @property
    def is_of_former_era(self) -> bool:
        """Whether it tells nothing of who holds the lease now."""
        return self.era != self.token.era

    def with_later_changes_of(self, former: "Lease") -> "Lease":
        """Return the lease with what a former state of it tells of later changes."""
        last_change = _later(self.last_change, former.last_change)
        unsettled = _later(self.unsettled, former.unsettled)
        if unsettled is not None and last_change is not None and unsettled.term <= last_change.term:
            unsettled = None
        return replace(self, last_change=last_change, unsettled=unsettled)


def _later(told: OrderedChange | None, known: OrderedChange | None) -> OrderedChange | None:
    if told is None or known is None:
        return told or known
    return known if known.term > told.term else told
