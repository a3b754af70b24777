"""Planned stops of two nodes that overlap, beside a change of primary, in discrete time.

A caller has a session at the first node, which runs its statements on its own connections or passes
them to the second node. Either node may be told to stop at any time. One tick is a twelfth of the
grace period. What begins, and what is closed, is decided by the product's own `PlannedStop`.

Assumptions: no node fails; an answer that a database has sent arrives; each node looks at what it
has left once a tick.
"""

from collections.abc import Iterator
from typing import NamedTuple

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.gateway.stopping import PlannedStop, StopPhase
from spec.checking import Model, Step, is_kept

GRACE = 12
LIMIT = 6
"""Ticks after which a statement gets its answer, or times out and ends its transaction."""
LAST_STOP = 2
"""The last tick at which a node is told to stop."""
RUNNING = -1
LATE_BOUND = 9
"""Ticks after which the former drain closed every connection."""


class State(NamedTuple):
    """Two nodes, the caller's session, and its statement.

    `stops`: when each node was told to stop, or RUNNING. `up`: whether each node still runs.
    `session`: rests, asks or closed. `transaction`: where one is open: none, first or second.
    `place`: where the statement is: it waits at the first or second node, or is at a database by
    way of one of them. `action`: what was asked. `asked`: the tick. `ran`: a database has run it.
    `leads`: whether the group has a primary that statements can be sent to. `changes`: changes of
    primary that may still begin. `broken`: violated invariants.
    """

    now: int = 0
    stops: tuple[int, int] = (RUNNING, RUNNING)
    up: tuple[bool, bool] = (True, True)
    session: str = "rests"
    transaction: str = "none"
    place: str = ""
    action: Action = Action.WRITE
    asked: int = 0
    ran: bool = False
    leads: bool = True
    changes: int = 1
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the caller, the nodes, the databases and the time."""
    yield from _caller(state, mutation)
    yield from _statement(state, mutation)
    if state.now < LAST_STOP + GRACE + 1:
        yield "a tick", _tick(state, mutation)
    for index in (0, 1):
        if state.stops[index] == RUNNING and state.now <= LAST_STOP:
            stops = tuple(state.now if at == index else s for at, s in enumerate(state.stops))
            yield f"node {index} is told to stop", state._replace(stops=stops)
    if state.leads and state.changes:
        yield "the primary is lost", state._replace(leads=False, changes=0)
    if not state.leads:
        yield "a primary is found", state._replace(leads=True)


# The caller.


def _caller(state: State, mutation: str) -> Iterator[Step]:
    if state.session != "rests" or not state.up[0]:
        return
    if state.transaction == "none":
        yield "a single write", _ask(state, Action.WRITE, mutation)
        if _stop(state, 0).may_begin(Action.BEGIN, False, LIMIT, state.now):
            for where in ("first", "second"):
                yield f"a transaction at the {where} node", state._replace(transaction=where)
        return
    yield "a statement in the transaction", _ask(state, Action.READ, mutation)
    yield "its COMMIT", _ask(state, Action.COMMIT, mutation)


def _ask(state: State, action: Action, mutation: str) -> State:
    in_transaction = state.transaction != "none"
    may_begin = _stop(state, 0).may_begin(action, in_transaction, LIMIT, state.now)
    if mutation == "begin_to_the_end":
        may_begin = _phase(state, 0) < StopPhase.EXPIRED
    if mutation == "end_transactions_at_once" and in_transaction:
        may_begin = state.stops[0] == RUNNING
    asked = state._replace(session="asks", place="waits at first", action=action, asked=state.now)
    return asked if may_begin else _refuse(asked)


# The statement.


def _statement(state: State, mutation: str) -> Iterator[Step]:
    if state.session != "asks":
        return
    if state.place == "waits at first":
        yield from _leave_first(state)
    if state.place == "waits at second" and state.leads:
        yield "the second node sends it", state._replace(place="by second")
    if state.place in ("by first", "by second"):
        yield "the database runs it", state._replace(ran=True)
    if state.ran:
        yield "its answer arrives", _answer(state)


def _leave_first(state: State) -> Iterator[Step]:
    if state.transaction != "second" and state.leads:
        yield "the first node sends it", state._replace(place="by first")
    if state.transaction == "none" and state.up[1] and state.stops[1] == RUNNING:
        yield "it is passed on", state._replace(place="waits at second")
    if state.transaction == "second":
        left = LIMIT - (state.now - state.asked)
        stop = _stop(state, 1)
        if state.up[1] and stop.may_begin(state.action, True, left, state.now):
            yield "it is passed on", state._replace(place="waits at second")
        else:
            yield "the transaction is lost", _refuse(state)


# The nodes.


def _tick(state: State, mutation: str) -> State:
    state = state._replace(now=state.now + 1)
    if state.session == "asks" and state.now - state.asked >= LIMIT:
        state = _answer(state._replace(action=Action.COMMIT))
    state = _drain_second(state, mutation)
    state = _drain_first(state, mutation)
    late = [at for at in (0, 1) if state.up[at] and 0 <= state.stops[at] <= state.now - GRACE]
    return _break(state, "node_ends_before_the_kill") if late else state


def _drain_second(state: State, mutation: str) -> State:
    phase = _phase(state, 1)
    if mutation == "host_drops_at_the_bound" and _passed(state, 1) >= LATE_BOUND:
        phase = StopPhase.EXPIRED
    if phase >= StopPhase.REFUSING and state.place == "waits at second":
        single = state.transaction == "none"
        state = state._replace(place="waits at first") if single else _refuse(state)
    if phase is StopPhase.EXPIRED and state.place == "by second":
        state = _doubt(state, _phase(state, 1))
    is_busy = state.transaction == "second" or state.place.endswith("second")
    ends = phase is StopPhase.EXPIRED or (phase > StopPhase.ADMITTING and not is_busy)
    return state._replace(up=(state.up[0], False)) if ends else state


def _drain_first(state: State, mutation: str) -> State:
    phase = _phase(state, 0)
    if not state.up[0] or phase is StopPhase.SERVING:
        return state
    if mutation == "cut_at_the_bound" and _passed(state, 0) >= LATE_BOUND:
        return _close(state)
    if mutation == "close_behind_answers" and _is_resting(state):
        return _close(state)
    if phase > StopPhase.ADMITTING and _is_resting(state):
        return _close(state)
    if phase >= StopPhase.REFUSING and state.place == "waits at first":
        state = _refuse(state)
    if phase >= StopPhase.REFUSING and state.session == "asks":
        if mutation == "promise_about_what_ran":
            state = _refuse(state)
        if mutation == "doubt_early":
            state = _doubt(state, phase)
    if phase is StopPhase.EXPIRED and mutation != "wait_for_all":
        return _close(_doubt(state, phase) if state.session == "asks" else state)
    return state


def _close(state: State) -> State:
    """Close the caller's connection, and end the first node."""
    if state.session == "asks":
        state = _break(state, "planned_stop_cuts_nothing")
    if _phase(state, 0) is StopPhase.ADMITTING:
        state = _break(state, "admitting_node_closes_nothing")
    return state._replace(session="closed", place="", up=(False, state.up[1]))


