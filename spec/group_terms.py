"""Terms of a database group: promises, promotion, majority append and acknowledgement.

A (term, offset) pair identifies a log entry, so a log is the tuple of its entries' terms. The state
keeps what each term's primary sent and what members answered to it: this covers messages that
arrive late, repeatedly or out of order. A replica applies what its primary reports as committed, so
the committed histories of all terms must agree.
"""

from collections.abc import Iterator
from typing import NamedTuple, TypeVar

from spec.checking import Model, Step

T = TypeVar("T")
Log = tuple[int, ...]

MEMBERS = 3
MAJORITY = 2
LONGEST_LOG = 2
"""Length of the log up to which a primary writes."""


class Member(NamedTuple):
    """A database server. It refuses terms below `promised`. `term`: term of its last append."""

    promised: int
    term: int
    log: Log


class Promise(NamedTuple):
    """A member's promise with its last log position, which may reach a controller late.

    `end`: term of the last entry and length of the log.
    """

    term: int
    controller: int
    member: int
    end: tuple[int, int]


class State(NamedTuple):
    """The state of the group.

    `primaries`: (term, controller, member) of the executed promotions. `sent`: by term, the log
    that its primary has sent. `held`: by term and member, the log length that the member has
    confirmed. `committed`: by term, the length that a majority confirmed and the primary
    acknowledged.
    """

    members: tuple[Member, ...]
    promises: frozenset[Promise]
    primaries: frozenset[tuple[int, int, int]]
    sent: tuple[Log, ...]
    held: tuple[tuple[int, ...], ...]
    committed: tuple[int, ...]


def initial(highest_term: int) -> State:
    """Return a group whose first member is the primary of term 1."""
    terms = highest_term + 1
    return State(
        members=(Member(promised=1, term=1, log=()),) * MEMBERS,
        promises=frozenset(),
        primaries=frozenset({(1, 0, 0)}),
        sent=((),) * terms,
        held=((0,) * MEMBERS,) * terms,
        committed=(0,) * terms,
    )


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of members and controllers."""
    for step in (
        *_promises(state, mutation),
        *_promotions(state, mutation),
        *_writes(state),
        *_appends(state, mutation),
        *_acknowledgements(state, mutation),
    ):
        yield step[0], _canonical(step[1], mutation)


def _canonical(state: State, mutation: str) -> State:
    """Reduce a state to a representative of its equivalent states.

    Drops confirmations that a commit has used or that can never form a majority. Swaps the two
    initial replicas into a canonical order, except in a mutation, whose trace names the members.
    """
    lowest = min(member.promised for member in state.members)
    held = list(state.held)
    for term, _, _ in state.primaries:
        done = state.committed[term]
        possible = sorted(held[term])[-MAJORITY] if term < lowest else len(state.sent[term])
        held[term] = tuple(min(length, possible) if length > done else 0 for length in held[term])
    state = state._replace(held=tuple(held))
    mirrored = not mutation and state.members[2] > state.members[1]
    return _mirrored(state) if mirrored else state


def _mirrored(state: State) -> State:
    mirror = (0, 2, 1)
    return state._replace(
        members=tuple(state.members[index] for index in mirror),
        promises=frozenset(p._replace(member=mirror[p.member]) for p in state.promises),
        primaries=frozenset((term, who, mirror[index]) for term, who, index in state.primaries),
        held=tuple(tuple(held[index] for index in mirror) for held in state.held),
    )


def _with(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _with_member(state: State, index: int, member: Member) -> State:
    return state._replace(members=_with(state.members, index, member))


def _with_answer(state: State, term: int, index: int, length: int) -> State:
    held = _with(state.held[term], index, max(state.held[term][index], length))
    return state._replace(held=_with(state.held, term, held))


def _promises(state: State, mutation: str) -> Iterator[Step]:
    """Yield promises: a member promises a term once, to the first controller that requests it."""
    for index, member in enumerate(state.members):
        for term in range(max(2, member.promised), len(state.sent)):
            again = term == member.promised
            if again and mutation != "promise_one_term_twice":
                continue
            end = (member.log[-1] if member.log else 0, len(member.log))
            promise = Promise(term, int(again), index, end)
            promised = _with_member(state, index, member._replace(promised=term))
            label = f"member {index} promises term {term} to controller {promise.controller}"
            yield label, promised._replace(promises=_useful_promises(promised, promise))


def _useful_promises(state: State, promise: Promise) -> frozenset[Promise]:
    """Return the promises without those of won terms and of terms below every member's promise."""
    lowest = min(member.promised for member in state.members)
    won = {term for term, controller, _ in state.primaries if controller == promise.controller}
    return frozenset(
        known
        for known in {*state.promises, promise}
        if known.term >= lowest and known.term not in won
    )


def _promotions(state: State, mutation: str) -> Iterator[Step]:
    """Yield promotions: a controller with a majority's promises promotes the most recent log.

    It does so once per term. The member refuses if it has promised a higher term since; otherwise
    it appends an entry of the new term.
    """
    needed = 1 if mutation == "promote_by_minority" else MAJORITY
    for promise in state.promises:
        term, controller, index, _ = promise
        won = {primary for *who, primary in state.primaries if who == [term, controller]}
        member = state.members[index]
        once = mutation != "promote_twice_in_a_term"
        if member.promised != term or index in won or (won and once):
            continue
        rivals = [p for p in state.promises if p[:2] == promise[:2]]
        behind = [p for p in rivals if p.end <= promise.end or mutation == "promote_any_member"]
        if len(behind) < needed:
            continue
        log = (*member.log, term)
        promoted = _with_member(state, index, member._replace(term=term, log=log))
        promoted = _with_answer(promoted, term, index, len(log))
        yield (
            f"member {index} becomes primary of term {term}",
            promoted._replace(
                primaries=state.primaries | {(term, controller, index)},
                sent=_with(state.sent, term, log),
            ),
        )


