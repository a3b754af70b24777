"""What a primary knows of the other members' logs, and which rounds they answered."""

from collections.abc import Iterable
from dataclasses import dataclass

from bramblebeam.lab.database.messages import AppendReply, MemberId


@dataclass(slots=True)
class MemberProgress:
    """One other member. `match`: the logs surely agree up to there; `next`: the next to send.

    `answered_round` and `answered_at` (seconds) are of the latest round it answered.
    """

    next: int
    match: int = 0
    answered_round: int = 0
    answered_at: float = float("-inf")


class GroupProgress:
    """The other members of the group, and what a majority of all members holds."""

    def __init__(self, others: Iterable[MemberId], last: int) -> None:
        self.members = {member: MemberProgress(next=last + 1) for member in others}

    @property
    def majority(self) -> int:
        """How many members, the primary among them, make a majority."""
        return (len(self.members) + 1) // 2 + 1

    def reached(self, values: Iterable[float], own: float) -> float:
        """Return the highest value that a majority has reached, the primary's own among them."""
        ranked = sorted([own, *values], reverse=True)
        return ranked[self.majority - 1]

    def match(self, own_last: int) -> int:
        """Return the offset up to which a majority holds the primary's log."""
        return int(self.reached((m.match for m in self.members.values()), own_last))

    def answered_round(self, own_round: int) -> int:
        """Return the latest round that a majority answered."""
        return int(self.reached((m.answered_round for m in self.members.values()), own_round))

    def contact(self, now: float) -> float:
        """Return when a majority was last heard (seconds)."""
        return self.reached((m.answered_at for m in self.members.values()), now)

    def take(self, sender: MemberId, reply: AppendReply, now: float) -> MemberProgress | None:
        """Record an answer; return the sender's progress, or None for a stranger."""
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
