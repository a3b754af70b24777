"""Finds changes of primary that the lease does not record.

If the external service checks tokens, the lease holder changes the primary even while the store is
unavailable, and records the change later. If the holder is lost before that, the node that takes
the lease over finds an older change in it, or none. It would then promote the former primary's log
and so restore commits that were rolled back. The members' status reports reveal such a change.
"""

from dataclasses import dataclass

from bramblebeam.core.failover.lease import OrderedChange
from bramblebeam.core.identity import InstanceId

UNKNOWN_TARGET = InstanceId("")


@dataclass(frozen=True, slots=True)
class ObservedLeadership:
    """What a node knows about changes of primary from sources other than the lease.

    `leader`, `term`: the last leader that the node found, and the newest term in which it was found
    to lead. `newest_term`: the newest term that any member reported. `was_replaced`: that leader
    reports that it no longer leads, and not because this node made it step down.
    `all_others_replied`: every other member has just replied, and none of them leads.
    """

    leader: InstanceId | None
    term: int
    newest_term: int
    was_replaced: bool
    all_others_replied: bool


def infer_last_change(
    recorded: OrderedChange | None, observed: ObservedLeadership
) -> OrderedChange | None:
    """Return the last change that certainly took place: the recorded one, or a later one.

    For a later one the end of the target's log is unknown, so a member qualifies for promotion
    after it only if it knows the term of that change.
    """
    newest = max(observed.term, observed.newest_term)
    if observed.was_replaced and not observed.all_others_replied:
        newest = max(newest, observed.term + 1)
    if newest <= (0 if recorded is None else recorded.term):
        return recorded
    is_leader_known = observed.leader is not None and newest == observed.term
    target = observed.leader if is_leader_known else UNKNOWN_TARGET
    return OrderedChange(target or UNKNOWN_TARGET, newest)
