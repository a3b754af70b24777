"""Members that do not follow the primary of the newest term, and what brings them back."""

from bramblebeam.core.group.events import Effect, Follow
from bramblebeam.core.group.observation import MemberObservation, Observations
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import InstanceId


class Followers:
    """Points members to the primary; finds those that only a new term can bring back."""

    def __init__(self, view: Observations, timing: GroupTiming, outbox: list[Effect]) -> None:
        self._view = view
        self._timing = timing
        self._outbox = outbox

    def redirect_members(self, rank: int, now: float) -> None:
        """Point members that are back, or that were left behind; the first watcher at once."""
        for name, member in self._view.members.items():
            if not self._left_behind(member) or not member.is_fresh(
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
        """Have a member follow the primary."""
        assert self._view.primary is not None
        self._view.members[name].follow_sent_at = now
        primary = self._view.members[self._view.primary].spec
        timeout = self._timing.follow_timeout
        self._outbox.append(Follow(name, self._view.term, primary, timeout))

    def has_blocked_member(self, rank: int, now: float) -> bool:
        """Whether a member's promise of a higher term has kept it out for long.

        Such a promise is what an abandoned attempt leaves behind; the member takes nothing from
        the primary until that one leads a higher term.
        """
        bound = self._timing.blocked_member_after * (1 + rank)
        long = False
        for member in self._view.members.values():
            status = member.status
            if status is None or status.promised_term <= self._view.term:
                member.blocked_since = None
            elif member.is_fresh(now, self._timing.max_status_age):
                since = now if member.blocked_since is None else member.blocked_since
                member.blocked_since = since
                long = long or now - since >= bound
        return long

    def reset_blocked_times(self) -> None:
        """Count the time anew: a new term is on its way."""
        for member in self._view.members.values():
            member.blocked_since = None

    def _left_behind(self, member: MemberObservation) -> bool:
        status = member.status
        if status is None or member.spec.instance == self._view.primary:
            return False
        follows = status.term == self._view.term and status.primary == self._view.primary
        return not follows and status.promised_term <= self._view.term
