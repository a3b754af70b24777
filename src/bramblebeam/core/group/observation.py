"""A watcher's observations of the members of its group."""

from collections.abc import Iterable
from dataclasses import dataclass

from bramblebeam.core.group.choice import majority_of
from bramblebeam.core.group.messages import MemberReport, MemberStatus
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import InstanceId, InstanceSpec
from bramblebeam.core.role import Role

MILLISECONDS = 1000.0


@dataclass(slots=True)
class MemberObservation:
    """The last status of a member, and since when queries to it fail.

    Statuses and failures are dated by when the query was sent, so that a reply that waited in a
    buffer while this watcher was paused does not count as new.
    """

    spec: InstanceSpec
    status: MemberStatus | None = None
    status_queried_at: float = float("-inf")
    failing_since: float | None = None
    refused: bool = False
    query_pending_until: float = float("-inf")
    follow_sent_at: float = float("-inf")
    not_following_since: float | None = None
    blocked_since: float | None = None

    def is_fresh(self, now: float, bound: float) -> bool:
        """Whether the last status was queried at most `bound` seconds ago."""
        return self.status is not None and now - self.status_queried_at <= bound

    def unreachable_for(self, now: float) -> float:
        """Return for how many seconds queries have failed (0 if the last one succeeded)."""
        return 0.0 if self.failing_since is None else now - self.failing_since

    def seconds_without_contact(self) -> float:
        """Return the time without contact to a primary, as the member last reported it."""
        assert self.status is not None
        return self.status.primary_contact_ms / MILLISECONDS


class Observations:
    """Observations of all members, and the highest term and its primary derived from them."""

    def __init__(self, members: Iterable[InstanceSpec], timing: GroupTiming) -> None:
        self.timing = timing
        self.members: dict[InstanceId, MemberObservation] = {}
        self.term = 0
        self.term_learned_at = float("-inf")
        self.primary: InstanceId | None = None
        self.highest_promised = 0
        self.promise_learned_at = float("-inf")
        self._resumed_at = float("-inf")
        self.replace_members(members)

    @property
    def majority(self) -> int:
        """Number of members that form a majority."""
        return majority_of(len(self.members))

    @property
    def highest_term(self) -> int:
        """Highest term observed on any member, including promised terms."""
        return max(self.term, self.highest_promised)

    def replace_members(self, members: Iterable[InstanceSpec]) -> None:
        """Replace the list of members; keep the observations of those with an unchanged address."""
        known = self.members
        self.members = {}
        for spec in members:
            old = known.get(spec.instance)
            same = old is not None and old.spec.address == spec.address
            self.members[spec.instance] = old if old and same else MemberObservation(spec)
        if self.primary not in self.members:
            self.primary = None

    def record_status(self, status: MemberStatus, queried_at: float, now: float) -> None:
        """Record a member's status, unless a later query already gave one."""
        member = self.members.get(status.instance)
        if member is None or queried_at < member.status_queried_at:
            return
        member.status = status
        member.status_queried_at = queried_at
        member.failing_since = None
        member.refused = False
        self._learn_term(status, now)
        if status.promised_term > self.highest_promised:
            self.highest_promised = status.promised_term
            self.promise_learned_at = now

    def record_failure(self, instance: InstanceId, queried_at: float, refused: bool) -> None:
        """Record a failed query, unless it predates the last status or a pause of this watcher."""
        member = self.members.get(instance)
        if member is None or queried_at < self._resumed_at or queried_at < member.status_queried_at:
            return
        if member.failing_since is None:
            member.failing_since = queried_at
        member.refused = refused

    def forget_failures(self, now: float) -> None:
        """Discard all failures, because this watcher itself was paused until `now`."""
        self._resumed_at = now
        for member in self.members.values():
            member.failing_since = None
            member.refused = False

    def record_promotion(self, term: int, primary: InstanceId, now: float) -> None:
        """Record that `primary` was promoted at `term`."""
        if primary not in self.members:
            return
        if term > self.term:
            self.term_learned_at = now
            self.term = term
        if term == self.term:
            self.primary = primary

    def fresh_members(self, now: float) -> list[MemberObservation]:
        """Return the members with a status of at most `GroupTiming.max_status_age`."""
        return [
            member
            for member in self.members.values()
            if member.is_fresh(now, self.timing.max_status_age)
        ]

    def primary_observation(self) -> MemberObservation | None:
        """Return the observation of the primary, or None if no primary is known."""
        return None if self.primary is None else self.members[self.primary]

    def reports(self, now: float) -> tuple[MemberReport, ...]:
        """Return a report on each member that has ever replied."""
        return tuple(
            MemberReport(
                member.status,
                int((now - member.status_queried_at) * MILLISECONDS),
                member.failing_since is None,
            )
            for member in self.members.values()
            if member.status is not None
        )

    def _learn_term(self, status: MemberStatus, now: float) -> None:
        """Update term and primary from the status of a primary or of a follower."""
        if status.role is Role.PRIMARY:
            self.record_promotion(status.term, status.instance, now)
            return
        followed = InstanceId(status.primary)
        if status.term > self.term:
            self.record_promotion(status.term, followed, now)
