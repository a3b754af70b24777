"""Changes of primary of a group with one synchronous replica whose only copy may have left.

Member 0 leads term 1 and is replaced up to twice. A commit is acknowledged once any other member
has received it, whether it is registered or not. Members leave the registry, end, and come back
with their logs; a successor at a member's address is that member, come back. One node observes the
members, keeps the roster in the store, and orders changes. It may restart, and then knows only
what is registered and what the roster lists.

A member leaves the roster once the node saw that it had ended, the leader told the end of its log
after that, and another registered replica has received that. A change requires that each registered
replica is paused. There may be others that the roster lists or the node remembers: of one that can
be paused, the target has all that it reports; of another one, it has what the evidence above tells.

Assumptions: a commit is acknowledged as soon as it is received; a member is listed in the roster
when it registers; no node uses the former leader when its successor is promoted (`leader_lease`,
`witness_life`).
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step, is_kept, replace_at

MEMBERS = (0, 1, 2)
MAXIMUM_COMMITS = 2
MAXIMUM_TERM = 3
NOT_TOLD = -1

Log = tuple[int, ...]
"""Terms of the entries. Two logs that have the same term at a position agree up to it."""


class Member(NamedTuple):
    """A database.

    `term`: the newest term in which it has received. `is_ended_seen`: the node has seen that it
    ended. `told`: length of the leader's log that the node was told after that, or NOT_TOLD.
    """

    log: Log = ()
    term: int = 1
    is_up: bool = True
    is_registered: bool = True
    is_paused: bool = False
    is_ended_seen: bool = False
    told: int = NOT_TOLD


class State(NamedTuple):
    """The members, the roster, and what the node knows.

    `acknowledged`: the longest acknowledged prefix of a leader's log. `remembered`: members that
    were registered since the node's start. `ends`, `returns`, `starts`: how many members may still
    end and come back, and how often the node may restart. `broken`: violated invariants.
    """

    members: tuple[Member, ...] = (Member(), Member(), Member())
    leader: int = 0
    term: int = 1
    acknowledged: Log = ()
    roster: frozenset[int] = frozenset(MEMBERS)
    remembered: frozenset[int] = frozenset(MEMBERS)
    ends: int = 2
    returns: int = 1
    starts: int = 1
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield the steps that are possible in a state."""
    yield from _commits(state)
    for member in MEMBERS:
        yield from _comings_and_goings(state, member, mutation)
        yield from _observations(state, member, mutation)
    if state.starts:
        yield "the node restarts", _restarted(state)
    if state.term < MAXIMUM_TERM:
        yield from _change(state, mutation)


def _with(state: State, member: int, found: Member) -> State:
    return state._replace(members=replace_at(state.members, member, found))


def _replicas(state: State) -> list[int]:
    return [member for member in MEMBERS if member != state.leader]


def _commits(state: State) -> Iterator[Step]:
    leader = state.members[state.leader]
    if not leader.is_up:
        return
    if len(leader.log) < MAXIMUM_COMMITS:
        longer = leader._replace(log=(*leader.log, state.term))
        yield "the leader commits", _with(state, state.leader, longer)
    for member in _replicas(state):
        replica = state.members[member]
        is_behind = (replica.log, replica.term) != (leader.log, state.term)
        if replica.is_up and not replica.is_paused and is_behind:
            received = replica._replace(log=leader.log, term=state.term)
            yield (
                f"{member} receives, and the leader acknowledges",
                _with(state, member, received)._replace(acknowledged=leader.log),
            )


def _comings_and_goings(state: State, member: int, mutation: str) -> Iterator[Step]:
    found = state.members[member]
    if found.is_registered and state.ends:
        yield (
            f"{member} leaves the registry",
            _with(state, member, found._replace(is_registered=False)),
        )
    if found.is_up and state.ends:
        ended = found._replace(is_up=False, is_paused=False)
        yield f"{member} ends", _with(state, member, ended)._replace(ends=state.ends - 1)
    if not found.is_up and state.returns:
        back = Member(found.log, found.term)
        roster = state.roster if mutation == "unlisted_arrival" else state.roster | {member}
        yield (
            f"{member} comes back",
            _with(state, member, back)._replace(
                returns=state.returns - 1,
                roster=roster,
                remembered=state.remembered | {member},
            ),
        )


