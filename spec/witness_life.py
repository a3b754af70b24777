"""Members whose confirmations may renew a lease on a leader, with unreported restarts.

Member 0 leads term 1. A node uses it under a lease that members 1 and 2 renew; another node, which
cannot reach the leader, replaces it by one of them. A promotion does not depose the former leader.
A restarted member has forgotten its pause; a member that is down cannot be paused. Any replica may
restart at any step, the target of the change too.

A member's confirmation is valid if the group's lease in the store recorded no pending change at
some time since its start, or if it has been up for longer than a change takes and no change is
known to be pending. The orderer records the change in the lease before it pauses any member, waits
for the leases to end, checks every member again and orders. If the wait has taken so long that a
member which started meanwhile may be trusted by its uptime, the orderer begins anew.

Assumptions: an order is executed soon after that check or never; a member that is up learns of a
new leader before it has been up for `SETTLED_TICKS`; the orderer sees each registered member.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step, is_kept, replace_at

REPLICAS = (1, 2)
LEASE_TICKS = 2
ORDER_TICKS = 1
"""Maximum time from the last check to the execution of the order."""
SETTLED_TICKS = 4
"""Uptime after which a member's confirmation is valid by itself."""
NO_MEMBER = 0


class Replica(NamedTuple):
    """A member other than the first leader.

    `is_member`: whether it is registered. `is_held`: whether it is paused. `knows`: whether it
    knows the new leader. `uptime`: uptime in ticks, SETTLED_TICKS at most. `is_cleared`: the node
    has read since the start that no change is pending. `unpaused_reports`: members that have
    reported to the node not to be paused since this one started; only a mutation relies on them.
    """

    is_up: bool = True
    is_held: bool = False
    knows: bool = False
    uptime: int = SETTLED_TICKS
    is_cleared: bool = False
    unpaused_reports: frozenset[int] = frozenset()
    is_member: bool = True


