"""The lease on a group's changes of primary, kept in the platform's store."""

from dataclasses import dataclass

from bramblebeam.core.identity import ZERO_POSITION, GroupId, InstanceId, NodeId, Position


@dataclass(frozen=True, slots=True)
class OrderedChange:
    """The last change of primary that was ordered.

    `term`: the lowest term that the target leads if the order was carried out. `cut`: the end of
    the target's log when it was chosen. What other logs have beyond it may be rolled back.
    """

    target: InstanceId
    term: int
    cut: Position = ZERO_POSITION


@dataclass(frozen=True, slots=True)
class Lease:
    """Who may change the primary of a group.

    `token`: the fencing token. It is the store's version of the lease's last write, so that it is
    unique, rises with each write, and no two holders ever have the same one. `holder` is empty
    where the former holder released the lease.
    """

    group: GroupId
    holder: NodeId
    token: int
    last_change: OrderedChange | None = None
