"""A node whose list of members is old, or lacks one that is promoted.

Member 0 leads term 1. A node uses it under a lease. Members 1 and 2 may end, leave the node's list
and come back; the node learns of that from the store only while it is not cut off from it. Another
node, which cannot reach the leader, pauses the members that it reaches and promotes one; that does
not depose the former leader. It may ignore a member that looks ended to it, and then waits longer.

The node's lease is confirmed by a listed member that reports not to be paused, while every other
member that may be promoted was accounted for lately: seen unpaused or ended, or the store showed
no pending change. Where no other member is listed, only the store confirms the lease.

Assumptions: a member that left the list of a node which is not cut off from the store, and is still
unlisted there, is not promoted; the mutation `forget_departed` drops a member at once, as if that
held for a node that is cut off. A member that the node never met does not register while the node
is cut off and every member that it lists is ignored by the change.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step, is_kept, replace_at

REPLICAS = (1, 2)
LEASE_TICKS = 2
SIGHTING_TICKS = 3
MAXIMUM_WAIT = LEASE_TICKS + SIGHTING_TICKS
NO_MEMBER = 0


class Replica(NamedTuple):
    """A member other than the first leader.

    `is_listed`: whether it is in the node's list. `is_registered`: whether it is in the store's.
    `is_held`: whether it is paused. `sighting`: remaining ticks for which the node has accounted
    for it. `is_departed`: it left the node's list.
    """

    is_up: bool = True
    is_listed: bool = True
    is_registered: bool = True
    is_held: bool = False
    is_departed: bool = False
    sighting: int = 0


class State(NamedTuple):
    """The replicas, the node and the change.

    `lease`: remaining ticks of the node's lease. `clear`: remaining ticks for which the store's
    answer accounts for all members. `is_cut`: the node is cut off from the store. `ends`: number of
    ends of a replica that remain. `is_recorded`: the store records the change as pending. `waited`:
    ticks since all members that the change reaches are paused. `ignored`: the member that it does
    not reach. `leader`: leader of term 2. `broken`: names of the violated invariants.
    """

    replicas: tuple[Replica, Replica] = (Replica(), Replica())
    lease: int = 0
    clear: int = 0
    is_cut: bool = False
    ends: int = 2
    is_recorded: bool = False
    waited: int | None = None
    ignored: int = NO_MEMBER
    leader: int = NO_MEMBER
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield the steps that are possible in a state."""
    yield _TICK, _after_a_tick(state)
    if not state.is_cut:
        yield "the node is cut off from the store", state._replace(is_cut=True)
    yield from _lives(state)
    yield from _node(state, mutation)
    if state.leader == NO_MEMBER:
        yield from _change(state, mutation)


_TICK = "time passes"


def _replica(state: State, member: int) -> Replica:
    return state.replicas[member - 1]


def _with(state: State, member: int, replica: Replica) -> State:
    return state._replace(replicas=replace_at(state.replicas, member - 1, replica))


def _after_a_tick(state: State) -> State:
    replicas = tuple(one._replace(sighting=max(0, one.sighting - 1)) for one in state.replicas)
    return state._replace(
        replicas=replicas,
        lease=max(0, state.lease - 1),
        clear=max(0, state.clear - 1),
        waited=None if state.waited is None else min(MAXIMUM_WAIT, state.waited + 1),
    )


def _lives(state: State) -> Iterator[Step]:
    """Yield ends and returns of replicas, and what the node's list tells of them.

    They all come before the change: restarts during it are the subject of `witness_life`.
    """
    for member in REPLICAS:
        one = _replica(state, member)
        if state.is_recorded or state.leader:
            continue
        if one.is_up and state.ends:
            ended = one._replace(is_up=False, is_registered=False, is_held=False)
            yield f"{member} ends", _with(state, member, ended)._replace(ends=state.ends - 1)
        if not one.is_up:
            back = one._replace(is_up=True, is_registered=True)
            yield f"{member} is back", _with(state, member, back)
        if not state.is_cut and one.is_listed != one.is_registered:
            listed = one._replace(is_listed=one.is_registered, is_departed=not one.is_registered)
            yield f"the node learns of {member}", _with(state, member, listed)


def _node(state: State, mutation: str) -> Iterator[Step]:
    listed = [member for member in REPLICAS if _replica(state, member).is_listed]
    for member in REPLICAS:
        one = _replica(state, member)
        if not one.is_up and (one.is_listed or one.is_departed):
            seen = one._replace(sighting=SIGHTING_TICKS)
            yield f"the node sees that {member} has ended", _with(state, member, seen)
        if member in listed and one.is_up and not one.is_held and member != state.leader:
            seen = one._replace(sighting=SIGHTING_TICKS)
            reported = _with(state, member, seen)
            confirms = state.clear or all(
                _replica(state, other).sighting
                for other in REPLICAS
                if other != member and _must_account_for(state, other, mutation)
            )
            yield (
                f"{member} reports that it is not paused",
                reported._replace(lease=LEASE_TICKS) if confirms else reported,
            )
    if not listed and mutation == "trust_an_empty_list":
        yield "no member is listed", state._replace(lease=LEASE_TICKS)
    if not state.is_cut and _is_store_clear(state, mutation):
        lease = LEASE_TICKS if not listed else state.lease
        yield "the store shows no change", state._replace(lease=lease, clear=SIGHTING_TICKS)
    if state.lease and state.leader:
        broken = state.broken | {"one_leader_acknowledges"}
        yield "the node writes at the former leader", state._replace(broken=broken)


def _must_account_for(state: State, member: int, mutation: str) -> bool:
    one = _replica(state, member)
    return one.is_listed or (one.is_departed and mutation != "forget_departed")


def _is_store_clear(state: State, mutation: str) -> bool:
    if mutation == "ignore_the_record":
        return True
    return not state.is_recorded and state.leader == NO_MEMBER


def _change(state: State, mutation: str) -> Iterator[Step]:
    up = [member for member in REPLICAS if _replica(state, member).is_up]
    reached = [member for member in up if member != state.ignored]
    if not state.is_recorded:
        for ignored in (NO_MEMBER, *up):
            if len([member for member in up if member != ignored]) > 0:
                yield (
                    f"a change that ignores {ignored} is recorded",
                    state._replace(is_recorded=True, ignored=ignored),
                )
        return
    unpaused = [member for member in reached if not _replica(state, member).is_held]
    for member in unpaused:
        paused = _replica(state, member)._replace(is_held=True)
        yield f"{member} is paused", _with(state, member, paused)
    if not unpaused and state.waited is None:
        yield "the orderer waits", state._replace(waited=0)
    if state.waited is not None and state.waited >= _wait(state, mutation):
        for target in reached:
            yield f"{target} is promoted", state._replace(leader=target)


def _wait(state: State, mutation: str) -> int:
    is_long = state.ignored != NO_MEMBER and mutation != "wait_for_leases_only"
    return MAXIMUM_WAIT if is_long else LEASE_TICKS


_BREAKS = "one_leader_acknowledges"

MODEL = Model(
    name="lease of a node whose list lacks the member that is promoted",
    bounds=f"3 members, two ends, leases of {LEASE_TICKS} ticks, sightings of {SIGHTING_TICKS}",
    initial=State(),
    steps=steps,
    invariants={_BREAKS: is_kept(_BREAKS)},
    mutations={
        "trust_an_empty_list": _BREAKS,
        "forget_departed": _BREAKS,
        "ignore_the_record": _BREAKS,
        "wait_for_leases_only": _BREAKS,
    },
)
