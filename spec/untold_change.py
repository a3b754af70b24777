"""A change of primary that is not recorded in the lease, and the next change by another node.

Three members with asynchronous replication. The lease holder changes the primary while the store
does not answer; it may record the change later, or fail. Another node takes over the lease at any
time, reaches some of the members, and changes the primary based on the lease and their reports. The
promotion service executes the holder's order at any time, and refuses it after an order with a
newer token. Members receive entries at any time or never.

Assumption: the holder reached every member except the leader, and paused them.
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
    """Target, lowest term that it leads, and length and last term of its log when it was chosen."""

    target: int
    term: int
    cut: int = 0
    cut_term: int = 0


class State(NamedTuple):
    """The state of the members, the store, both nodes and the promotion service.

    `unrecorded`: change that the holder made without the store. `recorded`: last change recorded in
    the lease. `is_order_pending`: whether the holder's order may still be executed.
    `is_taken_over`: whether the other node has the lease. `has_ordered`: whether the other node has
    ordered a change. `found`, `found_term`: last leader that the other node found, and its term.
    `denied`: whether that leader reported that it no longer leads. `reported_term`: newest term
    that any member reported to the other node. `broken`: names of the violated invariants.
    """

    logs: tuple[Log, ...] = ((), (), ())
    terms: tuple[int, ...] = (1, 1, 1)
    leader: int = 0
    paused: frozenset[int] = frozenset()
    acknowledged: frozenset[Entry] = frozenset()
    dropped: frozenset[Entry] = frozenset()
    unrecorded: Change | None = None
    recorded: Change | None = None
    is_order_pending: bool = False
    is_taken_over: bool = False
    has_ordered: bool = False
    found: int = 0
    found_term: int = 1
    denied: bool = False
    reported_term: int = 1
    broken: frozenset[str] = frozenset()


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield the steps that are possible in a state."""
    yield from _database(state)
    yield from _holder(state)
    yield from _learns(state)
    if state.is_taken_over:
        yield from _changes(state, mutation)
    else:
        yield "the other node takes the lease over", state._replace(is_taken_over=True)


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
    if state.unrecorded is None and not state.is_taken_over:
        replicas = [member for member in MEMBERS if member != state.leader]
        target = max(replicas, key=lambda member: _length(state, member))
        log = state.logs[target]
        change = Change(target, max(state.terms) + 1, len(log), log[-1] if log else 1)
        paused = state.paused | frozenset(replicas)
        ordered = state._replace(unrecorded=change, is_order_pending=True, paused=paused)
        yield f"the holder orders {target} without the store", ordered
    if state.unrecorded is None:
        return
    if not state.is_taken_over and state.recorded != state.unrecorded:
        yield (
            "the holder records its change in the lease",
            state._replace(recorded=state.unrecorded),
        )
    if state.is_order_pending and state.has_ordered:
        yield "the late order is refused", state._replace(is_order_pending=False)
    elif state.is_order_pending:
        yield (
            "the holder's order is executed",
            _promote(state, state.unrecorded)._replace(is_order_pending=False),
        )


def _length(state: State, member: int) -> tuple[Log, int, int]:
    log = state.logs[member]
    return log[-1:], len(log), member


def _learns(state: State) -> Iterator[Step]:
    """Yield reports of members that the other node receives."""
    leader, term = state.leader, state.terms[state.leader]
    if (state.found, state.found_term) != (leader, term):
        found = state._replace(
            found=leader,
            found_term=term,
            denied=False,
            reported_term=max(state.reported_term, term),
        )
        yield "the other node finds the leader", found
        if not state.denied and state.found != leader:
            yield "the former leader denies", state._replace(denied=True)
    for member in MEMBERS:
        if state.terms[member] > state.reported_term:
            learned = state._replace(reported_term=state.terms[member])
            yield f"the other node receives the term of {member}", learned


def _changes(state: State, mutation: str) -> Iterator[Step]:
    if max(state.terms) >= MAXIMUM_TERM:
        return
    others = [member for member in MEMBERS if member != state.leader]
    for reached in [(others[0],), (others[1],), tuple(others)]:
        followed = _followed(state, reached, mutation)
        candidates = [member for member in reached if _follows(state, member, followed)]
        if not candidates:
            continue
        target = max(candidates, key=lambda member: _length(state, member))
        log = state.logs[target]
        known = [state.terms[member] for member in reached]
        term = max(*known, followed.term if followed else 0, state.reported_term) + 1
        change = Change(target, term, len(log), log[-1] if log else 1)
        changed = _promote(state, change)
        yield (
            f"the other node reaches {reached} and promotes {target}",
            changed._replace(
                recorded=change,
                has_ordered=True,
                found=target,
                found_term=changed.terms[target],
                denied=False,
                reported_term=changed.terms[target],
            ),
        )


def _followed(state: State, reached: tuple[int, ...], mutation: str) -> Change | None:
    """Return the change that a target must follow: the recorded one or a later one."""
    if mutation == "trust_the_lease":
        return state.recorded
    newest = max(state.reported_term, *(state.terms[member] for member in reached))
    if mutation == "ignore_newer_terms":
        newest = 0
    is_replica = state.found in reached and state.terms[state.found] <= state.found_term
    is_denied = is_replica or state.denied
    all_answer = {*reached, state.found} >= set(MEMBERS) or mutation == "count_silent_members"
    if is_denied and not all_answer and mutation != "ignore_denial":
        newest = max(newest, state.found_term + 1)
    if state.recorded is not None and state.recorded.term >= newest:
        return state.recorded
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
