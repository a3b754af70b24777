"""Members whose confirmations may renew a lease on a leader, with unreported restarts.

Member 0 leads term 1. A node uses it under a lease that members 1 and 2 renew; another node, which
cannot reach the leader, replaces it by one of them. A promotion does not depose the former leader.
A restarted member has forgotten its pause; a member that is down cannot be paused.

A member's confirmation is valid if every other member has reported since its start not to be
paused, or if it has been up for longer than a change takes. The orderer checks every member again
before the order.

Assumptions: an order is executed soon after that check or never; a member that is up learns of a
new leader before it has been up for `SETTLED_TICKS`. Only one member restarts.
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
ALL = frozenset(REPLICAS)


class Replica(NamedTuple):
    """A member other than the first leader.

    `is_held`: whether it is paused. `knows`: whether it knows the new leader. `uptime`: uptime in
    ticks, SETTLED_TICKS at most. `unpaused_reports`: members that have reported to the node not to
    be paused since this one started.
    """

    is_up: bool = True
    is_held: bool = False
    knows: bool = False
    uptime: int = SETTLED_TICKS
    unpaused_reports: frozenset[int] = ALL


class State(NamedTuple):
    """The replicas, the node's lease and the change.

    `lease`: remaining ticks of the lease. `starts`: number of restarts that remain. `wait`:
    remaining ticks of the orderer's wait, None if it does not wait. `ordered`: target of the
    pending order. `left`: ticks until the order expires. `leader`: leader of term 2. `broken`:
    names of the violated invariants.
    """

    replicas: tuple[Replica, Replica] = (Replica(), Replica())
    lease: int = 0
    starts: int = 1
    wait: int | None = None
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
            wait=None if state.wait is None else max(0, state.wait - 1),
            left=max(0, state.left - 1),
        ),
    )


def _restarts(state: State) -> Iterator[Step]:
    for member in REPLICAS:
        replica = _replica(state, member)
        if replica.is_up and state.starts and member != state.leader:
            ended = Replica(is_up=False, uptime=0, unpaused_reports=frozenset())
            yield f"{member} ends", _with(state, member, ended)._replace(starts=state.starts - 1)
        if not replica.is_up:
            started = Replica(uptime=0, unpaused_reports=frozenset())
            yield f"{member} starts", _with(state, member, started)
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
    if state.lease and state.leader:
        broken = state.broken | {"one_leader_acknowledges"}
        yield "the node writes at the former leader", state._replace(broken=broken)


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
    if mutation == "count_any_word" or replica.uptime >= SETTLED_TICKS:
        return True
    if mutation == "settle_too_early":
        return replica.uptime >= ORDER_TICKS
    return replica.unpaused_reports == ALL


def _change(state: State, mutation: str) -> Iterator[Step]:
    up = [member for member in REPLICAS if _replica(state, member).is_up]
    unpaused = [member for member in up if not _replica(state, member).is_held]
    for member in unpaused:
        paused = _replica(state, member)._replace(is_held=True)
        wait = state.wait if mutation == "go_on_waiting" else None
        yield f"{member} is paused", _with(state, member, paused)._replace(wait=wait)
    if state.ordered:
        if _replica(state, state.ordered).is_up:
            promoted = _replica(state, state.ordered)._replace(is_held=False, knows=True)
            after = _with(state, state.ordered, promoted)
            leader = state.ordered
            yield f"{leader} is promoted", after._replace(leader=leader, ordered=NO_MEMBER)
        yield "the order expires", state._replace(ordered=NO_MEMBER, left=0, wait=None)
        return
    if state.wait is None and up and not unpaused:
        yield "the orderer waits for the leases to end", state._replace(wait=LEASE_TICKS)
    if state.wait == 0 and (not unpaused or mutation == "look_once"):
        for target in [member for member in up if member not in unpaused]:
            yield f"{target} is ordered", state._replace(ordered=target, left=ORDER_TICKS)


_INVARIANTS = {"one_leader_acknowledges": is_kept("one_leader_acknowledges")}
_BOUNDS = f"3 members, one start, leases of {LEASE_TICKS} ticks, orders within {ORDER_TICKS}"

STARTS_AGAIN = Model(
    name="word of a member that starts again, which nobody tells",
    bounds=_BOUNDS,
    initial=State(),
    steps=steps,
    invariants=_INVARIANTS,
    mutations={
        "count_any_word": "one_leader_acknowledges",
        "settle_too_early": "one_leader_acknowledges",
        "look_once": "one_leader_acknowledges",
        "go_on_waiting": "one_leader_acknowledges",
    },
)

COMES_BACK = Model(
    name="word of a member that was away when the others were paused",
    bounds=_BOUNDS,
    initial=State(
        replicas=(Replica(False, uptime=0, unpaused_reports=frozenset()), Replica()), starts=0
    ),
    steps=steps,
    invariants=_INVARIANTS,
    mutations={
        "count_any_word": "one_leader_acknowledges",
        "settle_too_early": "one_leader_acknowledges",
        "look_once": "one_leader_acknowledges",
        "go_on_waiting": "one_leader_acknowledges",
    },
)
