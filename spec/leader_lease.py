"""Node leases on a leader, for promotions that do not depose the former leader.

Three members, two nodes and one orderer of changes. A node uses a leader under its own lease. A
member other than the leader renews the lease as long as no change was reported to that member. The
orderer of a change either demotes the old leader first, or pauses every other member and waits
until each lease has expired. Any message may be lost or late, so that any of the nodes may reach
only the old leader: the step is then not taken.

A restarted member has forgotten its pause and all terms. Its confirmation is valid only for leaders
of terms newer than the newest term at its restart.

A member whose registration lapsed is not paused, and may return before the promotion is executed.
By then, the nodes have promised to use no leader of a former term.

Assumptions: a promise is valid until its node learns of the new term, or the promotion can no
longer happen; a pause lasts until the member follows a leader of that term, or restarts; a node
that observes a restart knows the newest term that existed before it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step, is_kept, replace_at

MEMBERS = (0, 1, 2)
NODES = (0, 1)
LEASE_TICKS = 2
MAXIMUM_TERM = 3
NO_MEMBER = -1
FIRST_LEADER = 0
"""The leader that an orderer may believe to be current if it was cut off since."""


class NodeLease(NamedTuple):
    """A node's lease on the leader of one term. `ticks`: remaining validity."""

    leader: int = NO_MEMBER
    term: int = 0
    ticks: int = 0


class State(NamedTuple):
    """The state of the members, the nodes and the orderer of changes.

    `leads`: term that each member leads, 0 for none. `follows`: newest term that each member knows.
    `held`: term of the pause of each member, 0 for none; it receives only from leaders of that term
    or above. `leases`: lease of each node. `sending`: writes that were checked but not sent, as
    (node, lease). `wait`: remaining ticks of the orderer's wait, None if it does not wait.
    `ordered`: targets of pending promotions. `newest`: newest term. `acknowledged`: newest term
    with an acknowledged write. `starts`: number of restarts that remain. `forgot`: newest term at
    each member's last restart. `lapses`: number of registrations that may still lapse. `lapsed`:
    whether each member's registration has lapsed, so that it confirms nothing and is not paused.
    `promises`: term below which each node has promised to use no leader, 0 for none. `broken`:
    names of the violated invariants.
    """

    leads: tuple[int, ...] = (1, 0, 0)
    follows: tuple[int, ...] = (1, 1, 1)
    held: tuple[int, ...] = (0, 0, 0)
    leases: tuple[NodeLease, ...] = (NodeLease(), NodeLease())
    sending: frozenset[tuple[int, NodeLease]] = frozenset()
    wait: int | None = None
    ordered: frozenset[int] = frozenset()
    newest: int = 1
    acknowledged: int = 0
    starts: int = 0
    forgot: tuple[int, ...] = (0, 0, 0)
    lapses: int = 0
    lapsed: tuple[bool, ...] = (False, False, False)
    promises: tuple[int, ...] = (0, 0)
    broken: frozenset[str] = frozenset()


def make_steps(deposes: bool, maximum_term: int = MAXIMUM_TERM):  # type: ignore[no-untyped-def]
    """Return the step function. `deposes`: whether a promotion demotes the former leader."""

    def steps(state: State, mutation: str) -> Iterator[Step]:
        yield from _time(state)
        yield from _renewals(state, mutation)
        yield from _operations(state, mutation)
        if state.newest < maximum_term:
            yield from _changes(state, mutation)
        yield from _platform(state, deposes)
        yield from _restarts(state)
        yield from _registrations(state)

    return steps


def _registrations(state: State) -> Iterator[Step]:
    """Yield lapses and returns of a member's registration."""
    for member in MEMBERS:
        if state.lapsed[member]:
            lapsed = replace_at(state.lapsed, member, False)
            yield f"{member} is registered again", state._replace(lapsed=lapsed)
        elif state.lapses:
            lapsed = replace_at(state.lapsed, member, True)
            left = state.lapses - 1
            yield f"{member} is no longer registered", state._replace(lapsed=lapsed, lapses=left)


def _restarts(state: State) -> Iterator[Step]:
    """Yield restarts, after which a member learns of any leader that it reaches."""
    for member in MEMBERS:
        if state.starts:
            yield f"{member} restarts", _restart(state, member)
        for term in state.leads:
            if state.forgot[member] and state.leads[member] == 0 and term > state.follows[member]:
                follows = replace_at(state.follows, member, term)
                yield f"{member} learns of a leader of term {term}", state._replace(follows=follows)


def _restart(state: State, member: int) -> State:
    return state._replace(
        leads=replace_at(state.leads, member, 0),
        follows=replace_at(state.follows, member, 0),
        held=replace_at(state.held, member, 0),
        forgot=replace_at(state.forgot, member, state.newest),
        starts=state.starts - 1,
    )


def _time(state: State) -> Iterator[Step]:
    leases = tuple(lease._replace(ticks=max(0, lease.ticks - 1)) for lease in state.leases)
    wait = None if state.wait is None else max(0, state.wait - 1)
    yield "time passes", state._replace(leases=leases, wait=wait)


def _renewals(state: State, mutation: str) -> Iterator[Step]:
    for node in NODES:
        for leader in MEMBERS:
            term = state.leads[leader]
            if term < state.promises[node] and mutation != "forget_the_promise":
                continue
            if term and _has_witness(state, leader, term, mutation):
                lease = NodeLease(leader, term, LEASE_TICKS)
                leases = replace_at(state.leases, node, lease)
                yield f"node {node} renews its lease on {leader}", state._replace(leases=leases)


