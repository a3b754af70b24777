"""Runs every judge over one history."""

from collections import Counter
from collections.abc import Callable, Iterable

from bramblebeam.lab.history import records as facts_of
from bramblebeam.lab.history.store import History
from bramblebeam.lab.judge import lifecycle, requests, staleness
from bramblebeam.lab.judge.facts import HistoryIndex
from bramblebeam.lab.judge.violation import Violation

_JUDGES: dict[str, Callable[[HistoryIndex], list[Violation]]] = {
    requests.READ_YOUR_WRITES: requests.judge_read_your_writes,
    requests.NO_ACK_BY_REPLACED_PRIMARY: requests.judge_no_ack_by_replaced_primary,
    requests.TRANSACTIONS_DO_NOT_MIX: requests.judge_transactions_do_not_mix,
    requests.WHOLE_OWN_ANSWER: requests.judge_whole_own_answer,
    requests.NOT_RUN_IS_TRUE: requests.judge_not_run_is_true,
    requests.AT_MOST_ONCE: requests.judge_at_most_once,
    staleness.BOUNDED_STALENESS: staleness.judge_bounded_staleness,
    lifecycle.LEAVING_GETS_NO_NEW_WORK: lifecycle.judge_leaving_gets_no_new_work,
    lifecycle.PLANNED_STOP_CUTS_NOTHING: lifecycle.judge_planned_stop_cuts_nothing,
    lifecycle.CONFIGURATION_IN_FORCE: lifecycle.judge_configuration_in_force,
    lifecycle.SLOTS_NEVER_EXCEEDED: lifecycle.judge_slots_never_exceeded,
}

INVARIANTS: tuple[str, ...] = tuple(_JUDGES)
"""The invariants judged, by name."""


def judge(history: History) -> list[Violation]:
    """Return every violation found in the history."""
    facts = HistoryIndex(history)
    return [violation for judge_one in _JUDGES.values() for violation in judge_one(facts)]


def counts(violations: Iterable[Violation]) -> dict[str, int]:
    """Return how often each invariant was violated; invariants without a violation count 0."""
    found = Counter(violation.invariant for violation in violations)
    return {invariant: found[invariant] for invariant in INVARIANTS}


def examined(history: History) -> dict[str, int]:
    """Return how many observations each judge had to go by (0: it was not put to the test)."""
    facts = HistoryIndex(history)
    ended = [exchange for exchange in facts.exchanges.values() if exchange.answers]
    reads = [e for e in ended if e.sent.operation == "read" and e.outcome == "ok"]
    wrote = {(e.sent.session, e.sent.group, e.sent.key) for e in ended if e.sent.value}
    own = [e for e in reads if (e.sent.session, e.sent.group, e.sent.key) in wrote]
    stops = {record.node: record.time for record in history.of(facts_of.NodeStopping)}
    caught = [e for e in ended if e.sent.time < stops.get(e.sent.node, 0.0) < e.answers[0].time]
    leaving = {record.instance for record in history.of(facts_of.BackendLeaving)}
    worked = history.of(facts_of.BackendWorkStarted)
    return {
        requests.READ_YOUR_WRITES: len(own),
        requests.NO_ACK_BY_REPLACED_PRIMARY: len(history.of(facts_of.BackendAcknowledged)),
        requests.TRANSACTIONS_DO_NOT_MIX: sum(1 for e in ended if e.sent.transaction),
        requests.WHOLE_OWN_ANSWER: len(ended),
        requests.NOT_RUN_IS_TRUE: sum(1 for e in ended if e.outcome == "not_run"),
        requests.AT_MOST_ONCE: len(facts.committed),
        lifecycle.LEAVING_GETS_NO_NEW_WORK: sum(1 for w in worked if w.instance in leaving),
        staleness.BOUNDED_STALENESS: len(staleness.bounded_reads(facts)),
        lifecycle.PLANNED_STOP_CUTS_NOTHING: len(caught),
        lifecycle.CONFIGURATION_IN_FORCE: len(history.of(facts_of.RowInForce)),
        lifecycle.SLOTS_NEVER_EXCEEDED: len(history.of(facts_of.BackendConnections)),
    }
