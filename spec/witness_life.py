"""Whose word renews a lease on a leader where members start again and nobody tells.

Member 0 leads term 1. A node uses it under a lease that members 1 and 2 renew; another node, which
can't reach the leader, replaces it by one of them. A promotion takes nothing from the former one.
A member that starts again has forgotten that it was paused; one that is away can't be paused.

A member's word counts if every other member was heard to be free since its life began, or if it has
lived for longer than a change takes. Who orders looks at every member once more before the order.

Taken for granted: an order is carried out soon after that look, or never; a member that is up hears
of a new leader before it has lived for `SETTLED_TICKS`. Only one member starts again.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step, is_kept, replace_at

REPLICAS = (1, 2)
LEASE_TICKS = 2
ORDER_TICKS = 1
"""So long after the last look an order is carried out at the latest."""
SETTLED_TICKS = 4
NOBODY = 0
ALL = frozenset(REPLICAS)


class Replica(NamedTuple):
    """A member beside the first leader.

    `is_held`: it was paused. `knows`: it has heard of the new leader. `age`: how long it has lived.
    `heard`: who was heard to be free since, as the node knows.
    """

    is_up: bool = True
    is_held: bool = False
    knows: bool = False
    age: int = SETTLED_TICKS
    heard: frozenset[int] = ALL


class State(NamedTuple):
    """`lease`: ticks for which the node may use the leader. `starts`: so often may replicas start.

    `wait`: ticks that the orderer still waits, None: it does not. `ordered`: the target, and `left`
    the ticks until the order comes too late. `leader`: who leads term 2.
    """

    replicas: tuple[Replica, Replica] = (Replica(), Replica())
    lease: int = 0
    starts: int = 1
    wait: int | None = None
    ordered: int = NOBODY
    left: int = 0
    leader: int = NOBODY
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Return what may happen next."""
    yield from _time(state)
    yield from _starts(state)
    yield from _node(state, mutation)
    if state.leader == NOBODY:
        yield from _change(state, mutation)


def _replica(state: State, member: int) -> Replica:
    return state.replicas[member - 1]


def _with(state: State, member: int, replica: Replica) -> State:
    return state._replace(replicas=replace_at(state.replicas, member - 1, replica))


def _time(state: State) -> Iterator[Step]:
    if state.ordered and not state.left:
        return
    unaware = [one for one in state.replicas if one.is_up and not one.knows]
    if state.leader and any(one.age + 1 >= SETTLED_TICKS for one in unaware):
        return
    replicas = tuple(one._replace(age=min(SETTLED_TICKS, one.age + 1)) for one in state.replicas)
    yield (
        "time passes",
        state._replace(
            replicas=replicas,
            lease=max(0, state.lease - 1),
            wait=None if state.wait is None else max(0, state.wait - 1),
            left=max(0, state.left - 1),
        ),
    )


def _starts(state: State) -> Iterator[Step]:
    for member in REPLICAS:
        replica = _replica(state, member)
        if replica.is_up and state.starts and member != state.leader:
            ended = Replica(is_up=False, age=0, heard=frozenset())
            yield f"{member} ends", _with(state, member, ended)._replace(starts=state.starts - 1)
        if not replica.is_up:
            started = Replica(age=0, heard=frozenset())
            yield f"{member} starts", _with(state, member, started)
        if state.leader and replica.is_up and not replica.knows:
            follows = replica._replace(knows=True, is_held=False)
            yield f"{member} hears of the new leader", _with(state, member, follows)


def _node(state: State, mutation: str) -> Iterator[Step]:
    for member in REPLICAS:
        replica = _replica(state, member)
        if replica.is_up and not replica.is_held and not replica.knows:
            yield f"the node hears that {member} is free", _heard(state, member, mutation)
    if state.lease and state.leader:
        broken = state.broken | {"one_leader_acknowledges"}
        yield "the node writes at the former leader", state._replace(broken=broken)


def _heard(state: State, member: int, mutation: str) -> State:
    replicas = tuple(
        one._replace(heard=one.heard | {member}) if one.is_up else one for one in state.replicas
    )
    told = state._replace(replicas=replicas)
    return told._replace(lease=LEASE_TICKS) if _counts(told, member, mutation) else told


def _counts(state: State, member: int, mutation: str) -> bool:
    replica = _replica(state, member)
    if mutation == "count_any_word" or replica.age >= SETTLED_TICKS:
        return True
    if mutation == "settle_too_early":
        return replica.age >= ORDER_TICKS
    return replica.heard == ALL


def _change(state: State, mutation: str) -> Iterator[Step]:
    up = [member for member in REPLICAS if _replica(state, member).is_up]
    free = [member for member in up if not _replica(state, member).is_held]
    for member in free:
        paused = _replica(state, member)._replace(is_held=True)
        wait = state.wait if mutation == "go_on_waiting" else None
        yield f"{member} is paused", _with(state, member, paused)._replace(wait=wait)
    if state.ordered:
        if _replica(state, state.ordered).is_up:
            promoted = _replica(state, state.ordered)._replace(is_held=False, knows=True)
            after = _with(state, state.ordered, promoted)
            leader = state.ordered
            yield f"{leader} is promoted", after._replace(leader=leader, ordered=NOBODY)
        yield "the order comes to nothing", state._replace(ordered=NOBODY, left=0, wait=None)
        return
    if state.wait is None and up and not free:
        yield "the orderer waits for the leases to end", state._replace(wait=LEASE_TICKS)
    if state.wait == 0 and (not free or mutation == "look_once"):
        for target in [member for member in up if member not in free]:
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
    initial=State(replicas=(Replica(False, age=0, heard=frozenset()), Replica()), starts=0),
    steps=steps,
    invariants=_INVARIANTS,
    mutations={
        "count_any_word": "one_leader_acknowledges",
        "settle_too_early": "one_leader_acknowledges",
        "look_once": "one_leader_acknowledges",
        "go_on_waiting": "one_leader_acknowledges",
    },
)
