"""Who may open connections to a back end: a named lock there, epochs, and a paused holder.

The epoch is the id of the control connection that holds the lock. Everything that a node sends may
arrive late, also after the node was evicted without noticing it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

NODES = 2
SLOTS = 2
HIGHEST_EPOCH = 3

UNBOUNDED = ("no_connection_bound", "ignore_retained")
"""Mutations in which the back end does not bound the account's connections."""


class Connection(NamedTuple):
    """A slot connection at the back end. `usable`: its node saw its epoch holding the lock."""

    epoch: int
    serial: int
    usable: bool


class Node(NamedTuple):
    """What a node believes. `phase`: idle, locked or owning."""

    phase: str
    epoch: int


class State(NamedTuple):
    """The back end and the nodes.

    `lock`: the epoch that holds it (0: none). `retained`: connections that the last owner left in
    use when it handed over; the next one leaves them alone and counts them. `on_way`: the epochs
    of connects on their way.
    """

    lock: int
    last_epoch: int
    connections: frozenset[Connection]
    nodes: tuple[Node, ...]
    retained: frozenset[Connection]
    on_way: tuple[int, ...]


INITIAL = State(0, 0, frozenset(), (Node("idle", 0),) * NODES, frozenset(), ())


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step that some party may take."""
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
    """Take the free lock; or have the back end end a silent holder's control connection."""
    if not state.lock and state.last_epoch < HIGHEST_EPOCH:
        epoch = state.last_epoch + 1
        taken = _with_node(state, index, state.nodes[index]._replace(phase="locked", epoch=epoch))
        yield f"node {index} takes epoch {epoch}", taken._replace(lock=epoch, last_epoch=epoch)
    if state.lock:
        evicted = state._replace(lock=0, retained=frozenset())
        yield f"node {index} evicts epoch {state.lock}", evicted


def _sweep(state: State, index: int, node: Node, mutation: str) -> Iterator[Step]:
    """Have the back end end the connections of older epochs; give up if the lock is gone."""
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
    """Open connections within the slots; hand over; or notice, late, that the lock is lost."""
    mine = {connection for connection in state.connections if connection.epoch == node.epoch}
    opening = state.on_way.count(node.epoch)
    counted = len(mine) + opening
    if mutation != "ignore_retained":
        counted += len(state.retained & state.connections)
    if counted < SLOTS:
        on_way = tuple(sorted((*state.on_way, node.epoch)))
        yield f"node {index} asks for a connection", state._replace(on_way=on_way)
    idle = _with_node(state, index, node._replace(phase="idle"))
    if state.lock == node.epoch and not opening:
        in_use = frozenset(c for c in mine if c.usable) | (state.retained & state.connections)
        left = (state.connections - mine) | in_use
        handed = idle._replace(lock=0, connections=left, retained=in_use)
        yield f"node {index} hands over", handed
    if state.lock != node.epoch:
        cut = state.connections - mine
        yield f"node {index} notices its loss", idle._replace(connections=cut)


def _arrive(state: State, mutation: str) -> Iterator[Step]:
    """A connect arrives. The back end counts the account's connections and refuses too many."""
    for epoch in set(state.on_way):
        index = state.on_way.index(epoch)
        sent = state._replace(on_way=state.on_way[:index] + state.on_way[index + 1 :])
        yield f"a connect of epoch {epoch} is lost", sent
        if len(state.connections) >= SLOTS and mutation not in UNBOUNDED:
            continue
        used = {c.serial for c in state.connections if c.epoch == epoch}
        serial = min(set(range(SLOTS + 1)) - used)
        connection = Connection(epoch, serial, mutation == "skip_lock_check")
        arrived = sent._replace(connections=state.connections | {connection})
        yield f"a connect of epoch {epoch} arrives", arrived


def _check(state: State) -> Iterator[Step]:
    """A new connection asks who holds the lock before it is used."""
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
    """The back end never has more connections than slots."""
    return len(state.connections) <= SLOTS


def one_epoch_works(state: State) -> bool:
    """Once a new owner has swept, only its connections and retained ones are usable."""
    owners = [node.epoch for node in state.nodes if node.phase == "owning"]
    current = state.lock if state.lock in owners else 0
    usable = {c.epoch for c in state.connections - state.retained if c.usable}
    return not current or usable <= {current}


def usable_within_slots(state: State) -> bool:
    """Never more connections than slots do work, also where the back end bounds nothing."""
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
