"""Judges of what callers were answered against what the back ends did."""

from collections import defaultdict

from bramblebeam.lab.history.records import (
    BackendAcknowledged,
    BackendCommitted,
    BackendStatement,
    RequestAnswered,
    RequestSent,
)
from bramblebeam.lab.judge.facts import Exchange, HistoryIndex, LogPosition
from bramblebeam.lab.judge.violation import Violation

READ_YOUR_WRITES = "read_your_writes"
NO_ACK_BY_REPLACED_PRIMARY = "no_ack_by_replaced_primary"
TRANSACTIONS_DO_NOT_MIX = "transactions_do_not_mix"
WHOLE_OWN_ANSWER = "whole_own_answer"
NOT_RUN_IS_TRUE = "not_run_is_true"
AT_MOST_ONCE = "at_most_once"


def judge_read_your_writes(facts: HistoryIndex) -> list[Violation]:
    """A read sent after the session's own write was answered sees that write or a later one.

    "Later" is decided by the committed positions that back ends reported, so other sessions may
    write the same key.
    """
    own: dict[tuple[str, str, str], list[tuple[RequestAnswered, LogPosition]]] = defaultdict(list)
    commits = _commit_answers(facts)
    for exchange in facts.exchanges.values():
        sent = exchange.sent
        if sent.operation != "write" or exchange.outcome != "ok":
            continue
        place = facts.position_of(sent.value)
        answer = commits.get(sent.transaction) if sent.transaction else exchange.answers[-1]
        if place is not None and answer is not None:
            own[sent.session, sent.group, sent.key].append((answer, place))
    violations = []
    for exchange in facts.exchanges.values():
        if exchange.sent.operation != "read" or exchange.outcome != "ok":
            continue
        violation = _missed_write(facts, exchange, own)
        if violation is not None:
            violations.append(violation)
    return violations


def _commit_answers(facts: HistoryIndex) -> dict[str, RequestAnswered]:
    """Return, by transaction, the answer that told its caller of the commit."""
    return {
        exchange.sent.transaction: exchange.answers[-1]
        for exchange in facts.exchanges.values()
        if exchange.sent.operation == "commit" and exchange.outcome == "ok"
    }


def _missed_write(
    facts: HistoryIndex,
    read: Exchange,
    own: dict[tuple[str, str, str], list[tuple[RequestAnswered, LogPosition]]],
) -> Violation | None:
    sent = read.sent
    earlier = [
        (place, answer)
        for answer, place in own.get((sent.session, sent.group, sent.key), ())
        if answer.time < sent.time
    ]
    if not earlier:
        return None
    place, answer = max(earlier, key=lambda item: item[0])
    seen = read.answers[-1]
    if sent.transaction and facts.transaction_of(seen.value) == sent.transaction:
        return None
    seen_place = facts.position_of(seen.value)
    if seen_place is None and seen.value and not facts.log_complete(sent.group):
        return None
    if seen_place is not None and seen_place >= place:
        return None
    detail = f"session {sent.session} wrote at {place} and then read {seen.value!r} of {seen_place}"
    return Violation(READ_YOUR_WRITES, detail, (answer, sent, seen))


def judge_no_ack_by_replaced_primary(facts: HistoryIndex) -> list[Violation]:
    """No acknowledged write is lost, and an older term answers nothing sent after a newer one's.

    Also no two primaries acknowledge in one term, and back ends agree on each position.
    """
    return [
        *_lost_acknowledgements(facts),
        *_acknowledged_after_newer_term(facts),
        *_two_primaries_in_one_term(facts),
        *_disagreeing_positions(facts),
    ]


def _lost_acknowledgements(facts: HistoryIndex) -> list[Violation]:
    violations = []
    for exchange in facts.exchanges.values():
        sent = exchange.sent
        if sent.operation != "write" or sent.transaction or exchange.outcome != "ok":
            continue
        if facts.log_complete(sent.group) and sent.value not in facts.committed:
            detail = f"write of {sent.value!r} was acknowledged and is in no log"
            violations.append(
                Violation(NO_ACK_BY_REPLACED_PRIMARY, detail, (sent, exchange.answers[-1]))
            )
    for record in facts.history.of(BackendAcknowledged):
        places = facts.committed.get(record.value, {})
        if facts.log_complete(record.group) and (record.term, record.offset) not in places:
            detail = f"{record.instance} acknowledged {record.value!r}, which is not in its place"
            violations.append(Violation(NO_ACK_BY_REPLACED_PRIMARY, detail, (record,)))
    return violations


