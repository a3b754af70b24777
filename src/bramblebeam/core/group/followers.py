"""Makes members follow the primary of the newest term."""

from bramblebeam.core.group.events import Effect, Follow
from bramblebeam.core.group.observation import MemberObservation, Observations
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import InstanceId


class Followers:
    """Redirects members to the primary; detects those that only a new term can bring back."""

    def __init__(self, view: Observations, timing: GroupTiming, outbox: list[Effect]) -> None:
        self._view = view
        self._timing = timing
        self._outbox = outbox

    def redirect_members(self, rank: int, now: float) -> None:
        """Redirect members that do not follow the primary; the first watcher does so at once."""
        for name, member in self._view.members.items():
            if not self._must_be_redirected(member) or not member.is_fresh(
                now, self._timing.max_status_age
            ):
                member.not_following_since = None
                continue
            if member.not_following_since is None:
                member.not_following_since = now
            turn = member.not_following_since + rank * self._timing.follow_interval
            if now >= max(turn, member.follow_sent_at + self._timing.follow_interval):
                self.send_follow(name, now)

    def send_follow(self, name: InstanceId, now: float) -> None:
        """Request a member to follow the primary."""
        assert self._view.primary is not None
        self._view.members[name].follow_sent_at = now
        primary = self._view.members[self._view.primary].spec
        timeout = self._timing.follow_timeout
        self._outbox.append(Follow(name, self._view.term, primary, timeout))

    def has_blocked_member(self, rank: int, now: float) -> bool:
        """Whether a member has long been blocked by its promise of a higher term.

        An abandoned attempt leaves such a promise behind. The member accepts nothing from the
        primary until the primary leads a higher term.
        """
        bound = self._timing.blocked_member_after * (1 + rank)
        is_overdue = False
        for member in self._view.members.values():
            status = member.status
            if status is None or status.promised_term <= self._view.term:
                member.blocked_since = None
            elif member.is_fresh(now, self._timing.max_status_age):
                since = now if member.blocked_since is None else member.blocked_since
                member.blocked_since = since
                is_overdue = is_overdue or now - since >= bound
        return is_overdue

    def reset_blocked_times(self) -> None:
        """Restart the blocked times of all members, since a new term has been requested."""
        for member in self._view.members.values():
            member.blocked_since = None

    def _must_be_redirected(self, member: MemberObservation) -> bool:
        status = member.status
        if status is None or member.spec.instance == self._view.primary:
            return False
        follows = status.term == self._view.term and status.primary == self._view.primary
        return not follows and status.promised_term <= self._view.term
