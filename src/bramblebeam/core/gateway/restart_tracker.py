"""Tracks what group members have lost by a restart under the same name.

A restarted member does not know that it was paused for a change of primary. Its status therefore
confirms none of the leaders promoted before it started, only later ones. It has also lost its log,
so that it holds no acknowledged commit until it has caught up.
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
    """The latest position a member reported, and when it was received (monotonic, seconds)."""

    position: Position = ZERO_POSITION
    received_at: float = float("-inf")


class RestartTracker:
    """Tracks which members of one group restarted, and what their replies are valid for since."""

    def __init__(self) -> None:
        self._unaware_up_to: dict[InstanceId, int] = {}
        self._caught_up_at: dict[InstanceId, Position] = {}
        self._reported: dict[InstanceId, ReportedPosition] = {}

    def update_members(
        self, members: Collection[InstanceId], restarted: Collection[InstanceId], newest_term: int
    ) -> None:
        """Set the registered members and those that have restarted.

        `newest_term`: the newest term known now. No leader up to it was promoted after the
        restart.
        """
        for instance in self._unaware_up_to.keys() - set(members):
            del self._unaware_up_to[instance]
            self._caught_up_at.pop(instance, None)
        for instance in self._reported.keys() - set(members):
            del self._reported[instance]
        for instance in restarted:
            self._unaware_up_to.setdefault(instance, newest_term)

    def observe_position(
        self, instance: InstanceId, reported: ReportedPosition, queried_at: float, newest_term: int
    ) -> None:
        """Record the position that a member reported to a query (monotonic clock, seconds).

        A member that reported a log before and has none now has restarted, even if no entry shows
        it yet: a promotion may truncate a log, but never to nothing.
        """
        known = self._reported.get(instance, ReportedPosition())
        if reported.position.offset > 0 or known.position.offset == 0:
            self._reported[instance] = max(known, reported)
        elif queried_at > known.received_at:
            self._unaware_up_to[instance] = newest_term
            self._caught_up_at.pop(instance, None)
            self._reported[instance] = reported

    def observe_proof(self, position: Position) -> None:
        """Record the end of the leader's log: a member that reaches it has regained its loss."""
        for instance in self._unaware_up_to:
            self._caught_up_at.setdefault(instance, position)

    def may_confirm(self, instance: InstanceId, term: int, proven: Position) -> bool:
        """Whether a member's status is valid for the leader of `term`, whose log ends at `proven`.

        A member that has received nothing may have restarted before this node could know of it,
        even if no restart is known.
        """
        unaware_up_to = self._unaware_up_to.get(instance)
        if unaware_up_to is not None:
            return term > unaware_up_to
        reported = self._reported.get(instance)
        is_empty = reported is not None and reported.position.offset == 0 < proven.offset
        return not (is_empty and incarnation_of(instance) != UNKNOWN_INCARNATION)

    def has_caught_up(self, instance: InstanceId, received: Position) -> bool:
        """Whether a member holds all that it has acknowledged, despite any restart."""
        if instance not in self._unaware_up_to:
            return True
        required = self._caught_up_at.get(instance)
        return required is not None and received >= required

    def is_log_elsewhere(self, instance: InstanceId, term: int) -> bool:
        """Whether another member has reported a commit of `term` or a newer one."""
        return any(
            reported.position.term >= term and reported.position.offset > 0
            for other, reported in self._reported.items()
            if other != instance
        )