def _acknowledged_after_newer_term(facts: HistoryIndex) -> list[Violation]:
    violations = []
    newest: dict[str, RequestAnswered] = {}
    for record in facts.history:
        if isinstance(record, RequestAnswered) and record.outcome == "ok" and record.term:
            exchange = facts.exchanges.get(record.request)
            if exchange is None or exchange.sent.operation == "read":
                continue
            known = newest.get(exchange.sent.group)
            if known is None or record.term > known.term:
                newest[exchange.sent.group] = record
            elif record.term < known.term and exchange.sent.time > known.time:
                detail = f"term {record.term} answered what was sent after term {known.term} did"
                records = (known, exchange.sent, record)
                violations.append(Violation(NO_ACK_BY_REPLACED_PRIMARY, detail, records))
    return violations


def _two_primaries_in_one_term(facts: HistoryIndex) -> list[Violation]:
    violations = []
    primary: dict[tuple[str, int], BackendAcknowledged] = {}
    for record in facts.history.of(BackendAcknowledged):
        first = primary.setdefault((record.group, record.term), record)
        if first.instance != record.instance:
            detail = f"{first.instance} and {record.instance} both acknowledged in {record.term}"
            violations.append(Violation(NO_ACK_BY_REPLACED_PRIMARY, detail, (first, record)))
    return violations


def _disagreeing_positions(facts: HistoryIndex) -> list[Violation]:
    at: dict[tuple[str, int], dict[str, list[BackendCommitted]]] = defaultdict(dict)
    for record in facts.history.of(BackendCommitted):
        at[record.group, record.offset].setdefault(record.instance, []).append(record)
    violations = []
    for (group, offset), by_instance in at.items():
        contents = {
            instance: frozenset((record.term, record.value) for record in records)
            for instance, records in by_instance.items()
        }
        if len(set(contents.values())) > 1:
            detail = f"group {group} has different writes at offset {offset}: {contents}"
            records = tuple(record for some in by_instance.values() for record in some)
            violations.append(Violation(NO_ACK_BY_REPLACED_PRIMARY, detail, records))
    return violations


def judge_transactions_do_not_mix(facts: HistoryIndex) -> list[Violation]:
    """A back end's transaction holds one session's statements, and all or none are committed."""
    return [*_mixed_connections(facts), *_mixed_positions(facts), *_torn_transactions(facts)]


def _mixed_connections(facts: HistoryIndex) -> list[Violation]:
    violations = []
    opened: dict[tuple[str, str], BackendStatement] = {}
    for record in facts.history.of(BackendStatement):
        connection = (record.instance, record.connection)
        begin = opened.get(connection)
        if begin is not None and begin.session != record.session:
            detail = f"{record.session} ran in the transaction of {begin.session}"
            violations.append(Violation(TRANSACTIONS_DO_NOT_MIX, detail, (begin, record)))
        if record.operation == "begin":
            opened[connection] = record
        elif record.operation in ("commit", "rollback"):
            opened.pop(connection, None)
    return violations


def _writes_by_value(facts: HistoryIndex) -> dict[str, RequestSent]:
    return {
        exchange.sent.value: exchange.sent
        for exchange in facts.exchanges.values()
        if exchange.sent.operation == "write"
    }


def _mixed_positions(facts: HistoryIndex) -> list[Violation]:
    writes = _writes_by_value(facts)
    owner: dict[tuple[str, str, LogPosition], tuple[str, BackendCommitted]] = {}
    violations = []
    for record in facts.history.of(BackendCommitted):
        sent = writes.get(record.value)
        if sent is None:
            continue
        name = f"{sent.session}/{sent.transaction or sent.request}"
        at = (record.instance, record.group, (record.term, record.offset))
        first_name, first = owner.setdefault(at, (name, record))
        if first_name != name:
            detail = f"one commit holds writes of {first_name} and {name}"
            violations.append(Violation(TRANSACTIONS_DO_NOT_MIX, detail, (first, record)))
    return violations


