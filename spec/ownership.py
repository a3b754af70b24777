"""Ownership of a database's connection slots by a named lock, with epochs and paused holders.

The epoch is the id of the control connection that holds the lock. Everything that a node sends may
arrive late, even after the node was evicted without noticing it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

NODES = 2
SLOTS = 2
HIGHEST_EPOCH = 3

UNBOUNDED = ("no_connection_bound", "ignore_retained")
"""Mutations in which the database does not limit the account's connections."""


class Connection(NamedTuple):
    """A slot connection at the database. `usable`: its node has seen its epoch hold the lock."""

    epoch: int
    serial: int
    usable: bool


class Node(NamedTuple):
    """A node's view of its ownership. `phase`: idle, locked or owning."""

    phase: str
    epoch: int


class State(NamedTuple):
    """The database and the nodes.

    `lock`: epoch that holds the lock (0 for none). `retained`: connections that the last owner left
    in use at its handover; the next owner keeps and counts them. `in_flight`: epochs of the
    connects in flight.
    """

    lock: int
    last_epoch: int
    connections: frozenset[Connection]
    nodes: tuple[Node, ...]
    retained: frozenset[Connection]
    in_flight: tuple[int, ...]


INITIAL = State(0, 0, frozenset(), (Node("idle", 0),) * NODES, frozenset(), ())


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the nodes and the database."""
    for index, node in enumerate(state.nodes):
        if node.phase == "idle":
            yield from _claim(state, index)
        elif node.phase == "locked":
            yield from _sweep(state, index, node, mutation)
        else:
            yield from _own(state, index, node, mutation)
    yield from _arrive(state, mutation)
    yield from _check(state)


def _with_node(state: State, index: int, node: Node) -> State:
    return state._replace(nodes=(*state.nodes[:index], node, *state.nodes[index + 1 :]))


def _claim(state: State, index: int) -> Iterator[Step]:
    """Yield claims: a node takes the free lock or has an unresponsive holder evicted.

    For an eviction, the database ends the holder's control connection.
    """
    if not state.lock and state.last_epoch < HIGHEST_EPOCH:
        epoch = state.last_epoch + 1
        taken = _with_node(state, index, state.nodes[index]._replace(phase="locked", epoch=epoch))
        yield f"node {index} takes epoch {epoch}", taken._replace(lock=epoch, last_epoch=epoch)
    if state.lock:
        evicted = state._replace(lock=0, retained=frozenset())
        yield f"node {index} evicts epoch {state.lock}", evicted


def _sweep(state: State, index: int, node: Node, mutation: str) -> Iterator[Step]:
    """Have the database end the connections of older epochs; give up if the lock is lost."""
    if state.lock != node.epoch:
        yield (
            f"node {index} notices its loss",
            _with_node(state, index, node._replace(phase="idle")),
        )
        return
    left = frozenset(
        connection
        for connection in state.connections
        if connection.epoch >= node.epoch
        or connection in state.retained
        or mutation == "skip_sweep"
    )
    owning = _with_node(state, index, node._replace(phase="owning"))
    yield f"node {index} sweeps", owning._replace(connections=left)


def _own(state: State, index: int, node: Node, mutation: str) -> Iterator[Step]:
    """Open connections within the slots, hand over, or notice late that the lock is lost."""
    own = {connection for connection in state.connections if connection.epoch == node.epoch}
    opening = state.in_flight.count(node.epoch)
    counted = len(own) + opening
    if mutation != "ignore_retained":
        counted += len(state.retained & state.connections)
    if counted < SLOTS:
        in_flight = tuple(sorted((*state.in_flight, node.epoch)))
        yield f"node {index} requests a connection", state._replace(in_flight=in_flight)
    idle = _with_node(state, index, node._replace(phase="idle"))
    if state.lock == node.epoch and not opening:
        in_use = frozenset(c for c in own if c.usable) | (state.retained & state.connections)
        left = (state.connections - own) | in_use
        handed = idle._replace(lock=0, connections=left, retained=in_use)
        yield f"node {index} hands over", handed
    if state.lock != node.epoch:
        cut = state.connections - own
        yield f"node {index} notices its loss", idle._replace(connections=cut)


def _arrive(state: State, mutation: str) -> Iterator[Step]:
    """Yield arrivals of connects; the database limits the account's connections."""
    for epoch in set(state.in_flight):
        index = state.in_flight.index(epoch)
        sent = state._replace(in_flight=state.in_flight[:index] + state.in_flight[index + 1 :])
        yield f"a connect of epoch {epoch} is lost", sent
        if len(state.connections) >= SLOTS and mutation not in UNBOUNDED:
            continue
        used = {c.serial for c in state.connections if c.epoch == epoch}
        serial = min(set(range(SLOTS + 1)) - used)
        connection = Connection(epoch, serial, mutation == "skip_lock_check")
        arrived = sent._replace(connections=state.connections | {connection})
        yield f"a connect of epoch {epoch} arrives", arrived


def _check(state: State) -> Iterator[Step]:
    """Yield checks of new connections: each queries the lock holder before it is used."""
    retained = state.retained & state.connections
    for connection in retained:
        ended = state.connections - {connection}
        yield (
            f"work of epoch {connection.epoch} ends",
            state._replace(connections=ended, retained=retained - {connection}),
        )
    for connection in state.connections:
        if connection.usable:
            continue
        others = state.connections - {connection}
        if connection.epoch == state.lock:
            used = others | {connection._replace(usable=True)}
            yield (
                f"a connection of epoch {connection.epoch} is usable",
                state._replace(connections=used),
            )
        else:
            yield (
                f"a connection of epoch {connection.epoch} closes",
                state._replace(connections=others),
            )


def connections_within_slots(state: State) -> bool:
    """The database never has more connections than slots."""
    return len(state.connections) <= SLOTS


def one_epoch_works(state: State) -> bool:
    """After a new owner's sweep, only its own and retained connections are usable."""
    owners = [node.epoch for node in state.nodes if node.phase == "owning"]
    current = state.lock if state.lock in owners else 0
    usable = {c.epoch for c in state.connections - state.retained if c.usable}
    return not current or usable <= {current}


def usable_within_slots(state: State) -> bool:
    """No more connections than slots are usable, even if the database limits nothing."""
    return sum(1 for connection in state.connections if connection.usable) <= SLOTS


MODEL = Model(
    name="ownership",
    bounds=f"{NODES} nodes, {SLOTS} slots, {HIGHEST_EPOCH} epochs, any pause and any late connect",
    initial=INITIAL,
    steps=steps,
    invariants={
        "connections_within_slots": connections_within_slots,
        "one_epoch_works": one_epoch_works,
        "usable_within_slots": usable_within_slots,
    },
    mutations={
        "no_connection_bound": "connections_within_slots",
        "skip_sweep": "one_epoch_works",
        "skip_lock_check": "one_epoch_works",
        "ignore_retained": "usable_within_slots",
    },
)


def _unbounded(state: State, mutation: str) -> Iterator[Step]:
    return steps(state, mutation or "no_connection_bound")


WITHOUT_BOUND = Model(
    name="ownership_without_bound",
    bounds=MODEL.bounds + ", and a back end that bounds nothing",
    initial=INITIAL,
    steps=_unbounded,
    invariants={
        "one_epoch_works": one_epoch_works,
        "usable_within_slots": usable_within_slots,
    },
    mutations={"ignore_retained": "usable_within_slots"},
)