def _writes(state: State) -> Iterator[Step]:
    """Yield writes by primaries that have promised no higher term."""
    for term, _, index in state.primaries:
        member = state.members[index]
        if member.promised != term or len(member.log) >= LONGEST_LOG:
            continue
        log = (*member.log, term)
        written = _with_member(state, index, member._replace(log=log))
        written = _with_answer(written, term, index, len(log))
        label = f"primary {index} writes at {(term, len(log))}"
        yield label, written._replace(sent=_with(state.sent, term, log))


def _appends(state: State, mutation: str) -> Iterator[Step]:
    """Yield appends: a member accepts a prefix of a primary's log unless it promised a higher term.

    Its own entries after the common prefix are dropped.
    """
    for term, _, primary in state.primaries:
        for index, member in enumerate(state.members):
            refused = member.promised > term and mutation != "append_below_promise"
            if index == primary or refused:
                continue
            for log in _appendable_prefixes(member, term, state.sent[term]):
                taken = Member(max(member.promised, term), term, log)
                appended = _with_member(state, index, taken)
                label = f"member {index} appends {log} of term {term}"
                yield label, _with_answer(appended, term, index, len(log))


def _appendable_prefixes(member: Member, term: int, sent: Log) -> Iterator[Log]:
    common = 0
    for own, other in zip(member.log, sent, strict=False):
        if own != other:
            break
        common += 1
    shortest = len(member.log) + 1 if member.term == term else common
    return (sent[:length] for length in range(max(1, shortest), len(sent) + 1))


def _acknowledgements(state: State, mutation: str) -> Iterator[Step]:
    """Yield commits: a primary acknowledges what a majority holds, up to an entry of its term."""
    needed = 1 if mutation == "acknowledge_alone" else MAJORITY
    for term, *_ in state.primaries:
        log = state.sent[term]
        for length in range(state.committed[term] + 1, len(log) + 1):
            holders = sum(1 for held in state.held[term] if held >= length)
            own = log[length - 1] == term or mutation == "acknowledge_older_entries"
            if holders >= needed and own:
                committed = _with(state.committed, term, length)
                yield f"term {term} commits {log[:length]}", state._replace(committed=committed)


def one_primary_a_term(state: State) -> bool:
    """No two members become primary of the same term."""
    return len({term for term, *_ in state.primaries}) == len(state.primaries)


def acknowledged_writes_survive(state: State) -> bool:
    """The primary of a later term holds everything that earlier terms acknowledged."""
    return all(
        state.sent[later][: state.committed[term]] == state.sent[term][: state.committed[term]]
        for term, *_ in state.primaries
        for later, *_ in state.primaries
        if later > term
    )


def committed_histories_agree(state: State) -> bool:
    """Of the committed histories of two terms, one is a prefix of the other."""
    histories = [state.sent[term][: state.committed[term]] for term, *_ in state.primaries]
    return all(
        first[: len(second)] == second[: len(first)] for first in histories for second in histories
    )


def _model(name: str, bounds: str, initial: State, mutations: dict[str, str]) -> Model:
    return Model(
        name=name,
        bounds=f"{MEMBERS} members, {bounds}, writes while a log is shorter than {LONGEST_LOG}, "
        "any number of controllers",
        initial=initial,
        steps=steps,
        invariants={
            "one_primary_a_term": one_primary_a_term,
            "acknowledged_writes_survive": acknowledged_writes_survive,
            "committed_histories_agree": committed_histories_agree,
        },
        mutations=mutations,
    )


def _after(state: State, *labels: str) -> State:
    """Return the state after the steps with these labels."""
    for label in labels:
        state = next(after for name, after in steps(state, "named") if name == label)
    return state


MODEL = _model(
    "group_terms",
    "terms 1 to 3",
    initial(highest_term=3),
    {
        "promise_one_term_twice": "one_primary_a_term",
        "promote_twice_in_a_term": "one_primary_a_term",
        "promote_by_minority": "acknowledged_writes_survive",
        "promote_any_member": "acknowledged_writes_survive",
        "append_below_promise": "acknowledged_writes_survive",
        "acknowledge_alone": "acknowledged_writes_survive",
    },
)

THIRD_CHANGE = _model(
    "group_terms_third_change",
    "terms 3 and 4 after a primary each of term 1 and 2 with an entry that nobody else holds",
    _after(
        initial(highest_term=4),
        "primary 0 writes at (1, 1)",
        "member 1 promises term 2 to controller 0",
        "member 2 promises term 2 to controller 0",
        "member 2 becomes primary of term 2",
        "member 0 promises term 3 to controller 0",
        "member 1 promises term 3 to controller 0",
    ),
    {"acknowledge_older_entries": "committed_histories_agree"},
)
"""Needs a third change: only there may counting an older entry alone violate an invariant."""
