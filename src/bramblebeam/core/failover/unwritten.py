"""Changes of primary that the lease does not tell.

Where the outside service checks tokens, the holder of a group's lease changes the primary also
while the store gives no answer, and writes it down later. If it is lost before, whoever takes the
lease over finds an older change in it, or none. The former primary's log would then be promoted,
and commits that were rolled back would count again. What members say shows that there was a change.
"""

from dataclasses import dataclass

from bramblebeam.core.failover.lease import OrderedChange
from bramblebeam.core.identity import InstanceId

UNKNOWN_TARGET = InstanceId("")


@dataclass(frozen=True, slots=True)
class ObservedLeadership:
    """What a node knows of changes beside the lease.

    `leader`, `term`: the last leader that it found, and the newest term that it was found to lead.
    `newest_term`: the newest that any member told of. `was_replaced`: that leader says itself that
    it leads no more, and it was not this node that took the lead from it. `all_answer`: every other
    member answered just now, and none of them leads.
    """

    leader: InstanceId | None
    term: int
    newest_term: int
    was_replaced: bool
    all_others_replied: bool


def infer_last_change(told: OrderedChange | None, seen: ObservedLeadership) -> OrderedChange | None:
    """Return the last change that surely took place: the one told by the lease, or a later one.

    Of a later one the end of the target's log is not known: a member is fit to follow it only if it
    knows its term.
    """
    newest = max(seen.term, seen.newest_term)
    if seen.was_replaced and not seen.all_others_replied:
        newest = max(newest, seen.term + 1)
    if newest <= (0 if told is None else told.term):
        return told
    is_leader_known = seen.leader is not None and newest == seen.term
    target = seen.leader if is_leader_known else UNKNOWN_TARGET
    return OrderedChange(target or UNKNOWN_TARGET, newest)
