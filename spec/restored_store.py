"""The failover lease of a group in a store that may be restored from a copy.

Two nodes read and write one lease conditionally on its revision. The store may be restored from a
copy at any time: its revision falls, revisions are assigned again, and the lease reverts. Its era,
which every answer contains, increases. A holder orders changes for a while after its write,
whatever happens to the store.

Assumption: if the lease may lack the last change, the members that are queried report it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step, is_kept, replace_at

NODES = (0, 1)
HOLD_TICKS = 1
"""Time after a write of the lease for which its holder may order changes."""
WAIT_TICKS = 2
"""Time for which a node waits before it takes over a lease that another node may hold."""
MAXIMUM_NUMBER = 4
MAXIMUM_CHANGES = 2


class Revision(NamedTuple):
    """A revision of the store, ordered by era and then by number."""

    era: int
    number: int


class Lease(NamedTuple):
    """The lease in the store. `era`: era of the store that its writer assumed."""

    number: int
    era: int = 0
    holder: int = 0
    change: int = 0


class Node(NamedTuple):
    """A node's view of the lease.

    `premise`: revision on which its next write of the lease is conditional. `token`: fencing token
    of the lease that it believes to hold. `ticks`: remaining time for which it may order changes.
    `wait`: remaining wait before it may take over the lease. `change`: last change that it knows.
    """

    premise: Revision | None = None
    token: Revision | None = None
    ticks: int = 0
    wait: int = 0
    change: int = 0


class State(NamedTuple):
    """The store, its copy, the nodes and the ordered changes.

    `highest_token`: highest fencing token used. `broken`: names of the violated invariants.
    """

    era: int = 0
    number: int = 1
    lease: Lease = Lease(1)
    copy: tuple[int, Lease] | None = None
    restores: int = 1
    nodes: tuple[Node, ...] = (Node(), Node())
    highest_token: Revision = Revision(0, 0)
    changes: int = 0
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield the steps that are possible in a state."""
    yield from _store(state)
    nodes = tuple(
        node._replace(ticks=max(0, node.ticks - 1), wait=max(0, node.wait - 1))
        for node in state.nodes
    )
    yield "time passes", state._replace(nodes=nodes)
    for index in NODES:
        yield f"node {index} reads the lease", _read(state, index, mutation)
        if state.nodes[index].premise is not None and state.number < MAXIMUM_NUMBER:
            yield f"node {index} writes the lease", _write(state, index, mutation)
        if state.nodes[index].ticks and state.changes < MAXIMUM_CHANGES:
            yield f"node {index} orders a change", _order(state, index, mutation)


def _store(state: State) -> Iterator[Step]:
    if state.number < MAXIMUM_NUMBER:
        yield "other objects are written", state._replace(number=state.number + 1)
    if state.copy is None and state.restores:
        yield "a copy of the store is made", state._replace(copy=(state.number, state.lease))
    if state.copy is not None:
        number, lease = state.copy
        yield (
            "the store is restored",
            state._replace(
                era=state.era + 1,
                number=number,
                lease=lease,
                copy=None,
                restores=state.restores - 1,
            ),
        )


def _with(state: State, index: int, node: Node) -> State:
    return state._replace(nodes=replace_at(state.nodes, index, node))


def _read(state: State, index: int, mutation: str) -> State:
    node, lease = state.nodes[index], state.lease
    premise = Revision(state.era, lease.number)
    is_from_earlier_era = lease.era != state.era and mutation != "believe_the_copy"
    is_own = lease.holder == index and not is_from_earlier_era
    change = max(node.change, lease.change)
    if is_own:
        token = node.token if node.token == premise else None
        ticks = node.ticks if token else 0
        return _with(state, index, Node(premise, token, ticks, 0, change))
    wait = node.wait if node.premise == premise else WAIT_TICKS
    if is_from_earlier_era and mutation == "do_not_wait":
        wait = 0
    return _with(state, index, Node(premise, None, 0, wait, change))


def _write(state: State, index: int, mutation: str) -> State:
    node = state.nodes[index]
    premise = node.premise
    assert premise is not None
    if node.wait:
        return state
    if premise.number != state.lease.number:
        return _with(state, index, node._replace(premise=None, token=None, ticks=0))
    written = Revision(state.era, state.number + 1)
    # Contains the change that the holder will order, so that its successor knows it.
    lease = Lease(written.number, premise.era, index, node.change + 1)
    state = state._replace(number=written.number, lease=lease)
    if premise.era != state.era and mutation != "trust_the_condition":
        node = node._replace(premise=written, token=None, ticks=0, wait=WAIT_TICKS)
    else:
        node = node._replace(premise=written, token=written, ticks=HOLD_TICKS)
    return _with(state, index, node)


def _order(state: State, index: int, mutation: str) -> State:
    node, other = state.nodes[index], state.nodes[1 - index]
    assert node.token is not None
    token = node.token._replace(era=0) if mutation == "token_without_era" else node.token
    broken = state.broken
    if token < state.highest_token:
        broken |= {"tokens_rise"}
    if other.ticks:
        broken |= {"one_holder_acts"}
    queries_members = node.token.era > 0 and mutation != "trust_the_lease"
    if not queries_members and node.change < state.changes:
        broken |= {"the_last_change_is_known"}
    changes = max(state.changes, node.change + 1)
    state = state._replace(
        highest_token=max(token, state.highest_token), changes=changes, broken=broken
    )
    return _with(state, index, node._replace(change=changes))


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