# Outcomes.


def _answer(state: State) -> State:
    ends = state.action is Action.COMMIT
    transaction = "none" if ends else state.transaction
    return state._replace(session="rests", place="", ran=False, transaction=transaction)


def _refuse(state: State) -> State:
    """Promise that nothing of the statement and its transaction is kept."""
    if state.ran and state.action is not Action.READ:
        state = _break(state, "not_run_is_true")
    passed = _passed(state, 0)
    if state.transaction == "first" and state.leads and 0 <= passed < GRACE / 2:
        state = _break(state, "transaction_has_the_first_half")
    return state._replace(session="rests", place="", ran=False, transaction="none")


def _doubt(state: State, phase: StopPhase) -> State:
    """Tell the caller that the statement may have run."""
    if phase < StopPhase.EXPIRED:
        state = _break(state, "database_is_awaited")
    began = state.asked - min(stop for stop in state.stops if stop != RUNNING)
    if began > GRACE / 2 and state.place == "by first":
        state = _break(state, "late_statement_ends_in_time")
    return state._replace(session="rests", place="", ran=False, transaction="none")


def _is_resting(state: State) -> bool:
    return state.session != "asks" and state.transaction == "none"


def _passed(state: State, node: int) -> int:
    """Return the ticks since a node was told to stop, or RUNNING."""
    return RUNNING if state.stops[node] == RUNNING else state.now - state.stops[node]


def _stop(state: State, node: int) -> PlannedStop:
    stop = PlannedStop()
    if state.stops[node] != RUNNING:
        stop.begin(state.stops[node], GRACE)
    return stop


def _phase(state: State, node: int) -> StopPhase:
    return _stop(state, node).phase(state.now)


def _break(state: State, invariant: str) -> State:
    return state._replace(broken=state.broken | {invariant})


INVARIANTS = (
    "planned_stop_cuts_nothing",
    "admitting_node_closes_nothing",
    "node_ends_before_the_kill",
    "not_run_is_true",
    "transaction_has_the_first_half",
    "database_is_awaited",
    "late_statement_ends_in_time",
)

MODEL = Model(
    name="planned stops",
    bounds=f"two nodes that stop within {LAST_STOP} ticks, a grace period of {GRACE} ticks, "
    f"one session, statements of up to {LIMIT} ticks, one change of primary",
    initial=State(),
    steps=steps,
    invariants={name: is_kept(name) for name in INVARIANTS},
    mutations={
        "cut_at_the_bound": "planned_stop_cuts_nothing",
        "close_behind_answers": "admitting_node_closes_nothing",
        "wait_for_all": "node_ends_before_the_kill",
        "promise_about_what_ran": "not_run_is_true",
        "end_transactions_at_once": "transaction_has_the_first_half",
        "doubt_early": "database_is_awaited",
        "host_drops_at_the_bound": "database_is_awaited",
        "begin_to_the_end": "late_statement_ends_in_time",
    },
)
