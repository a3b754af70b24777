"""When a node changes the primary of a group.

The lease holder acts first. Another node takes the lease over if the trouble lasts and the lease
has not been written meanwhile. A holder writes the lease before each change, so a holder that does
not write has failed, is cut off from the store, or does not observe the trouble. Times are seconds
of the monotonic clock.
"""

from dataclasses import dataclass
from enum import Enum

from bramblebeam.core.failover.lease import Lease
from bramblebeam.core.identity import InstanceId, NodeId


class Cause(Enum):
    """Why the primary is to be changed."""

    LOST = "lost"
    """No database responds as the leader."""
    LEAVING = "leaving"
    """The leader's server reports that it is leaving."""
    LAPSED = "lapsed"
    """The leader's registration expired: it left unannounced, or it will register again."""
    STALLED = "stalled"
    """The leader responds but acknowledges no writes: too few replicas receive them."""
    UNCONFIRMED = "unconfirmed"
    """The leader responds but no member confirms a lease on it: the members were left paused."""
    UNSETTLED = "unsettled"
    """The leader is not the ordered one, and the order may still be carried out."""


@dataclass(frozen=True, slots=True)
class FailoverTiming:
    """Time limits of a change of primary (seconds).

    `suspicion_timeout`: how long a leader must be missing before the lease holder acts.
    `lapse_timeout`: the same if only its registration is missing. It is longer because all
    registrations expire while the store is unavailable, and return with it. `takeover_delay`: how
    much longer the trouble must last before a node acts that is not the holder. `rank_step`: added
    to that per rank of the node. `lease_observation`: how long the lease of another node must have
    been observed unchanged. `order_window`: how long after its lease write a holder may begin an
    order, so that the order is sent before the `lease_observation` of other nodes ends.
    `attempt_timeout`: how long one change may take before it is attempted again.
    `any_member_after`: after this long without a primary, a group with asynchronous replication
    accepts any member, even if its log may be old.
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
    """What a node knows about a group when it decides on a change of primary.

    `rank`: position of the node in the group's takeover order, from 0. `trouble_since`: when the
    trouble began, or None. `quiet_until`: until when the lease must not be taken over (see
    `quiet_time`), nor used after the store was restored from a copy. `ordered_at`: when this node
    last ordered a promotion that may still take effect.
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
    """What a node does about the primary now."""

    NONE = "none"
    CHANGE = "change the primary"
    TAKE_OVER = "take the lease over, then change the primary"


def decide(situation: Situation, now: float, timing: FailoverTiming) -> Action:
    """Return the action of the node in this situation."""
    if situation.cause is None or situation.trouble_since is None:
        return Action.NONE
    if situation.ordered_at is not None and now - situation.ordered_at < timing.attempt_timeout:
        return Action.NONE
    elapsed = now - situation.trouble_since
    lease = situation.lease
    if lease is not None and lease.holder == situation.node:
        if now < situation.quiet_until:
            # The lease was created, or claimed after a restore: a former holder may still act.
            return Action.NONE
        return Action.CHANGE if elapsed >= _holder_wait(situation.cause, timing) else Action.NONE
    is_released = lease is not None and not lease.holder
    wait = _holder_wait(situation.cause, timing) + situation.rank * timing.rank_step
    if not is_released:
        wait += timing.takeover_delay
    if elapsed < wait or now < situation.quiet_until:
        return Action.NONE
    return Action.TAKE_OVER


def is_suspicion_over(situation: Situation, now: float, timing: FailoverTiming) -> bool:
    """Whether the trouble has lasted long enough for the lease holder to act."""
    if situation.cause is None or situation.trouble_since is None:
        return False
    return now - situation.trouble_since >= _holder_wait(situation.cause, timing)


def _holder_wait(cause: Cause, timing: FailoverTiming) -> float:
    """Return how long the trouble must last before the lease holder acts (seconds)."""
    if cause in (Cause.LEAVING, Cause.UNCONFIRMED, Cause.UNSETTLED):
        return 0.0
    return timing.lapse_timeout if cause is Cause.LAPSED else timing.suspicion_timeout


def quiet_time(
    known: Lease | None, found: Lease, is_first_read: bool, timing: FailoverTiming
) -> float:
    """Return for how long a lease that was just read must not be taken over (seconds).

    If the lease was written since the previous read, its holder is acting and gets the time of one
    change. A lease that is read for the first time since the trouble began may be old or new.
    """
    is_released = not found.holder
    if is_released or (known is not None and known.token == found.token):
        return 0.0
    return timing.lease_observation if is_first_read else timing.attempt_timeout
