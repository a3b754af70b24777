"""Idempotent writes: a caller retries a request id over other nodes.

The database stores the id in the transaction of the write.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

SENDINGS = 3


class State(NamedTuple):
    """The state of the caller's sendings, the database and the first owner.

    `sendings`: status of each sending (unsent, sent, executing, kept, ran, duplicate or cut).
    `kept`: whether the database has the id. `remembered`: whether the first owner remembers the
    id. `runs`: number of times that the write was committed.
    """

    sendings: tuple[str, ...]
    kept: bool
    remembered: bool
    runs: int


INITIAL = State(("unsent",) * SENDINGS, False, False, 0)


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the caller, the owners and their transactions."""
    for index, status in enumerate(state.sendings):
        if status == "unsent":
            yield f"sending {index}", _with_status(state, index, "sent")
        elif status == "sent":
            known = state.remembered and mutation == "remember_at_owner"
            yield (
                f"{index} begins",
                _with_status(state, index, "duplicate" if known else "executing"),
            )
        elif status in ("executing", "kept"):
            yield from _end(state, index, status, mutation)
    if state.remembered:
        yield "the owner restarts", state._replace(remembered=False)


def _end(state: State, index: int, status: str, mutation: str) -> Iterator[Step]:
    """Yield the ends of a transaction, which commits the id and the write together or nothing."""
    yield f"{index} is rolled back", _with_status(state, index, "cut")
    if state.kept and status != "kept" and mutation != "remember_at_owner":
        yield f"{index} finds its id", _with_status(state, index, "duplicate")
    elif mutation == "keep_id_before" and status != "kept":
        yield f"{index} keeps its id first", _with_status(state, index, "kept")._replace(kept=True)
    else:
        ran = _with_status(state, index, "ran")
        yield f"{index} commits", ran._replace(kept=True, remembered=True, runs=state.runs + 1)


def _with_status(state: State, index: int, status: str) -> State:
    return state._replace(sendings=(*state.sendings[:index], status, *state.sendings[index + 1 :]))


def at_most_once(state: State) -> bool:
    """The write is committed at most once."""
    return state.runs <= 1


def duplicate_is_true(state: State) -> bool:
    """If a duplicate is reported to the caller, the write is committed."""
    return "duplicate" not in state.sendings or state.runs == 1


MODEL = Model(
    name="caller_requests",
    bounds=f"{SENDINGS} sendings of one request over any nodes, any restart",
    initial=INITIAL,
    steps=steps,
    invariants={"at_most_once": at_most_once, "duplicate_is_true": duplicate_is_true},
    mutations={"remember_at_owner": "at_most_once", "keep_id_before": "duplicate_is_true"},
)
