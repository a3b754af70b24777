"""A caller's own request id, repeated over another node, kept in the write's own transaction."""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

SENDINGS = 3


class State(NamedTuple):
    """`sendings`: by sending, where it is (unsent, sent, executing, kept, ran, duplicate, cut).

    `kept`: the id is in the database. `remembered`: the ids that the first owner remembers.
    """

    sendings: tuple[str, ...]
    kept: bool
    remembered: bool
    runs: int


INITIAL = State(("unsent",) * SENDINGS, False, False, 0)


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step: the caller sends, owners execute, transactions commit or are cut."""
    for index, where in enumerate(state.sendings):
        if where == "unsent":
            yield f"sending {index}", _at(state, index, "sent")
        elif where == "sent":
            known = state.remembered and mutation == "remember_at_owner"
            yield f"{index} begins", _at(state, index, "duplicate" if known else "executing")
        elif where in ("executing", "kept"):
            yield from _end(state, index, where, mutation)
    if state.remembered:
        yield "the owner restarts", state._replace(remembered=False)


def _end(state: State, index: int, where: str, mutation: str) -> Iterator[Step]:
    """The transaction commits the id and the write together, or nothing."""
    yield f"{index} is rolled back", _at(state, index, "cut")
    if state.kept and where != "kept" and mutation != "remember_at_owner":
        yield f"{index} finds its id", _at(state, index, "duplicate")
    elif mutation == "keep_id_before" and where != "kept":
        yield f"{index} keeps its id first", _at(state, index, "kept")._replace(kept=True)
    else:
        ran = _at(state, index, "ran")
        yield f"{index} commits", ran._replace(kept=True, remembered=True, runs=state.runs + 1)


def _at(state: State, index: int, where: str) -> State:
    return state._replace(sendings=(*state.sendings[:index], where, *state.sendings[index + 1 :]))


def at_most_once(state: State) -> bool:
    """The write is committed once at most."""
    return state.runs <= 1


def duplicate_is_true(state: State) -> bool:
    """A caller that is told of a duplicate may rely on the write."""
    return "duplicate" not in state.sendings or state.runs == 1


MODEL = Model(
    name="caller_requests",
    bounds=f"{SENDINGS} sendings of one request over any nodes, any restart",
    initial=INITIAL,
    steps=steps,
    invariants={"at_most_once": at_most_once, "duplicate_is_true": duplicate_is_true},
    mutations={"remember_at_owner": "at_most_once", "keep_id_before": "duplicate_is_true"},
)