class State(NamedTuple):
    """The replicas, the node's lease on the leader, and the change.

    `lease`: remaining ticks of the lease. `starts`: number of restarts that remain. `waited`: ticks
    that the orderer has waited, SETTLED_TICKS at most; None if it does not wait. `is_recorded`: the
    store records the change as pending. `is_known_pending`: the node has read that, and nothing
    later. `ordered`: target of the pending order. `left`: ticks until the order expires. `leader`:
    leader of term 2. `broken`: names of the violated invariants.
    """

    replicas: tuple[Replica, Replica] = (Replica(), Replica())
    lease: int = 0
    starts: int = 2
    waited: int | None = None
    is_recorded: bool = False
    is_known_pending: bool = False
    ordered: int = NO_MEMBER
    left: int = 0
    leader: int = NO_MEMBER
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield the steps that are possible in a state."""
    yield from _time(state)
    yield from _restarts(state)
    yield from _node(state, mutation)
    if state.leader == NO_MEMBER:
        yield from _change(state, mutation)


def _replica(state: State, member: int) -> Replica:
    return state.replicas[member - 1]


def _with(state: State, member: int, replica: Replica) -> State:
    return state._replace(replicas=replace_at(state.replicas, member - 1, replica))


def _time(state: State) -> Iterator[Step]:
    if state.ordered and not state.left:
        return
    unaware = [one for one in state.replicas if one.is_up and not one.knows]
    if state.leader and any(one.uptime + 1 >= SETTLED_TICKS for one in unaware):
        return
    replicas = tuple(
        one._replace(uptime=min(SETTLED_TICKS, one.uptime + 1)) for one in state.replicas
    )
    yield (
        "time passes",
        state._replace(
            replicas=replicas,
            lease=max(0, state.lease - 1),
            waited=None if state.waited is None else min(SETTLED_TICKS, state.waited + 1),
            left=max(0, state.left - 1),
        ),
    )


def _restarts(state: State) -> Iterator[Step]:
    for member in REPLICAS:
        replica = _replica(state, member)
        if not replica.is_member:
            continue
        if replica.is_up and state.starts and member != state.leader:
            ended = Replica(is_up=False, uptime=0)
            yield f"{member} ends", _with(state, member, ended)._replace(starts=state.starts - 1)
        if not replica.is_up:
            yield f"{member} starts", _with(state, member, Replica(uptime=0))
        if state.leader and replica.is_up and not replica.knows:
            follows = replica._replace(knows=True, is_held=False)
            yield f"{member} learns of the new leader", _with(state, member, follows)


def _node(state: State, mutation: str) -> Iterator[Step]:
    for member in REPLICAS:
        replica = _replica(state, member)
        if replica.is_up and not replica.is_held and not replica.knows:
            yield (
                f"{member} reports that it is not paused",
                _receive_report(state, member, mutation),
            )
    yield "the node reads the lease", _read_lease(state)
    if state.lease and state.leader:
        broken = state.broken | {"one_leader_acknowledges"}
        yield "the node writes at the former leader", state._replace(broken=broken)


def _read_lease(state: State) -> State:
    """Return the state after the node has read whether a change is pending.

    A lease that records a later leader clears nothing.
    """
    if state.is_recorded or state.leader:
        return state._replace(is_known_pending=state.is_recorded)
    replicas = tuple(one._replace(is_cleared=one.is_up) for one in state.replicas)
    return state._replace(replicas=replicas, is_known_pending=False)


def _receive_report(state: State, member: int, mutation: str) -> State:
    replicas = tuple(
        one._replace(unpaused_reports=one.unpaused_reports | {member}) if one.is_up else one
        for one in state.replicas
    )
    reported = state._replace(replicas=replicas)
    return (
        reported._replace(lease=LEASE_TICKS)
        if _is_confirmation_valid(reported, member, mutation)
        else reported
    )


def _is_confirmation_valid(state: State, member: int, mutation: str) -> bool:
    replica = _replica(state, member)
    if mutation == "count_any_word" or replica.is_cleared:
        return True
    if mutation == "settle_too_early":
        return replica.uptime >= ORDER_TICKS
    others = {other for other in REPLICAS if _replica(state, other).is_member} - {member}
    if mutation == "believe_all_others" and replica.unpaused_reports >= others:
        return True
    return replica.uptime >= SETTLED_TICKS and not state.is_known_pending


def _change(state: State, mutation: str) -> Iterator[Step]:
    up = [member for member in REPLICAS if _replica(state, member).is_up]
    unpaused = [member for member in up if not _replica(state, member).is_held]
    if state.ordered:
        yield from _carry_out(state)
        return
    yield from _record(state, mutation)
    may_pause = state.is_recorded or mutation in ("record_after_the_wait", "order_unrecorded")
    for member in unpaused if may_pause else []:
        paused = _replica(state, member)._replace(is_held=True)
        yield f"{member} is paused", _with(state, member, paused)._replace(waited=None)
    if state.waited is None and up and not unpaused and may_pause:
        yield "the orderer waits for the leases to end", state._replace(waited=0)
    may_order = state.is_recorded or mutation == "order_unrecorded"
    if _has_waited(state, mutation) and may_order and (not unpaused or mutation == "look_once"):
        for target in [member for member in up if member not in unpaused]:
            yield f"{target} is ordered", state._replace(ordered=target, left=ORDER_TICKS)


def _record(state: State, mutation: str) -> Iterator[Step]:
    if state.is_recorded:
        given_up = state._replace(is_recorded=False, waited=None)
        yield "the change is given up", given_up
    elif mutation != "record_after_the_wait" or _has_waited(state, mutation):
        yield "the change is recorded", state._replace(is_recorded=True)


def _has_waited(state: State, mutation: str) -> bool:
    """Whether the orderer may check the members now: the leases have ended, not too long ago."""
    if state.waited is None or state.waited < LEASE_TICKS:
        return False
    return state.waited < SETTLED_TICKS or mutation == "look_late"


def _carry_out(state: State) -> Iterator[Step]:
    if _replica(state, state.ordered).is_up:
        promoted = _replica(state, state.ordered)._replace(is_held=False, knows=True)
        after = _with(state, state.ordered, promoted)
        leader = state.ordered
        yield f"{leader} is promoted", after._replace(leader=leader, ordered=NO_MEMBER)
    expired = state._replace(ordered=NO_MEMBER, left=0, waited=None, is_recorded=False)
    yield "the order expires", expired


_INVARIANTS = {"one_leader_acknowledges": is_kept("one_leader_acknowledges")}
_BOUNDS = f"two starts, leases of {LEASE_TICKS} ticks, orders within {ORDER_TICKS}"
_MUTATIONS = {
    "count_any_word": "one_leader_acknowledges",
    "settle_too_early": "one_leader_acknowledges",
    "look_once": "one_leader_acknowledges",
    "order_unrecorded": "one_leader_acknowledges",
    "record_after_the_wait": "one_leader_acknowledges",
    "look_late": "one_leader_acknowledges",
    "believe_all_others": "one_leader_acknowledges",
}
_IN_GROUPS_OF_TWO = ("count_any_word", "settle_too_early", "order_unrecorded", "believe_all_others")

STARTS_AGAIN = Model(
    name="word of members that start again, which nobody tells",
    bounds=f"3 members, {_BOUNDS}",
    initial=State(),
    steps=steps,
    invariants=_INVARIANTS,
    mutations=_MUTATIONS,
)

COMES_BACK = Model(
    name="word of a member that was away when the others were paused",
    bounds=f"3 members, {_BOUNDS}",
    initial=State(replicas=(Replica(False, uptime=0), Replica()), starts=1),
    steps=steps,
    invariants=_INVARIANTS,
    mutations=_MUTATIONS,
)

SOLE_REPLICA = Model(
    name="word of the only replica, which is to be promoted",
    bounds=f"2 members, {_BOUNDS}",
    initial=State(replicas=(Replica(), Replica(False, uptime=0, is_member=False))),
    steps=steps,
    invariants=_INVARIANTS,
    mutations={name: _MUTATIONS[name] for name in _IN_GROUPS_OF_TWO},
)
