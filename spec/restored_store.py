"""The lease on a group's changes of primary over a store that comes back from a copy.

Two nodes read and write one lease by its revision. The store may go back to a copy at any time:
its count falls, numbers are given out again, and the lease is what it was. Its era rises, which
each answer tells. A holder orders changes for a while after its write, whatever the store does.

Taken for granted: where the lease may lack the last change, the members that are asked tell it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step, is_kept, replace_at

NODES = (0, 1)
HOLD_TICKS = 1
"""For so long after its write of the lease a holder may order."""
WAIT_TICKS = 2
"""So long a node leaves a lease alone that another one may hold."""
MAXIMUM_NUMBER = 4
MAXIMUM_CHANGES = 2


class Revision(NamedTuple):
    """One write: ordered by the era, then by the store's count."""

    era: int
    number: int


class Lease(NamedTuple):
    """What the store has. `era`: the one that its writer took the store to be in."""

    number: int
    era: int = 0
    holder: int = 0
    change: int = 0


class Node(NamedTuple):
    """What a node knows. `premise`: the revision at which it would write the lease.

    `token`: of the lease that it takes for its own. `ticks`: for how long it may order by it.
    `quiet`: how long it has to wait before it takes the lease over. `change`: the last it knows of.
    """

    premise: Revision | None = None
    token: Revision | None = None
    ticks: int = 0
    quiet: int = 0
    change: int = 0


class State(NamedTuple):
    """The store, its copy, the nodes, and what was ordered. `seen`: the highest token used."""

    era: int = 0
    number: int = 1
    lease: Lease = Lease(1)
    copy: tuple[int, Lease] | None = None
    restores: int = 1
    nodes: tuple[Node, ...] = (Node(), Node())
    seen: Revision = Revision(0, 0)
    changes: int = 0
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    yield from _store(state)
    nodes = tuple(
        node._replace(ticks=max(0, node.ticks - 1), quiet=max(0, node.quiet - 1))
        for node in state.nodes
    )
    yield "time passes", state._replace(nodes=nodes)
    for place in NODES:
        yield f"node {place} reads the lease", _read(state, place, mutation)
        if state.nodes[place].premise is not None and state.number < MAXIMUM_NUMBER:
            yield f"node {place} writes the lease", _write(state, place, mutation)
        if state.nodes[place].ticks and state.changes < MAXIMUM_CHANGES:
            yield f"node {place} orders a change", _order(state, place, mutation)


def _store(state: State) -> Iterator[Step]:
    if state.number < MAXIMUM_NUMBER:
        yield "others write", state._replace(number=state.number + 1)
    if state.copy is None and state.restores:
        yield "a copy is made", state._replace(copy=(state.number, state.lease))
    if state.copy is not None:
        number, lease = state.copy
        yield (
            "the store goes back",
            state._replace(
                era=state.era + 1,
                number=number,
                lease=lease,
                copy=None,
                restores=state.restores - 1,
            ),
        )


def _with(state: State, place: int, node: Node) -> State:
    return state._replace(nodes=replace_at(state.nodes, place, node))


def _read(state: State, place: int, mutation: str) -> State:
    node, lease = state.nodes[place], state.lease
    premise = Revision(state.era, lease.number)
    is_former = lease.era != state.era and mutation != "believe_the_copy"
    is_own = lease.holder == place and not is_former
    change = max(node.change, lease.change)
    if is_own:
        token = node.token if node.token == premise else None
        ticks = node.ticks if token else 0
        return _with(state, place, Node(premise, token, ticks, 0, change))
    quiet = node.quiet if node.premise == premise else WAIT_TICKS
    if is_former and mutation == "do_not_wait":
        quiet = 0
    return _with(state, place, Node(premise, None, 0, quiet, change))


def _write(state: State, place: int, mutation: str) -> State:
    node = state.nodes[place]
    premise = node.premise
    assert premise is not None
    if node.quiet:
        return state
    if premise.number != state.lease.number:
        return _with(state, place, node._replace(premise=None, token=None, ticks=0))
    written = Revision(state.era, state.number + 1)
    # With the change that the holder is about to order, so that its successor knows of it.
    lease = Lease(written.number, premise.era, place, node.change + 1)
    state = state._replace(number=written.number, lease=lease)
    if premise.era != state.era and mutation != "trust_the_condition":
        node = node._replace(premise=written, token=None, ticks=0, quiet=WAIT_TICKS)
    else:
        node = node._replace(premise=written, token=written, ticks=HOLD_TICKS)
    return _with(state, place, node)


def _order(state: State, place: int, mutation: str) -> State:
    node, other = state.nodes[place], state.nodes[1 - place]
    assert node.token is not None
    token = node.token._replace(era=0) if mutation == "token_without_era" else node.token
    broken = state.broken
    if token < state.seen:
        broken |= {"tokens_rise"}
    if other.ticks:
        broken |= {"one_holder_acts"}
    asks_members = node.token.era > 0 and mutation != "trust_the_lease"
    if not asks_members and node.change < state.changes:
        broken |= {"the_last_change_is_known"}
    changes = max(state.changes, node.change + 1)
    state = state._replace(seen=max(token, state.seen), changes=changes, broken=broken)
    return _with(state, place, node._replace(change=changes))


MODEL = Model(
    name="lease over a store that comes back from a copy",
    bounds=f"2 nodes, numbers to {MAXIMUM_NUMBER}, {MAXIMUM_CHANGES} changes, one restore",
    initial=State(),
    steps=steps,
    invariants={
        name: is_kept(name)
        for name in ("tokens_rise", "one_holder_acts", "the_last_change_is_known")
    },
    mutations={
        "token_without_era": "tokens_rise",
        "do_not_wait": "one_holder_acts",
        "believe_the_copy": "one_holder_acts",
        "trust_the_condition": "one_holder_acts",
        "trust_the_lease": "the_last_change_is_known",
    },
)