def _has_witness(state: State, leader: int, term: int, mutation: str) -> bool:
    if mutation == "trust_the_leader":
        return True
    return any(
        (state.forgot[member] < term or mutation == "trust_a_restarted_member")
        and (state.held[member] <= term or mutation == "ignore_held_term")
        and (state.follows[member] <= term or mutation == "ignore_newer_term")
        for member in MEMBERS
        if member != leader and not state.lapsed[member]
    )


def _operations(state: State, mutation: str) -> Iterator[Step]:
    for node, lease in enumerate(state.leases):
        if lease.ticks == 0:
            continue
        yield f"node {node} reads the latest at {lease.leader}", _read(state, lease)
        if mutation == "check_before_queue":
            sending = state.sending | {(node, lease)}
            yield f"node {node} checks its lease", state._replace(sending=sending)
        else:
            yield f"node {node} writes at {lease.leader}", _write(state, lease)
    for node, lease in state.sending:
        sent = state._replace(sending=state.sending - {(node, lease)})
        yield f"node {node} sends what it checked", _write(sent, lease)


def _read(state: State, lease: NodeLease) -> State:
    if state.leads[lease.leader] != lease.term or state.acknowledged <= lease.term:
        return state
    return state._replace(broken=state.broken | {"latest_reads_see_all"})


def _write(state: State, lease: NodeLease) -> State:
    if state.leads[lease.leader] != lease.term:
        return state
    if state.newest > lease.term:
        return state._replace(broken=state.broken | {"one_leader_acknowledges"})
    return state._replace(acknowledged=max(state.acknowledged, lease.term))


def _changes(state: State, mutation: str) -> Iterator[Step]:
    if state.ordered:
        return
    leader = max(MEMBERS, key=lambda member: state.leads[member])
    if mutation == "remember_the_first_leader":
        leader = FIRST_LEADER
    term = state.newest + 1
    others = [member for member in MEMBERS if member != leader and not state.lapsed[member]]
    for member in others:
        if state.held[member] < term:
            held = replace_at(state.held, member, term)
            yield f"{member} is paused", state._replace(held=held)
    is_demoted = state.leads[leader] == 0
    if not is_demoted:
        leads = replace_at(state.leads, leader, 0)
        follows = replace_at(state.follows, leader, term)
        yield f"{leader} is demoted", state._replace(leads=leads, follows=follows)
    paused = [member for member in others if state.held[member] >= term]
    needed = 1 if mutation == "pause_one" else len(others)
    if len(paused) >= needed and state.wait is None:
        ticks = LEASE_TICKS - 1 if mutation == "wait_too_short" else LEASE_TICKS
        promises = (term, term) if any(state.lapsed) else state.promises
        yield (
            "the orderer waits for the leases to end",
            state._replace(wait=ticks, promises=promises),
        )
    if is_demoted or state.wait == 0 or mutation == "order_at_once":
        for target in others:
            yield f"{target} is ordered", state._replace(ordered=frozenset({target}))


def _platform(state: State, deposes: bool) -> Iterator[Step]:
    for target in state.ordered:
        term = state.newest + 1
        leads = replace_at(state.leads, target, term)
        if deposes:
            leads = tuple(term if member == target else 0 for member in MEMBERS)
        yield (
            f"{target} is promoted",
            state._replace(
                leads=leads,
                follows=replace_at(state.follows, target, term),
                held=replace_at(state.held, target, 0),
                ordered=frozenset(),
                newest=term,
                wait=None,
            ),
        )
    for member in MEMBERS:
        if state.leads[member] == 0 and state.follows[member] < state.newest:
            follows = replace_at(state.follows, member, state.newest)
            held = state.held
            if held[member] <= state.newest:
                held = replace_at(held, member, 0)
            yield f"{member} follows the new leader", state._replace(follows=follows, held=held)
        if 0 < state.leads[member] < state.newest:
            leads = replace_at(state.leads, member, 0)
            yield f"{member} reaches the new leader", state._replace(leads=leads)


_INVARIANTS = {name: is_kept(name) for name in ("one_leader_acknowledges", "latest_reads_see_all")}
_BOUNDS = f"3 members, 2 nodes, terms to {MAXIMUM_TERM}, leases of {LEASE_TICKS} ticks"

KEEPS_LEADING = Model(
    name="lease on a leader that a promotion does not depose",
    bounds=_BOUNDS,
    initial=State(),
    steps=make_steps(False),
    invariants=_INVARIANTS,
    mutations={
        "trust_the_leader": "one_leader_acknowledges",
        "order_at_once": "one_leader_acknowledges",
        "pause_one": "one_leader_acknowledges",
        "wait_too_short": "one_leader_acknowledges",
        "remember_the_first_leader": "one_leader_acknowledges",
        "ignore_held_term": "one_leader_acknowledges",
        "ignore_newer_term": "latest_reads_see_all",
        "check_before_queue": "one_leader_acknowledges",
    },
)

RESTARTED = Model(
    name="lease on a leader where a member starts again",
    bounds=f"3 members, 2 nodes, terms to 2, leases of {LEASE_TICKS} ticks, one start",
    initial=State(starts=1),
    steps=make_steps(False, maximum_term=2),
    invariants=_INVARIANTS,
    mutations={"trust_a_restarted_member": "one_leader_acknowledges"},
)

LAPSED = Model(
    name="lease on a leader where a member that was not asked to pause is back",
    bounds=f"3 members, 2 nodes, terms to 2, leases of {LEASE_TICKS} ticks, one lapse",
    initial=State(lapses=1),
    steps=make_steps(False, maximum_term=2),
    invariants=_INVARIANTS,
    mutations={"forget_the_promise": "one_leader_acknowledges"},
)

DEPOSED = Model(
    name="lease on a leader that a promotion deposes",
    bounds=_BOUNDS,
    initial=State(),
    steps=make_steps(True),
    invariants=_INVARIANTS,
)