def _observations(state: State, member: int, mutation: str) -> Iterator[Step]:
    found = state.members[member]
    if found.is_registered or member == state.leader:
        return
    if not found.is_up and not found.is_ended_seen:
        yield (
            f"the node sees that {member} ended",
            _with(state, member, found._replace(is_ended_seen=True)),
        )
    leader = state.members[state.leader]
    may_ask = found.is_ended_seen or mutation == "told_before_the_end"
    if leader.is_up and may_ask and found.told < len(leader.log):
        told = found._replace(told=len(leader.log))
        yield "the leader tells the end of its log", _with(state, member, told)
    if member in state.roster and _is_ended_and_told(found):
        others = MEMBERS if mutation == "leader_covers" else _replicas(state)
        reached = [
            other
            for other in others
            if state.members[other].is_registered and _has_reached(state, other, found.told)
        ]
        if reached or mutation == "covered_by_nobody":
            yield f"{member} leaves the roster", state._replace(roster=state.roster - {member})


def _is_ended_and_told(member: Member) -> bool:
    return member.is_ended_seen and member.told != NOT_TOLD


def _has_reached(state: State, member: int, length: int) -> bool:
    found = state.members[member]
    return found.term == state.term and len(found.log) >= length


def _restarted(state: State) -> State:
    members = tuple(one._replace(is_ended_seen=False, told=NOT_TOLD) for one in state.members)
    registered = frozenset(one for one in MEMBERS if members[one].is_registered)
    return state._replace(members=members, remembered=registered, starts=state.starts - 1)


def _change(state: State, mutation: str) -> Iterator[Step]:
    replicas = _replicas(state)
    for member in replicas:
        found = state.members[member]
        if found.is_up and not found.is_paused:
            yield f"{member} is paused", _with(state, member, found._replace(is_paused=True))
    if any(state.members[member].is_paused for member in replicas):
        members = tuple(one._replace(is_paused=False) for one in state.members)
        yield "the change is given up", state._replace(members=members)
    registered = [member for member in replicas if state.members[member].is_registered]
    candidates = [one for one in registered if state.members[one].term == state.term]
    if not candidates or not all(state.members[one].is_paused for one in registered):
        return
    target = max(candidates, key=lambda one: (state.members[one].log, one))
    others = set(replicas) - set(registered)
    listed = state.remembered if mutation == "no_roster" else state.roster
    if mutation != "registered_alone":
        others &= listed
        if not all(_is_covered(state, target, other, mutation) for other in others):
            return
    yield f"{target} is promoted", _promoted(state, target)


def _is_covered(state: State, target: int, member: int, mutation: str) -> bool:
    """Whether the target has all that an unregistered member may hold alone."""
    found = state.members[member]
    log = state.members[target].log
    if found.is_up:
        is_compared = mutation != "not_compared"
        return found.is_paused and (not is_compared or _position(found.log) <= _position(log))
    if mutation == "ended_is_covered":
        return True
    return _is_ended_and_told(found) and len(log) >= found.told


def _position(log: Log) -> tuple[int, int]:
    return (log[-1], len(log)) if log else (0, 0)


def _promoted(state: State, target: int) -> State:
    log = state.members[target].log
    is_whole = log[: len(state.acknowledged)] == state.acknowledged
    broken = state.broken if is_whole else state.broken | {"acknowledged_commits_survive"}
    term = state.term + 1
    members = tuple(one._replace(is_paused=False, told=NOT_TOLD) for one in state.members)
    leader = members[target]._replace(term=term)
    return state._replace(
        members=replace_at(members, target, leader), leader=target, term=term, broken=broken
    )


MUTATIONS = (
    "ended_is_covered",
    "no_roster",
    "registered_alone",
    "told_before_the_end",
    "covered_by_nobody",
    "leader_covers",
    "not_compared",
    "unlisted_arrival",
)
INVARIANTS = {"acknowledged_commits_survive": is_kept("acknowledged_commits_survive")}

ONLY_COPY = Model(
    name="only copy of a commit",
    bounds="3 members, 2 commits, 2 changes, 2 ends, 1 return, 1 restart of the node",
    initial=State(),
    steps=steps,
    invariants=INVARIANTS,
    mutations=dict.fromkeys(MUTATIONS, "acknowledged_commits_survive"),
)
ONLY_COPY_OF_TWO = Model(
    name="only copy of a commit, group of two",
    bounds="2 members and 1 that joins, 2 commits, 2 changes, 2 ends, 1 return, 1 restart",
    initial=State(
        members=(Member(), Member(is_up=False, is_registered=False), Member()),
        roster=frozenset({0, 2}),
        remembered=frozenset({0, 2}),
    ),
    steps=steps,
    invariants=INVARIANTS,
    mutations=dict.fromkeys(
        (one for one in MUTATIONS if one != "told_before_the_end"), "acknowledged_commits_survive"
    ),
)
