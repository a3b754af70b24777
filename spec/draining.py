"""A back end that leaves and a node that stops as planned, in discrete time.

One tick is a fifth of a second: the period of the status queries. Time cannot pass a query that is
due, unless the query is lost; a status that is not fresh counts as unreachable, and gets no work.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

LEAVING_BOUND = 15
"""Ticks after the sign in which new work may still begin."""
FRESH = 5
"""Ticks for which a status counts."""
IN_FLIGHT = 2


class State(NamedTuple):
    """`since_sign`: ticks since the back end showed its sign (-1: not yet).

    `age`: ticks since the owner's status was true. `known`: it shows the sign. `begun`: work that
    began this long after the sign (-1: none). `in_flight`: statements at the node. `node`: running,
    stopping or stopped. `cut`: statements that ended without an answer.
    """

    since_sign: int = -1
    age: int = 0
    known: bool = False
    begun: int = -1
    in_flight: int = 0
    node: str = "running"
    cut: int = 0


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of time, the back end and the node."""
    if state.since_sign < LEAVING_BOUND + 2:
        older = min(state.age + 1, FRESH + 1)
        since = state.since_sign + 1 if state.since_sign >= 0 else -1
        yield "a tick, the query lost", state._replace(since_sign=since, age=older)
        seen = state.known or since >= 0
        yield "a tick, the status read", state._replace(since_sign=since, age=0, known=seen)
    if state.since_sign < 0:
        yield "the back end shows its sign", state._replace(since_sign=0)
    yield from _work(state, mutation)
    yield from _stop(state, mutation)


def _work(state: State, mutation: str) -> Iterator[Step]:
    fresh = state.age <= FRESH or mutation == "trust_old_status"
    refused = (state.known and mutation != "ignore_sign") or not fresh
    if state.node == "running" and not refused and state.in_flight < IN_FLIGHT:
        begun = max(state.begun, state.since_sign)
        yield "work begins", state._replace(begun=begun, in_flight=state.in_flight + 1)
    if state.in_flight:
        yield "work ends", state._replace(in_flight=state.in_flight - 1)


def _stop(state: State, mutation: str) -> Iterator[Step]:
    if state.node == "running":
        yield "the node is told to stop", state._replace(node="stopping")
    if state.node == "stopping" and (not state.in_flight or mutation == "stop_at_once"):
        stopped = state._replace(node="stopped", cut=state.in_flight, in_flight=0)
        yield "the node stops", stopped


def leaving_gets_no_new_work(state: State) -> bool:
    """No work begins later than the bound after the sign."""
    return state.begun <= LEAVING_BOUND


def planned_stop_cuts_nothing(state: State) -> bool:
    """A planned stop leaves no statement without its answer."""
    return state.cut == 0


MODEL = Model(
    name="draining",
    bounds=f"{LEAVING_BOUND + 2} ticks of 0.2 s after the sign, {IN_FLIGHT} statements in flight, "
    "any lost query; the drain bound is longer than any statement",
    initial=State(),
    steps=steps,
    invariants={
        "leaving_gets_no_new_work": leaving_gets_no_new_work,
        "planned_stop_cuts_nothing": planned_stop_cuts_nothing,
    },
    mutations={
        "trust_old_status": "leaving_gets_no_new_work",
        "ignore_sign": "leaving_gets_no_new_work",
        "stop_at_once": "planned_stop_cuts_nothing",
    },
)
