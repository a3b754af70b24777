"""What members of a group still know: one that starts again under its name has forgotten all.

It does not know that it was paused for a change of primary, so that its word proves nothing of the
leaders that there were before it started; of those that were promoted since it does. It has lost
what it had received, so that it stands for no acknowledged commit until it has caught up.
"""

from collections.abc import Collection
from typing import NamedTuple

from bramblebeam.core.identity import (
    UNKNOWN_INCARNATION,
    ZERO_POSITION,
    InstanceId,
    Position,
    incarnation_of,
)


class ReportedPosition(NamedTuple):
    """The furthest position that a member told, and when it was heard (steady clock, seconds)."""

    position: Position = ZERO_POSITION
    received_at: float = float("-inf")


class RestartTracker:
    """Knows which members of one group started again, and what they are worth since."""

    def __init__(self) -> None:
        self._forgot_up_to: dict[InstanceId, int] = {}
        self._caught_up_at: dict[InstanceId, Position] = {}
        self._told: dict[InstanceId, ReportedPosition] = {}

    def update_members(
        self, members: Collection[InstanceId], restarted: Collection[InstanceId], newest_term: int
    ) -> None:
        """Take the registered members, and which of them started again.

        `newest_term`: the newest that is known now, so that none of the leaders up to it was
        promoted after the start.
        """
        for instance in self._forgot_up_to.keys() - set(members):
            del self._forgot_up_to[instance]
            self._caught_up_at.pop(instance, None)
        for instance in self._told.keys() - set(members):
            del self._told[instance]
        for instance in restarted:
            self._forgot_up_to.setdefault(instance, newest_term)

    def observe_position(
        self, instance: InstanceId, told: ReportedPosition, asked_at: float, newest_term: int
    ) -> None:
        """Take how far a member says it is, asked at some moment (steady clock, seconds).

        One that told of a log and has none any more has started again, though no entry tells it
        yet: a log is cut short by a promotion, never to nothing.
        """
        known = self._told.get(instance, ReportedPosition())
        if told.position.offset > 0 or known.position.offset == 0:
            self._told[instance] = max(known, told)
        elif asked_at > known.received_at:
            self._forgot_up_to[instance] = newest_term
            self._caught_up_at.pop(instance, None)
            self._told[instance] = told

    def observe_proof(self, position: Position) -> None:
        """Take the end of the leader's log: who has that has all that its start lost."""
        for instance in self._forgot_up_to:
            self._caught_up_at.setdefault(instance, position)

    def may_confirm(self, instance: InstanceId, term: int, proven: Position) -> bool:
        """Whether a member's word counts for the leader of `term`, whose log ends at `proven`.

        One of which no start is known, and that has received nothing, may have started again before
        this node knew of it.
        """
        forgot_up_to = self._forgot_up_to.get(instance)
        if forgot_up_to is not None:
            return term > forgot_up_to
        told = self._told.get(instance)
        is_empty = told is not None and told.position.offset == 0 < proven.offset
        return not (is_empty and incarnation_of(instance) != UNKNOWN_INCARNATION)

    def has_caught_up(self, instance: InstanceId, received: Position) -> bool:
        """Whether a member has, or has again, what it was acknowledged to have received."""
        if instance not in self._forgot_up_to:
            return True
        due = self._caught_up_at.get(instance)
        return due is not None and received >= due

    def is_log_elsewhere(self, instance: InstanceId, term: int) -> bool:
        """Whether another member has told of a commit of `term` or a newer one."""
        return any(
            told.position.term >= term and told.position.offset > 0
            for other, told in self._told.items()
            if other != instance
        )
