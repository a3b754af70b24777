"""Since when the members of a group have surely lived, and whose word renews a lease.

A change of primary pauses every member that it reaches. One that starts again has forgotten that,
so that its word that it is not paused says nothing: the change may be about to be ordered all the
same. Two things show that no such change is under way.

- After the member had started, every other member was found free, the one too that would be
  promoted: that one stays paused until it leads. Free is who says that it is not paused, who says
  that it leads a former term, and who has ended, as nothing listens at its address.
- The member has lived for longer than any change takes.

A connection tells of a life: whoever answers on it has lived since it was open. Times are seconds
of the steady clock.
"""

from collections.abc import Collection
from typing import NamedTuple

from bramblebeam.core.gateway.leader_lease import WAIT_SECONDS
from bramblebeam.core.gateway.leader_promise import PROMISE_SECONDS
from bramblebeam.core.identity import InstanceId

SETTLED_SECONDS = PROMISE_SECONDS - WAIT_SECONDS
"""A member that has lived for so long was not paused, before it started, for a change that may yet
take effect: at the end of the wait it was looked at once more."""
MAXIMUM_INTERVALS = 4
"""Parts of lives that are remembered of a member: later answers may show that they are of one."""
NEVER = float("-inf")


class Life(NamedTuple):
    """A member lived from `since` to `until` without a break."""

    since: float
    until: float

    def overlaps(self, other: "Life") -> bool:
        """Whether both are of one life, as no break lies between them."""
        return self.since < other.until and other.since < self.until

    def joined(self, others: Collection["Life"]) -> "Life":
        """Return what it makes with those that overlap it."""
        lives = [self, *others]
        return Life(min(life.since for life in lives), max(life.until for life in lives))


class WitnessUptimes:
    """Remembers lives, and when each member was last found free."""

    def __init__(self) -> None:
        self._lives: dict[InstanceId, list[Life]] = {}
        self._free_at: dict[InstanceId, float] = {}

    def keep_only(self, members: Collection[InstanceId]) -> None:
        """Forget databases that left the group."""
        for instance in self._lives.keys() - set(members):
            del self._lives[instance]
        for instance in self._free_at.keys() - set(members):
            del self._free_at[instance]

    def record_reply(self, instance: InstanceId, opened_at: float, asked_at: float) -> None:
        """Take an answer to what was asked on a connection that was open at `opened_at`.

        Two connections that were in use at the same time end at the same life.
        """
        lives = self._lives.get(instance, [])
        new = Life(opened_at, asked_at)
        same = [life for life in lives if life.overlaps(new) or life.since == opened_at]
        others = [life for life in lives if life not in same]
        self._lives[instance] = sorted([*others, new.joined(same)])[-MAXIMUM_INTERVALS:]

    def record_unpaused(self, instance: InstanceId, at: float) -> None:
        """Note that a member was free at some moment after `at`."""
        self._free_at[instance] = max(at, self._free_at.get(instance, NEVER))

    def has_outlasted_changes(
        self, instance: InstanceId, opened_at: float, asked_at: float
    ) -> bool:
        """Whether who was asked on a connection had lived longer than any change takes."""
        return asked_at - self._since(instance, opened_at) >= SETTLED_SECONDS

    def missing(
        self, instance: InstanceId, opened_at: float, others: Collection[InstanceId]
    ) -> list[InstanceId]:
        """Return who of `others` was not found free since a member started."""
        since = self._since(instance, opened_at)
        return [other for other in others if self._free_at.get(other, NEVER) < since]

    def _since(self, instance: InstanceId, opened_at: float) -> float:
        """Return since when whoever answers on a connection has lived."""
        lives = self._lives.get(instance, [])
        known = (life.since for life in lives if life.since <= opened_at <= life.until)
        return min(known, default=opened_at)
