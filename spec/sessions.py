"""Session consistency: causal tokens, roaming sessions, confirmed positions and replicas.

The group's committed history is one sequence of offsets, as the model `group_terms` shows; a
position is an offset. The floor of a session is known or unknown to its node.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

LAST_OFFSET = 4
REPLICAS = 2
UNKNOWN = -1


class Read(NamedTuple):
    """A read in progress.

    `must_see`: offset that the read must reflect. `floor`: minimum offset that its node requires.
    `seen`: offset that was read (-1: none yet).
    """

    must_see: int
    floor: int
    seen: int


class State(NamedTuple):
    """One session, its group and its two nodes.

    `committed`: last committed offset. `applied`: last offset that each replica applied.
    `replaced`: offset of the former primary at its replacement (-1: none). `wrote`: the session's
    last acknowledged write. `saw`: highest offset read over this connection. `floor`: floor that
    the session's node knows (-1: unknown). `read`: read in progress.

    Used only by mutations: `remembered`, the floor that the other node knew when the session left,
    and `round`, a position that was confirmed before the read in progress was sent.
    """

    committed: int
    applied: tuple[int, ...]
    replaced: int
    wrote: int
    saw: int
    floor: int
    remembered: int
    round: int
    read: Read | None


INITIAL = State(0, (0,) * REPLICAS, UNKNOWN, 0, 0, 0, UNKNOWN, UNKNOWN, None)


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the session, its group and its nodes."""
    yield from _history(state, mutation)
    if state.read is None:
        yield from _session(state, mutation)
    elif state.read.seen == UNKNOWN:
        yield from _read(state, state.read, mutation)
    else:
        seen = state.read.seen
        advanced = state.floor if mutation == "read_keeps_floor" else max(state.floor, seen)
        saw = max(state.saw, seen)
        yield "the read ends", state._replace(read=None, floor=advanced, saw=saw)


def _history(state: State, mutation: str) -> Iterator[Step]:
    """Yield steps of other sessions, replicas, the primary and confirmations."""
    if state.committed < LAST_OFFSET:
        yield "another session writes", state._replace(committed=state.committed + 1)
    for index, offset in enumerate(state.applied):
        if offset < state.committed:
            applied = (*state.applied[:index], offset + 1, *state.applied[index + 1 :])
            yield f"replica {index} applies {offset + 1}", state._replace(applied=applied)
    if state.replaced == UNKNOWN:
        yield "the primary is replaced", state._replace(replaced=state.committed)
    if mutation == "earlier_confirmation" and state.read is None:
        yield "a position is confirmed for others", state._replace(round=state.committed)


def _session(state: State, mutation: str) -> Iterator[Step]:
    if state.committed < LAST_OFFSET:
        offset = state.committed + 1
        floor = state.floor if mutation == "write_keeps_floor" else offset
        yield (
            f"the session writes {offset}",
            state._replace(committed=offset, wrote=offset, floor=floor),
        )
    trusts = mutation == "trust_remembered_floor"
    left = state._replace(remembered=state.floor if trusts else UNKNOWN, saw=0)
    if state.floor != UNKNOWN:
        yield "it roams with its token", left
    floor = state.remembered if trusts else UNKNOWN
    yield "it roams without a token", left._replace(floor=floor)
    read = Read(state.wrote, state.floor, UNKNOWN)
    yield "it sends a read", state._replace(read=read)


def _read(state: State, read: Read, mutation: str) -> Iterator[Step]:
    if read.floor == UNKNOWN and mutation != "read_without_floor":
        confirmed = state.committed
        if mutation == "unconfirmed_position" and state.replaced != UNKNOWN:
            confirmed = state.replaced
        if mutation == "earlier_confirmation" and state.round != UNKNOWN:
            confirmed = state.round
        floor = read._replace(floor=confirmed)
        yield f"its floor is confirmed as {confirmed}", state._replace(read=floor, floor=confirmed)
        return
    yield "the primary answers", state._replace(read=read._replace(seen=state.committed))
    for index, offset in enumerate(state.applied):
        if offset >= read.floor:
            answered = read._replace(seen=offset)
            yield f"replica {index} answers with {offset}", state._replace(read=answered)
    if state.replaced >= read.floor and state.replaced != UNKNOWN:
        answered = read._replace(seen=state.replaced)
        yield "the replaced primary answers", state._replace(read=answered)


def read_your_writes(state: State) -> bool:
    """A read reflects the session's writes that were acknowledged before it was sent."""
    return state.read is None or state.read.seen in (UNKNOWN, *range(state.read.must_see, 99))


def reads_are_monotonic(state: State) -> bool:
    """On one connection no read reflects less than an earlier one."""
    return state.read is None or state.read.seen in (UNKNOWN, *range(state.saw, 99))


MODEL = Model(
    name="sessions",
    bounds=f"one session, two nodes, {REPLICAS} replicas, {LAST_OFFSET} writes, "
    "one replaced primary",
    initial=INITIAL,
    steps=steps,
    invariants={
        "read_your_writes": read_your_writes,
        "reads_are_monotonic": reads_are_monotonic,
    },
    mutations={
        "write_keeps_floor": "read_your_writes",
        "trust_remembered_floor": "read_your_writes",
        "read_without_floor": "read_your_writes",
        "unconfirmed_position": "read_your_writes",
        "earlier_confirmation": "read_your_writes",
        "read_keeps_floor": "reads_are_monotonic",
    },
)
