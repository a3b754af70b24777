"""At-most-once execution of a write with lost answers, repeats and restarts of the owner.

The edge sends the request to the owner of the database; each message arrives at most once, late or
never. After a refusal with `not_run` the edge sends a second request with a new id.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

ATTEMPTS = 2
RESTARTS = 1
REPEATS = 1


class Attempt(NamedTuple):
    """The state of one request id.

    `requested`, `repeated`: requests and repeats in flight to the owner. `repeats_left`: number of
    repeats that remain. `memory`: what the owner remembers (none, running, ran or refused).
    `executing`: number of executions at the database. `runs`: number of commits. `replies`:
    answers in flight to the edge.
    """

    requested: int = 0
    repeated: int = 0
    repeats_left: int = REPEATS
    memory: str = "none"
    executing: int = 0
    runs: int = 0
    replies: frozenset[str] = frozenset()


class State(NamedTuple):
    """`current`: attempt that the edge waits for. `verdict`: answer to the caller, empty before."""

    attempts: tuple[Attempt, ...]
    current: int
    restarts_left: int
    verdict: str


INITIAL = State((Attempt(requested=1), *(Attempt(),) * (ATTEMPTS - 1)), 0, RESTARTS, "")


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the edge, the owner, the database and the network."""
    for index, attempt in enumerate(state.attempts):
        for label, changed in (
            *_owner(attempt, mutation),
            *_database(attempt, mutation),
            *_network(attempt),
        ):
            attempts = (*state.attempts[:index], changed, *state.attempts[index + 1 :])
            yield f"id {index}: {label}", state._replace(attempts=attempts)
    if state.restarts_left:
        forgotten = tuple(attempt._replace(memory="none") for attempt in state.attempts)
        yield "the owner restarts", state._replace(attempts=forgotten, restarts_left=0)
    if not state.verdict:
        yield from _edge(state, mutation)


def _owner(attempt: Attempt, mutation: str) -> Iterator[tuple[str, Attempt]]:
    if attempt.requested:
        taken = attempt._replace(requested=attempt.requested - 1)
        is_early = mutation == "acknowledge_before_commit"
        yield "the owner runs it", _reply(_run(taken), "ok") if is_early else _run(taken)
        yield "the owner refuses it", _refuse(taken)
    if attempt.repeated:
        taken = attempt._replace(repeated=attempt.repeated - 1)
        if attempt.memory == "none" and mutation == "run_unknown_repeat":
            yield "the owner runs the repeat", _run(taken)
        elif attempt.memory == "none":
            yield "the owner does not know it", _reply(taken, "unknown")
        elif attempt.memory == "ran":
            yield "the owner remembers it", _reply(taken, "ok")
        elif attempt.memory == "refused":
            yield "the owner remembers its refusal", _reply(taken, "not_run")
        else:
            yield "the repeat joins it", taken


def _run(attempt: Attempt) -> Attempt:
    return attempt._replace(memory="running", executing=attempt.executing + 1)


def _refuse(attempt: Attempt) -> Attempt:
    return _reply(attempt._replace(memory="refused"), "not_run")


def _reply(attempt: Attempt, answer: str) -> Attempt:
    return attempt._replace(replies=attempt.replies | {answer})


def _database(attempt: Attempt, mutation: str) -> Iterator[tuple[str, Attempt]]:
    if not attempt.executing:
        return
    ended = attempt._replace(executing=attempt.executing - 1)
    committed = ended._replace(runs=attempt.runs + 1)
    if attempt.memory == "running":
        yield "the database commits", _reply(committed._replace(memory="ran"), "ok")
        yield "the database refuses it by its term", _refuse(ended)
        outcome = "not_run" if mutation == "cut_is_not_run" else "unknown"
        cut = attempt._replace(memory="none")
        yield "the owner cuts it at its deadline", _reply(cut, outcome)
    else:
        yield "the database commits, without an answer", committed
        yield "the database rolls back, without an answer", ended


def _network(attempt: Attempt) -> Iterator[tuple[str, Attempt]]:
    for reply in attempt.replies:
        yield f"the answer {reply} is lost", attempt._replace(replies=attempt.replies - {reply})
    if attempt.requested:
        yield "the request is lost", attempt._replace(requested=attempt.requested - 1)


def _edge(state: State, mutation: str) -> Iterator[Step]:
    attempt = state.attempts[state.current]
    for reply in attempt.replies:
        received = _with(state, state.current, attempt._replace(replies=attempt.replies - {reply}))
        if reply == "not_run" and state.current + 1 < ATTEMPTS:
            following = state.current + 1
            fresh = state.attempts[following]._replace(requested=1)
            yield (
                "the edge sends a new id",
                _with(received, following, fresh)._replace(current=following),
            )
        yield f"the caller receives {reply}", received._replace(verdict=reply)
    if attempt.repeats_left:
        repeat = attempt._replace(
            repeats_left=attempt.repeats_left - 1, repeated=attempt.repeated + 1
        )
        yield "the edge repeats the request", _with(state, state.current, repeat)
    timeout_verdict = "not_run" if mutation == "timeout_is_not_run" else "unknown"
    yield "the edge gives up", state._replace(verdict=timeout_verdict)
    if mutation == "timeout_tries_a_new_id" and state.current + 1 < ATTEMPTS:
        following = state.current + 1
        fresh = state.attempts[following]._replace(requested=1)
        yield "the edge sends a new id", _with(state, following, fresh)._replace(current=following)


def _with(state: State, index: int, attempt: Attempt) -> State:
    attempts = (*state.attempts[:index], attempt, *state.attempts[index + 1 :])
    return state._replace(attempts=attempts)


def _runs(state: State) -> int:
    return sum(attempt.runs for attempt in state.attempts)


def at_most_once(state: State) -> bool:
    """The write is committed at most once over all attempts."""
    return _runs(state) <= 1


def not_run_is_true(state: State) -> bool:
    """A write that was reported as not run is never committed."""
    return state.verdict != "not_run" or _runs(state) == 0


def ok_is_true(state: State) -> bool:
    """An acknowledged write is committed."""
    return state.verdict != "ok" or _runs(state) == 1


MODEL = Model(
    name="requests",
    bounds=f"{ATTEMPTS} request ids, {REPEATS} repeat each, {RESTARTS} restart of the owner",
    initial=INITIAL,
    steps=steps,
    invariants={
        "at_most_once": at_most_once,
        "not_run_is_true": not_run_is_true,
        "ok_is_true": ok_is_true,
    },
    mutations={
        "acknowledge_before_commit": "ok_is_true",
        "run_unknown_repeat": "at_most_once",
        "timeout_tries_a_new_id": "at_most_once",
        "cut_is_not_run": "not_run_is_true",
        "timeout_is_not_run": "not_run_is_true",
    },
)
