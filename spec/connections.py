"""One back-end connection that serves two sessions in turn: transactions, late answers, cuts."""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

NOBODY = 0
SESSIONS = (1, 2)


class State(NamedTuple):
    """`holder`: the session that has the connection. `pinned`: it is in a transaction, as it knows.

    At the back end: `transaction`: whose transaction is open. `answers`: whose answers are under
    way, oldest first. What went wrong: `ran_in`: (session, whose transaction), `got`: (session,
    whose answer).
    """

    holder: int = NOBODY
    pinned: bool = False
    waiting: bool = False
    transaction: int = NOBODY
    answers: tuple[int, ...] = ()
    ran_in: tuple[int, int] = (NOBODY, NOBODY)
    got: tuple[int, int] = (NOBODY, NOBODY)


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the sessions, the pool and the back end."""
    if state.holder == NOBODY:
        for session in SESSIONS:
            yield f"session {session} gets the connection", state._replace(holder=session)
        return
    if not state.waiting and len(state.answers) < 2:
        yield from _statements(state, mutation)
    if state.answers:
        yield from _answer(state, mutation)
    yield from _abandon(state, mutation)


def _statements(state: State, mutation: str) -> Iterator[Step]:
    session = state.holder
    ran_in = (session, state.transaction or session)
    sent = state._replace(waiting=True, answers=(*state.answers, session), ran_in=ran_in)
    yield f"session {session} sends a statement", sent
    if not state.pinned:
        begun = sent._replace(pinned=True, transaction=state.transaction or session)
        yield f"session {session} begins a transaction", begun
    else:
        yield f"session {session} ends it", sent._replace(pinned=False, transaction=NOBODY)


def _answer(state: State, mutation: str) -> Iterator[Step]:
    """The oldest answer arrives and goes to whoever holds the connection."""
    got = (state.holder, state.answers[0])
    answered = state._replace(answers=state.answers[1:], got=got, waiting=False)
    unpinned = mutation == "share_in_transaction" or not state.pinned
    if unpinned and (not answered.answers or mutation):
        answered = answered._replace(holder=NOBODY, pinned=False)
    yield f"an answer goes to session {state.holder}", answered


def _abandon(state: State, mutation: str) -> Iterator[Step]:
    """The session is gone or its deadline has passed.

    With an answer under way the connection is dropped: the next one is new. Otherwise it is reset,
    which rolls an open transaction back.
    """
    if state.answers and mutation != "hand_on_with_answer":
        yield f"session {state.holder} is cut: the connection is dropped", State()
    elif mutation == "hand_on_without_reset":
        yield f"session {state.holder} is gone", State(transaction=state.transaction)
    else:
        yield f"session {state.holder} is gone: reset", State(answers=state.answers)


def transactions_do_not_mix(state: State) -> bool:
    """A statement runs in its own session's transaction or in none."""
    return state.ran_in[0] == state.ran_in[1]


def whole_own_answer(state: State) -> bool:
    """A session gets answers to its own statements only."""
    return state.got[0] == state.got[1]


MODEL = Model(
    name="connections",
    bounds="one connection, two sessions, two answers under way at most",
    initial=State(),
    steps=steps,
    invariants={
        "transactions_do_not_mix": transactions_do_not_mix,
        "whole_own_answer": whole_own_answer,
    },
    mutations={
        "hand_on_without_reset": "transactions_do_not_mix",
        "share_in_transaction": "transactions_do_not_mix",
        "hand_on_with_answer": "whole_own_answer",
    },
)