def _torn_transactions(facts: HistoryIndex) -> list[Violation]:
    """A committed transaction has every answered write at one position; a rolled back one none."""
    writes: dict[str, list[RequestSent]] = defaultdict(list)
    ends: dict[str, Exchange] = {}
    for exchange in facts.exchanges.values():
        sent = exchange.sent
        if not sent.transaction:
            continue
        if sent.operation == "write" and exchange.outcome == "ok":
            writes[sent.transaction].append(sent)
        elif sent.operation in ("commit", "rollback") and exchange.outcome in ("ok", "not_run"):
            ends[sent.transaction] = exchange
    violations = []
    for name, end in ends.items():
        if not facts.log_complete(end.sent.group):
            continue
        places = [frozenset(facts.committed.get(sent.value, {})) for sent in writes[name]]
        committed = end.sent.operation == "commit" and end.outcome == "ok"
        whole = len(set(places)) <= 1 and all(places) if committed else not any(places)
        if not whole:
            denied = end.sent.operation == "commit" and end.outcome == "not_run"
            invariant = NOT_RUN_IS_TRUE if denied else TRANSACTIONS_DO_NOT_MIX
            detail = f"transaction {name} ({end.sent.operation}: {end.outcome}) is at {places}"
            violations.append(Violation(invariant, detail, (*writes[name], end.answers[-1])))
    return violations


def judge_whole_own_answer(facts: HistoryIndex) -> list[Violation]:
    """Each answer belongs to its caller's request, is whole, and holds what was written there."""
    writes = _writes_by_value(facts)
    violations = []
    for record in facts.history.of(RequestAnswered):
        exchange = facts.exchanges.get(record.request)
        fault = _answer_fault(record, exchange, writes)
        if fault:
            sent = (exchange.sent,) if exchange else ()
            violations.append(Violation(WHOLE_OWN_ANSWER, fault, (*sent, record)))
    return violations


def _answer_fault(
    answer: RequestAnswered, exchange: Exchange | None, writes: dict[str, RequestSent]
) -> str:
    if exchange is None:
        return f"an answer to {answer.request}, which nobody sent"
    sent = exchange.sent
    if sent.session != answer.session:
        return f"the answer to {sent.session} went to {answer.session}"
    if answer.outcome != "ok":
        return ""
    if answer.rows != answer.expected_rows:
        return f"{answer.rows} of {answer.expected_rows} rows arrived"
    if sent.operation == "read" and answer.value:
        return _row_fault(sent, answer, writes.get(answer.value))
    return ""


def _row_fault(sent: RequestSent, answer: RequestAnswered, written: RequestSent | None) -> str:
    if answer.key != sent.key:
        return f"asked for {sent.key}, got {answer.key}"
    if written is None:
        return f"value {answer.value!r} was never written"
    if (written.key, written.group) != (sent.key, sent.group):
        return f"value {answer.value!r} was written to {written.key} of {written.group}"
    if written.time > answer.time:
        return f"value {answer.value!r} was read before it was written"
    return ""


def judge_not_run_is_true(facts: HistoryIndex) -> list[Violation]:
    """A write whose last answer was "not run" is in no log."""
    violations = []
    for exchange in facts.exchanges.values():
        sent = exchange.sent
        if sent.operation != "write" or exchange.outcome != "not_run":
            continue
        if any(answer.outcome != "not_run" for answer in exchange.answers):
            continue
        found = facts.committed.get(sent.value)
        if found:
            first = next(iter(found.values()))[0]
            detail = f"{sent.value!r} was refused as not run and is committed"
            violations.append(
                Violation(NOT_RUN_IS_TRUE, detail, (sent, exchange.answers[-1], first))
            )
    return violations


def judge_at_most_once(facts: HistoryIndex) -> list[Violation]:
    """A marker is committed at one position at most."""
    violations = []
    for value, places in facts.committed.items():
        if len(places) > 1 and value:
            records = tuple(records[0] for records in places.values())
            detail = f"{value!r} ran at {sorted(places)}"
            violations.append(Violation(AT_MOST_ONCE, detail, records))
    return violations
