"""Graceful drain of a database and graceful stop of a node, in discrete time.

One tick is 0.2 s, the period of the status queries. In each tick the query is answered or lost. A
database whose status is no longer fresh counts as unreachable and gets no work.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

LEAVING_BOUND = 15
"""Ticks after the database announced its drain in which new work may still begin."""
FRESH = 5
"""Ticks for which a status is valid."""
IN_FLIGHT = 2
"""Maximum number of statements in flight."""


class State(NamedTuple):
    """The database, and the node that owns it.

    `since_announcement`: ticks since the database announced its drain (-1: not yet). `age`: age of
    the node's status in ticks. `known`: whether the status shows the drain. `last_start`: ticks
    from the announcement to the last start of work (-1: none). `in_flight`: statements at the node.
    `node`: running, stopping or stopped. `cut`: statements that ended without an answer.
    """

    since_announcement: int = -1
    age: int = 0
    known: bool = False
    last_start: int = -1
    in_flight: int = 0
    node: str = "running"
    cut: int = 0


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of time, the database and the node."""
    if state.since_announcement < LEAVING_BOUND + 2:
        older = min(state.age + 1, FRESH + 1)
        since = state.since_announcement + 1 if state.since_announcement >= 0 else -1
        yield "a tick, the query lost", state._replace(since_announcement=since, age=older)
        known = state.known or since >= 0
        yield (
            "a tick, the status read",
            state._replace(since_announcement=since, age=0, known=known),
        )
    if state.since_announcement < 0:
        yield "the database announces its drain", state._replace(since_announcement=0)
    yield from _work(state, mutation)
    yield from _stop(state, mutation)


def _work(state: State, mutation: str) -> Iterator[Step]:
    fresh = state.age <= FRESH or mutation == "trust_old_status"
    refused = (state.known and mutation != "ignore_sign") or not fresh
    if state.node == "running" and not refused and state.in_flight < IN_FLIGHT:
        last_start = max(state.last_start, state.since_announcement)
        yield "work begins", state._replace(last_start=last_start, in_flight=state.in_flight + 1)
    if state.in_flight:
        yield "work ends", state._replace(in_flight=state.in_flight - 1)


def _stop(state: State, mutation: str) -> Iterator[Step]:
    if state.node == "running":
        yield "the node receives a stop signal", state._replace(node="stopping")
    if state.node == "stopping" and (not state.in_flight or mutation == "stop_at_once"):
        stopped = state._replace(node="stopped", cut=state.in_flight, in_flight=0)
        yield "the node stops", stopped


def leaving_gets_no_new_work(state: State) -> bool:
    """No work begins later than LEAVING_BOUND after the announcement."""
    return state.last_start <= LEAVING_BOUND


def planned_stop_cuts_nothing(state: State) -> bool:
    """A graceful stop leaves no statement without an answer."""
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
