"""The parts of one tenant's limit, lent by a grantor to three nodes that may count it.

One tick is 0.75 s; a grant lasts for two of them. All parts of a limit are lent alike, so that one
grantor that lends all of it stands for them. Answers may be lost or late, holders are lost, pause
and give back, the grantor starts anew and forgets what it promised. Callers ask each holder for
nothing or for all they can get. Amounts are fifths of what the limit lets a tenant begin in a tick.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

HOLDERS = 3
GRANT = 2
"""Ticks for which a part is lent."""
LIMIT, SAVED_UP = 5, 5
"""What the limit lets a tenant begin in a tick, and what may be saved up."""
RATE, MOST_SAVED = 4, 4
"""Four fifths of them, which all holders together admit."""
FRESH_RATE = 2
"""What is lent by a grantor that has just started, when former promises may still be in use."""
FIRST = 1
SPAN = 3
ALLOWED = (LIMIT * SPAN + SAVED_UP) * 11 // 10 + 3


class Holder(NamedTuple):
    """One node that may count. Times in ticks.

    `promised`: for how long the grantor takes it to count. `held`: for how long it does count, by
    `rate`. `saved`: what may begin at once.
    """

    promised: int = 0
    held: int = 0
    rate: int = 0
    saved: int = 0


class State(NamedTuple):
    """`admitted`: in each of the last ticks. `fresh`: until former promises are surely over."""

    admitted: tuple[int, ...] = (0,) * SPAN
    holders: tuple[Holder, ...] = (Holder(),) * HOLDERS
    fresh: int = 0


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of messages, losses, and time."""
    for place, holder in enumerate(state.holders):
        yield from _grants(state, place, mutation)
        if holder.held:
            kept = holder.saved if mutation == "keep_what_was_saved_up" else 0
            gone = holder._replace(held=0, saved=kept)
            yield f"{place} is lost, or pauses", _with(state, place, gone._replace(saved=0))
            yield f"{place} gives back", _with(state, place, gone._replace(promised=0))
    if not state.fresh:
        forgotten = tuple(holder._replace(promised=0) for holder in state.holders)
        yield "the grantor starts anew", state._replace(holders=forgotten, fresh=GRANT)
    for asked in range(1 << HOLDERS):
        yield f"a tick, asked {asked:03b}", _tick(state, asked, mutation)


def _grants(state: State, place: int, mutation: str) -> Iterator[Step]:
    """Yield the ways in which a question of one node and its answer may go."""
    others = (other for number, other in enumerate(state.holders) if number != place)
    is_barred = any(other.promised for other in others)
    if is_barred and mutation != "lend_again_at_once":
        return
    holder = state.holders[place]
    rate = FRESH_RATE if state.fresh and mutation != "lend_all_when_fresh" else RATE
    promised = holder._replace(promised=GRANT)
    yield f"the answer to {place} is lost", _with(state, place, promised)
    for late in range(GRANT):
        held = GRANT if mutation == "count_from_the_answer" else GRANT - late
        saved = holder.saved if holder.held or mutation == "keep_what_was_saved_up" else FIRST
        lent = Holder(GRANT - late, held, rate, min(saved, _most_saved(rate)))
        yield f"{place} has an answer, {late} late", _with(state, place, lent)


def _with(state: State, place: int, holder: Holder) -> State:
    holders = (*state.holders[:place], holder, *state.holders[place + 1 :])
    return state._replace(holders=holders)


def _most_saved(rate: int) -> int:
    return MOST_SAVED * rate // RATE


def _tick(state: State, asked: int, mutation: str) -> State:
    admitted = 0
    holders = []
    for place, holder in enumerate(state.holders):
        saved = holder.saved
        if holder.held:
            saved = min(_most_saved(holder.rate), saved + holder.rate)
            if asked >> place & 1:
                admitted += saved
                saved = 0
        held = max(0, holder.held - 1)
        if not held and mutation != "keep_what_was_saved_up":
            saved = 0
        holders.append(Holder(max(0, holder.promised - 1), held, holder.rate if held else 0, saved))
    return State((*state.admitted[1:], admitted), tuple(holders), max(0, state.fresh - 1))


def no_more_than_allowed(state: State) -> bool:
    """No span has more operations than the users' rule allows."""
    return sum(state.admitted) <= ALLOWED


def a_part_is_lent_once(state: State) -> bool:
    """Nobody counts by what another one counts by, but for the little that a new grantor lends."""
    rates = sum(holder.rate for holder in state.holders if holder.held)
    return rates <= RATE + (FRESH_RATE if state.fresh else 0)


def what_is_saved_goes_with_the_part(state: State) -> bool:
    """Who counts by nothing has nothing saved up for when it counts again."""
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
