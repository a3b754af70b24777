"""Runs every judge over one history."""

from collections import Counter
from collections.abc import Callable, Iterable

from bramblebeam.lab.history import records
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
"""Names of all invariants checked."""


def judge(history: History) -> list[Violation]:
    """Return every violation found in the history."""
    index = HistoryIndex(history)
    return [violation for judge_one in _JUDGES.values() for violation in judge_one(index)]


def count_violations(violations: Iterable[Violation]) -> dict[str, int]:
    """Return the number of violations of each invariant, including those with none."""
    found = Counter(violation.invariant for violation in violations)
    return {invariant: found[invariant] for invariant in INVARIANTS}


def count_observations(history: History) -> dict[str, int]:
    """Return the number of relevant observations per invariant (0: it was not exercised)."""
    index = HistoryIndex(history)
    ended = [exchange for exchange in index.exchanges.values() if exchange.answers]
    reads = [e for e in ended if e.sent.operation == "read" and e.outcome == "ok"]
    written_keys = {(e.sent.session, e.sent.group, e.sent.key) for e in ended if e.sent.value}
    own_reads = [e for e in reads if (e.sent.session, e.sent.group, e.sent.key) in written_keys]
    stops = {record.node: record.time for record in history.of(records.NodeStopping)}
    in_flight = [e for e in ended if e.sent.time < stops.get(e.sent.node, 0.0) < e.answers[0].time]
    leaving = {record.instance for record in history.of(records.BackendLeaving)}
    worked = history.of(records.BackendWorkStarted)
    return {
        requests.READ_YOUR_WRITES: len(own_reads),
        requests.NO_ACK_BY_REPLACED_PRIMARY: len(history.of(records.BackendAcknowledged)),
        requests.TRANSACTIONS_DO_NOT_MIX: sum(1 for e in ended if e.sent.transaction),
        requests.WHOLE_OWN_ANSWER: len(ended),
        requests.NOT_RUN_IS_TRUE: sum(1 for e in ended if e.outcome == "not_run"),
        requests.AT_MOST_ONCE: len(index.committed),
        lifecycle.LEAVING_GETS_NO_NEW_WORK: sum(1 for w in worked if w.instance in leaving),
        staleness.BOUNDED_STALENESS: len(staleness.bounded_reads(index)),
        lifecycle.PLANNED_STOP_CUTS_NOTHING: len(in_flight),
        lifecycle.CONFIGURATION_IN_FORCE: len(history.of(records.RowInForce)),
        lifecycle.SLOTS_NEVER_EXCEEDED: len(history.of(records.BackendConnections)),
    }
