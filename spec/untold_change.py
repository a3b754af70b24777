"""A change of primary that the lease does not tell, and the next one by another node.

Three members with asynchronous logs. The holder of the lease changes the primary while the store
gives no answer; it may write that down later, or be lost. Another node takes the lease over at any
moment, reaches some of the members, and changes the primary with what the lease and they tell. The
outside service carries the holder's order out at any time, and refuses it once it has taken a newer
token. Members receive at any time or never.

Taken for granted: the holder reached every member but the leader, and paused them.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step, is_kept, replace_at
from spec.ordered_change import Entry, Log, entries

MEMBERS = (0, 1, 2)
MAXIMUM_ENTRIES = 2
MAXIMUM_TERM = 4
UNKNOWN = -1


class Change(NamedTuple):
    """Target, lowest term that it leads, length and last term of its log when it was chosen."""

    target: int
    term: int
    cut: int = 0
    cut_term: int = 0


class State(NamedTuple):
    """What the members, the store, both nodes and the outside service know.

    `secret`: the change that the holder has made without the store. `told`: the last change that
    stands in the lease. `late`: whether the holder's order may still be carried out. `taken`:
    whether the other node has the lease. `found`, `found_term`: the last leader that it found, and
    its term. `denied`: that one told it that it leads no more. `heard`: the newest term that any
    member told it.
    """

    logs: tuple[Log, ...] = ((), (), ())
    terms: tuple[int, ...] = (1, 1, 1)
    leader: int = 0
    paused: frozenset[int] = frozenset()
    acknowledged: frozenset[Entry] = frozenset()
    dropped: frozenset[Entry] = frozenset()
    secret: Change | None = None
    told: Change | None = None
    late: bool = False
    taken: bool = False
    has_ordered: bool = False
    found: int = 0
    found_term: int = 1
    denied: bool = False
    heard: int = 1
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    yield from _database(state)
    yield from _holder(state)
    yield from _learns(state)
    if state.taken:
        yield from _changes(state, mutation)
    else:
        yield "the other node takes the lease over", state._replace(taken=True)


def _database(state: State) -> Iterator[Step]:
    leader = state.leader
    log, term = state.logs[leader], state.terms[leader]
    if len(log) < MAXIMUM_ENTRIES:
        acknowledged = state.acknowledged | {(len(log), term)}
        logs = replace_at(state.logs, leader, (*log, term))
        yield "the leader commits", state._replace(logs=logs, acknowledged=acknowledged)
    for member in MEMBERS:
        is_new = state.logs[member] != log or state.terms[member] != term
        if member == leader or member in state.paused or not is_new:
            continue
        logs = replace_at(state.logs, member, log)
        terms = replace_at(state.terms, member, term)
        yield f"{member} receives", state._replace(logs=logs, terms=terms)


def _holder(state: State) -> Iterator[Step]:
    if state.secret is None and not state.taken:
        replicas = [member for member in MEMBERS if member != state.leader]
        target = max(replicas, key=lambda member: _length(state, member))
        log = state.logs[target]
        change = Change(target, max(state.terms) + 1, len(log), log[-1] if log else 1)
        paused = state.paused | frozenset(replicas)
        ordered = state._replace(secret=change, late=True, paused=paused)
        yield f"the holder orders {target} without the store", ordered
    if state.secret is None:
        return
    if not state.taken and state.told != state.secret:
        yield "the holder writes its change", state._replace(told=state.secret)
    if state.late and state.has_ordered:
        yield "the late order is refused", state._replace(late=False)
    elif state.late:
        yield (
            "the holder's order is carried out",
            _promote(state, state.secret)._replace(late=False),
        )


def _length(state: State, member: int) -> tuple[Log, int, int]:
    log = state.logs[member]
    return log[-1:], len(log), member


def _learns(state: State) -> Iterator[Step]:
    """Yield what the other node learns of members without changing anything."""
    leader, term = state.leader, state.terms[state.leader]
    if (state.found, state.found_term) != (leader, term):
        found = state._replace(
            found=leader, found_term=term, denied=False, heard=max(state.heard, term)
        )
        yield "the other node finds the leader", found
        if not state.denied and state.found != leader:
            yield "the former leader denies", state._replace(denied=True)
    for member in MEMBERS:
        if state.terms[member] > state.heard:
            heard = state._replace(heard=state.terms[member])
            yield f"the other node hears the term of {member}", heard


def _changes(state: State, mutation: str) -> Iterator[Step]:
    if max(state.terms) >= MAXIMUM_TERM:
        return
    others = [member for member in MEMBERS if member != state.leader]
    for reached in [(others[0],), (others[1],), tuple(others)]:
        followed = _followed(state, reached, mutation)
        fit = [member for member in reached if _follows(state, member, followed)]
        if not fit:
            continue
        target = max(fit, key=lambda member: _length(state, member))
        log = state.logs[target]
        known = [state.terms[member] for member in reached]
        term = max(*known, followed.term if followed else 0, state.heard) + 1
        change = Change(target, term, len(log), log[-1] if log else 1)
        changed = _promote(state, change)
        yield (
            f"the other node reaches {reached} and promotes {target}",
            changed._replace(
                told=change,
                has_ordered=True,
                found=target,
                found_term=changed.terms[target],
                denied=False,
                heard=changed.terms[target],
            ),
        )


def _followed(state: State, reached: tuple[int, ...], mutation: str) -> Change | None:
    """Return the change that a target must follow: the one told, or a later one."""
    if mutation == "trust_the_lease":
        return state.told
    newest = max(state.heard, *(state.terms[member] for member in reached))
    if mutation == "ignore_newer_terms":
        newest = 0
    is_replica = state.found in reached and state.terms[state.found] <= state.found_term
    says_so = is_replica or state.denied
    all_answer = {*reached, state.found} >= set(MEMBERS) or mutation == "count_silent_members"
    if says_so and not all_answer and mutation != "ignore_denial":
        newest = max(newest, state.found_term + 1)
    if state.told is not None and state.told.term >= newest:
        return state.told
    return Change(state.found if newest == state.found_term else UNKNOWN, newest)


def _follows(state: State, member: int, followed: Change | None) -> bool:
    if followed is None or member == followed.target or state.terms[member] >= followed.term:
        return True
    log = state.logs[member]
    is_older = (log[-1] if log else 1) <= followed.cut_term
    knows_cut = state.terms[member] >= followed.cut_term
    return knows_cut and is_older and len(log) <= followed.cut


def _promote(state: State, change: Change) -> State:
    kept = entries(state.logs[change.target])
    valid = state.acknowledged - state.dropped
    broken = state.broken
    if kept & state.dropped:
        broken = broken | {"dropped_stays_dropped"}
    return state._replace(
        leader=change.target,
        terms=replace_at(state.terms, change.target, max(state.terms) + 1),
        paused=frozenset(),
        dropped=state.dropped | (valid - kept),
        broken=broken,
    )


MODEL = Model(
    name="change that the lease does not tell",
    bounds=f"3 members, 2 nodes, {MAXIMUM_ENTRIES} entries, terms to {MAXIMUM_TERM}",
    initial=State(),
    steps=steps,
    invariants={"dropped_stays_dropped": is_kept("dropped_stays_dropped")},
    mutations={
        "trust_the_lease": "dropped_stays_dropped",
        "ignore_denial": "dropped_stays_dropped",
        "ignore_newer_terms": "dropped_stays_dropped",
        "count_silent_members": "dropped_stays_dropped",
    },
)
