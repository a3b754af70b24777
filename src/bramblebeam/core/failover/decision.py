"""When a node changes the primary of a group.

The lease's holder acts first. Another node takes the lease over when the trouble lasts and the
lease has not been written since: a holder writes it before each change, so that its silence means
that it is gone, is cut off from the store, or does not see the trouble. Times are seconds of the
steady clock.
"""

from dataclasses import dataclass
from enum import Enum

from bramblebeam.core.failover.lease import Lease
from bramblebeam.core.identity import InstanceId, NodeId


class Cause(Enum):
    """Why the primary is to be changed."""

    LOST = "lost"
    """No database answers as the leader."""
    LEAVING = "leaving"
    """The leader's server says that it leaves."""
    LAPSED = "lapsed"
    """The leader's registration went; it leaves without a word, or will register again."""
    STALLED = "stalled"
    """The leader answers, but acknowledges no writes: too few replicas receive them."""
    UNCONFIRMED = "unconfirmed"
    """The leader answers, but no member confirms a lease on it: they were left paused."""
    UNSETTLED = "unsettled"
    """The leader is not the one that was ordered, and the order may yet be carried out."""


@dataclass(frozen=True, slots=True)
class FailoverTiming:
    """Bounds of a change of primary (seconds).

    `suspicion`: how long a leader must be missed before the holder acts. `lapse`: as long as that
    where only its registration is missing: all registrations go while the store is out of order,
    and come back. `challenge`: how long the
    trouble must last before another node acts, `rank_step` more for each place in the order of
    nodes. `observation`: how long another node's lease must have been seen unchanged. `hold`: how
    long after its write of the lease a holder may begin an order by it, so that the order has left
    before the `observation` of others is over. `attempt`:
    how long one change may take before it is tried again. `resignation`: after that without a
    primary a group with asynchronous logs takes any member, also one whose log may be old.
    """

    suspicion_timeout: float = 0.15
    lapse_timeout: float = 2.0
    takeover_delay: float = 0.8
    rank_step: float = 0.25
    lease_observation: float = 0.8
    order_window: float = 0.2
    attempt_timeout: float = 2.5
    any_member_after: float = 8.0


@dataclass(frozen=True, slots=True)
class Situation:
    """What a node knows about a group.

    `trouble_since`: when the trouble began, None: there is none. `quiet_until`: until when the
    lease may not be taken over, see `quiet_time`, nor used right after the store came back from a
    copy. `ordered_at`: when this node last ordered a
    promotion that may still come into effect.
    """

    node: NodeId
    rank: int
    leader: InstanceId | None
    cause: Cause | None
    trouble_since: float | None
    lease: Lease | None
    quiet_until: float
    ordered_at: float | None = None


class Action(Enum):
    """What to do now."""

    NONE = "none"
    CHANGE = "change the primary"
    TAKE_OVER = "take the lease over, then change the primary"


def decide(situation: Situation, now: float, timing: FailoverTiming) -> Action:
    """Return what the node does about the group's primary."""
    if situation.cause is None or situation.trouble_since is None:
        return Action.NONE
    if situation.ordered_at is not None and now - situation.ordered_at < timing.attempt_timeout:
        return Action.NONE
    lasted = now - situation.trouble_since
    lease = situation.lease
    if lease is not None and lease.holder == situation.node:
        if now < situation.quiet_until:
            # Created or claimed after a restore: the last holder of before may still act.
            return Action.NONE
        return Action.CHANGE if lasted >= _threshold(situation.cause, timing) else Action.NONE
    is_released = lease is not None and not lease.holder
    patience = _threshold(situation.cause, timing) + situation.rank * timing.rank_step
    if not is_released:
        patience += timing.takeover_delay
    if lasted < patience or now < situation.quiet_until:
        return Action.NONE
    return Action.TAKE_OVER


def is_suspicion_over(situation: Situation, now: float, timing: FailoverTiming) -> bool:
    """Whether the trouble has lasted so long that the lease's holder acts."""
    if situation.cause is None or situation.trouble_since is None:
        return False
    return now - situation.trouble_since >= _threshold(situation.cause, timing)


def _threshold(cause: Cause, timing: FailoverTiming) -> float:
    """Return how long the trouble must last before anything is done (seconds)."""
    if cause in (Cause.LEAVING, Cause.UNCONFIRMED, Cause.UNSETTLED):
        return 0.0
    return timing.lapse_timeout if cause is Cause.LAPSED else timing.suspicion_timeout


def quiet_time(
    known: Lease | None, found: Lease, is_first_read: bool, timing: FailoverTiming
) -> float:
    """Return for how long a lease that was just read must not be taken over (seconds).

    A lease that was written since it was last read: its holder acts, and gets the time of one
    change. One that is read for the first time since the trouble began may be old or new.
    """
    is_released = not found.holder
    if is_released or (known is not None and known.token == found.token):
        return 0.0
    return timing.lease_observation if is_first_read else timing.attempt_timeout
