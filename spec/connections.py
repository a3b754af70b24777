"""A database connection that is used by two sessions in turn.

Covers open transactions, late answers and abandoned sessions.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

NO_SESSION = 0
SESSIONS = (1, 2)


class State(NamedTuple):
    """The connection and the sessions that use it.

    `holder`: session that holds the connection. `pinned`: whether the holder is in a transaction,
    as seen by the node. `waiting`: whether the holder waits for an answer. `transaction`: session
    whose transaction is open at the database. `answers`: sessions whose answers are in flight,
    oldest first. `ran_in`: last statement's session and the session of the transaction that it ran
    in. `got`: last answer's receiver and the session that it was for.
    """

    holder: int = NO_SESSION
    pinned: bool = False
    waiting: bool = False
    transaction: int = NO_SESSION
    answers: tuple[int, ...] = ()
    ran_in: tuple[int, int] = (NO_SESSION, NO_SESSION)
    got: tuple[int, int] = (NO_SESSION, NO_SESSION)


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the sessions, the pool and the database."""
    if state.holder == NO_SESSION:
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
        started = sent._replace(pinned=True, transaction=state.transaction or session)
        yield f"session {session} begins a transaction", started
    else:
        yield f"session {session} ends it", sent._replace(pinned=False, transaction=NO_SESSION)


def _answer(state: State, mutation: str) -> Iterator[Step]:
    """Deliver the oldest answer to the session that holds the connection."""
    got = (state.holder, state.answers[0])
    answered = state._replace(answers=state.answers[1:], got=got, waiting=False)
    unpinned = mutation == "share_in_transaction" or not state.pinned
    if unpinned and (not answered.answers or mutation):
        answered = answered._replace(holder=NO_SESSION, pinned=False)
    yield f"an answer goes to session {state.holder}", answered


def _abandon(state: State, mutation: str) -> Iterator[Step]:
    """End the session, or its statement at the deadline.

    With an answer in flight the connection is closed and replaced by a new one. Otherwise it is
    reset, which rolls back an open transaction.
    """
    if state.answers and mutation != "hand_on_with_answer":
        yield f"session {state.holder} is cut: the connection is dropped", State()
    elif mutation == "hand_on_without_reset":
        yield f"session {state.holder} is gone", State(transaction=state.transaction)
    else:
        yield f"session {state.holder} is gone: reset", State(answers=state.answers)


def transactions_do_not_mix(state: State) -> bool:
    """A statement runs in a transaction of its own session or in none."""
    return state.ran_in[0] == state.ran_in[1]


def whole_own_answer(state: State) -> bool:
    """A session receives only answers to its own statements."""
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
