"""Grants of one tenant's rate limit by a grantor to three nodes that may enforce it.

One tick is 0.75 s; a grant lasts for two ticks. All parts of a limit are granted in the same way,
so that the model has one grantor that grants the whole limit. Answers may be lost or late, holders
may be lost, pause or release their grant, and the grantor may restart and forget its grants. In a
tick, callers request from each holder nothing or as much as possible. Amounts are fifths of what
the limit admits in a tick.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

HOLDERS = 3
GRANT = 2
"""Validity of a grant in ticks."""
LIMIT, BURST = 5, 5
"""Operations that the limit admits in a tick, and its burst size."""
RATE, MAX_SAVED = 4, 4
"""Four fifths of LIMIT and BURST: what all holders together admit."""
FRESH_RATE = 2
"""Rate granted by a restarted grantor while earlier grants may still be in use."""
INITIAL_SAVED = 1
"""Saved-up operations of a new grant."""
SPAN = 3
"""Ticks in which admitted operations are summed up."""
ALLOWED = (LIMIT * SPAN + BURST) * 11 // 10 + 3


class Holder(NamedTuple):
    """A node that may hold a grant. Times in ticks.

    `promised`: remaining time of the grant as the grantor sees it. `held`: remaining time as the
    node sees it, with `rate`. `saved`: operations that are admitted immediately.
    """

    promised: int = 0
    held: int = 0
    rate: int = 0
    saved: int = 0


class State(NamedTuple):
    """The holders and the grantor.

    `admitted`: operations admitted in each of the last ticks. `fresh`: ticks after a restart of the
    grantor until all earlier grants have expired.
    """

    admitted: tuple[int, ...] = (0,) * SPAN
    holders: tuple[Holder, ...] = (Holder(),) * HOLDERS
    fresh: int = 0


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of messages, losses and time."""
    for index, holder in enumerate(state.holders):
        yield from _grants(state, index, mutation)
        if holder.held:
            kept = holder.saved if mutation == "keep_what_was_saved_up" else 0
            ended = holder._replace(held=0, saved=kept)
            yield f"{index} is lost, or pauses", _with(state, index, ended._replace(saved=0))
            yield f"{index} releases its grant", _with(state, index, ended._replace(promised=0))
    if not state.fresh:
        forgotten = tuple(holder._replace(promised=0) for holder in state.holders)
        yield "the grantor restarts", state._replace(holders=forgotten, fresh=GRANT)
    for requested in range(1 << HOLDERS):
        yield f"a tick, requested {requested:03b}", _tick(state, requested, mutation)


def _grants(state: State, index: int, mutation: str) -> Iterator[Step]:
    """Yield the possible outcomes of a node's request for a grant."""
    others = (other for number, other in enumerate(state.holders) if number != index)
    is_blocked = any(other.promised for other in others)
    if is_blocked and mutation != "lend_again_at_once":
        return
    holder = state.holders[index]
    rate = FRESH_RATE if state.fresh and mutation != "lend_all_when_fresh" else RATE
    promised = holder._replace(promised=GRANT)
    yield f"the answer to {index} is lost", _with(state, index, promised)
    for late in range(GRANT):
        held = GRANT if mutation == "count_from_the_answer" else GRANT - late
        saved = (
            holder.saved if holder.held or mutation == "keep_what_was_saved_up" else INITIAL_SAVED
        )
        granted = Holder(GRANT - late, held, rate, min(saved, _max_saved(rate)))
        yield f"{index} has an answer, {late} late", _with(state, index, granted)


def _with(state: State, index: int, holder: Holder) -> State:
    holders = (*state.holders[:index], holder, *state.holders[index + 1 :])
    return state._replace(holders=holders)


def _max_saved(rate: int) -> int:
    return MAX_SAVED * rate // RATE


def _tick(state: State, requested: int, mutation: str) -> State:
    admitted = 0
    holders = []
    for index, holder in enumerate(state.holders):
        saved = holder.saved
        if holder.held:
            saved = min(_max_saved(holder.rate), saved + holder.rate)
            if requested >> index & 1:
                admitted += saved
                saved = 0
        held = max(0, holder.held - 1)
        if not held and mutation != "keep_what_was_saved_up":
            saved = 0
        holders.append(Holder(max(0, holder.promised - 1), held, holder.rate if held else 0, saved))
    return State((*state.admitted[1:], admitted), tuple(holders), max(0, state.fresh - 1))


def no_more_than_allowed(state: State) -> bool:
    """No interval of SPAN ticks admits more operations than documented."""
    return sum(state.admitted) <= ALLOWED


def a_part_is_lent_once(state: State) -> bool:
    """No part of the limit is held twice, except for what a restarted grantor grants."""
    rates = sum(holder.rate for holder in state.holders if holder.held)
    return rates <= RATE + (FRESH_RATE if state.fresh else 0)


def what_is_saved_goes_with_the_part(state: State) -> bool:
    """A node without a grant has nothing saved up for its next grant."""
    return not any(holder.saved for holder in state.holders if not holder.held)


MODEL = Model(
    name="quota",
    bounds=f"{HOLDERS} nodes that may count, grants of {GRANT} ticks, spans of {SPAN}, losses, "
    f"pauses, returns and starts of the grantor again and again, callers that ask for nothing or "
    f"everything",
    initial=State(),
    steps=steps,
    invariants={
        "no_more_than_allowed": no_more_than_allowed,
        "a_part_is_lent_once": a_part_is_lent_once,
        "what_is_saved_goes_with_the_part": what_is_saved_goes_with_the_part,
    },
    mutations={
        "lend_again_at_once": "no_more_than_allowed",
        "count_from_the_answer": "a_part_is_lent_once",
        "lend_all_when_fresh": "a_part_is_lent_once",
        "keep_what_was_saved_up": "what_is_saved_goes_with_the_part",
    },
)
