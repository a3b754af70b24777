"""The lease on a group's changes of primary, kept in the platform's store."""

from dataclasses import dataclass

from bramblebeam.core.identity import GroupId, NodeId


@dataclass(frozen=True, slots=True)
class Lease:
    """Who may change the primary of a group.

    `token`: the fencing token. It is the store's version of the lease's last write, so that it is
    unique, rises with each write, and no two holders ever have the same one.
    """

    group: GroupId
    holder: NodeId
    token: int
