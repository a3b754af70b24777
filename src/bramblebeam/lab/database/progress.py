"""Replication progress of the other members, as the primary knows it from their replies."""

from collections.abc import Iterable
from dataclasses import dataclass

from bramblebeam.lab.database.messages import AppendReply, MemberId


@dataclass(slots=True)
class MemberProgress:
    """Progress of one member. `match`: the logs agree up to this offset; `next`: offset to send.

    `answered_round` and `answered_at` (seconds): the latest round that it answered, and when.
    """

    next: int
    match: int = 0
    answered_round: int = 0
    answered_at: float = float("-inf")


class GroupProgress:
    """Progress of the other members, and the values that a majority of the group has reached."""

    def __init__(self, others: Iterable[MemberId], last: int) -> None:
        self.members = {member: MemberProgress(next=last + 1) for member in others}

    @property
    def majority(self) -> int:
        """Number of members in a majority, including the primary."""
        return (len(self.members) + 1) // 2 + 1

    def majority_value(self, values: Iterable[float], own: float) -> float:
        """Return the highest value that a majority has reached, counting the primary's `own`."""
        ranked = sorted([own, *values], reverse=True)
        return ranked[self.majority - 1]

    def match(self, own_last: int) -> int:
        """Return the offset up to which a majority holds the primary's log."""
        return int(self.majority_value((m.match for m in self.members.values()), own_last))

    def answered_round(self, own_round: int) -> int:
        """Return the latest round that a majority answered."""
        return int(
            self.majority_value((m.answered_round for m in self.members.values()), own_round)
        )

    def majority_contact_at(self, now: float) -> float:
        """Return the time (seconds) up to which a majority has replied."""
        return self.majority_value((m.answered_at for m in self.members.values()), now)

    def record_reply(
        self, sender: MemberId, reply: AppendReply, now: float
    ) -> MemberProgress | None:
        """Record a reply; return the sender's progress, or None if it is not in the group."""
        member = self.members.get(sender)
        if member is None:
            return None
        if reply.round > member.answered_round:
            member.answered_round = reply.round
            member.answered_at = now
        if reply.matched:
            member.match = max(member.match, reply.last)
            member.next = max(member.next, member.match + 1)
        else:
            member.next = max(member.match + 1, min(member.next, reply.last + 1))
        return member
