"""Checks the answers that callers got against the records of the back ends."""

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


def judge_read_your_writes(index: HistoryIndex) -> list[Violation]:
    """Check that a read sent after the answer to the session's own write sees it or a later one.

    Writes are ordered by the committed positions that back ends recorded, so other sessions may
    write the same key.
    """
    own: dict[tuple[str, str, str], list[tuple[RequestAnswered, LogPosition]]] = defaultdict(list)
    commits = _commit_answers(index)
    for exchange in index.exchanges.values():
        sent = exchange.sent
        if sent.operation != "write" or exchange.outcome != "ok":
            continue
        position = index.position_of(sent.value)
        answer = commits.get(sent.transaction) if sent.transaction else exchange.answers[-1]
        if position is not None and answer is not None:
            own[sent.session, sent.group, sent.key].append((answer, position))
    violations = []
    for exchange in index.exchanges.values():
        if exchange.sent.operation != "read" or exchange.outcome != "ok":
            continue
        violation = _missed_write(index, exchange, own)
        if violation is not None:
            violations.append(violation)
    return violations


def _commit_answers(index: HistoryIndex) -> dict[str, RequestAnswered]:
    """Return, by transaction, the answer that confirmed the commit to the caller."""
    return {
        exchange.sent.transaction: exchange.answers[-1]
        for exchange in index.exchanges.values()
        if exchange.sent.operation == "commit" and exchange.outcome == "ok"
    }


def _missed_write(
    index: HistoryIndex,
    read: Exchange,
    own: dict[tuple[str, str, str], list[tuple[RequestAnswered, LogPosition]]],
) -> Violation | None:
    sent = read.sent
    earlier = [
        (position, answer)
        for answer, position in own.get((sent.session, sent.group, sent.key), ())
        if answer.time < sent.time
    ]
    if not earlier:
        return None
    position, answer = max(earlier, key=lambda item: item[0])
    seen = read.answers[-1]
    if sent.transaction and index.transaction_of(seen.value) == sent.transaction:
        return None
    seen_position = index.position_of(seen.value)
    if seen_position is None and seen.value and not index.log_complete(sent.group):
        return None
    if seen_position is not None and seen_position >= position:
        return None
    detail = f"{sent.session} wrote at {position} and then read {seen.value!r} at {seen_position}"
    return Violation(READ_YOUR_WRITES, detail, (answer, sent, seen))


def judge_no_ack_by_replaced_primary(index: HistoryIndex) -> list[Violation]:
    """Check that only the current primary acknowledges writes and that none of them is lost.

    An older term must not answer a request sent after the answer of a newer term. One primary at
    most acknowledges in each term, and the back ends agree on the contents of each position.
    """
    return [
        *_lost_acknowledgements(index),
        *_acknowledged_after_newer_term(index),
        *_two_primaries_in_one_term(index),
        *_disagreeing_positions(index),
    ]


def _lost_acknowledgements(index: HistoryIndex) -> list[Violation]:
    violations = []
    for exchange in index.exchanges.values():
        sent = exchange.sent
        if sent.operation != "write" or sent.transaction or exchange.outcome != "ok":
            continue
        if index.log_complete(sent.group) and sent.value not in index.committed:
            detail = f"acknowledged write of {sent.value!r} is in no log"
            violations.append(
                Violation(NO_ACK_BY_REPLACED_PRIMARY, detail, (sent, exchange.answers[-1]))
            )
    for record in index.history.of(BackendAcknowledged):
        positions = index.committed.get(record.value, {})
        if index.log_complete(record.group) and (record.term, record.offset) not in positions:
            detail = (
                f"{record.instance} acknowledged {record.value!r}, not committed at that position"
            )
            violations.append(Violation(NO_ACK_BY_REPLACED_PRIMARY, detail, (record,)))
    return violations


def _acknowledged_after_newer_term(index: HistoryIndex) -> list[Violation]:
    violations = []
    newest: dict[str, RequestAnswered] = {}
    for record in index.history:
        if isinstance(record, RequestAnswered) and record.outcome == "ok" and record.term:
            exchange = index.exchanges.get(record.request)
            if exchange is None or exchange.sent.operation == "read":
                continue
            known = newest.get(exchange.sent.group)
            if known is None or record.term > known.term:
                newest[exchange.sent.group] = record
            elif record.term < known.term and exchange.sent.time > known.time:
                detail = f"term {record.term} answered a request sent after term {known.term} did"
                records = (known, exchange.sent, record)
                violations.append(Violation(NO_ACK_BY_REPLACED_PRIMARY, detail, records))
    return violations


def _two_primaries_in_one_term(index: HistoryIndex) -> list[Violation]:
    violations = []
    primary: dict[tuple[str, int], BackendAcknowledged] = {}
    for record in index.history.of(BackendAcknowledged):
        first = primary.setdefault((record.group, record.term), record)
        if first.instance != record.instance:
            detail = (
                f"{first.instance} and {record.instance} both acknowledged in term {record.term}"
            )
            violations.append(Violation(NO_ACK_BY_REPLACED_PRIMARY, detail, (first, record)))
    return violations


def _disagreeing_positions(index: HistoryIndex) -> list[Violation]:
    at: dict[tuple[str, int], dict[str, list[BackendCommitted]]] = defaultdict(dict)
    for record in index.history.of(BackendCommitted):
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


def judge_transactions_do_not_mix(index: HistoryIndex) -> list[Violation]:
    """Check that a transaction has statements of one session only, and commits all or none."""
    return [*_mixed_connections(index), *_mixed_positions(index), *_partial_transactions(index)]


def _mixed_connections(index: HistoryIndex) -> list[Violation]:
    violations = []
    opened: dict[tuple[str, str], BackendStatement] = {}
    for record in index.history.of(BackendStatement):
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


def _writes_by_value(index: HistoryIndex) -> dict[str, RequestSent]:
    return {
        exchange.sent.value: exchange.sent
        for exchange in index.exchanges.values()
        if exchange.sent.operation == "write"
    }


def _mixed_positions(index: HistoryIndex) -> list[Violation]:
    writes = _writes_by_value(index)
    owner: dict[tuple[str, str, LogPosition], tuple[str, BackendCommitted]] = {}
    violations = []
    for record in index.history.of(BackendCommitted):
        sent = writes.get(record.value)
        if sent is None:
            continue
        name = f"{sent.session}/{sent.transaction or sent.request}"
        at = (record.instance, record.group, (record.term, record.offset))
        first_name, first = owner.setdefault(at, (name, record))
        if first_name != name:
            detail = f"one commit contains writes of {first_name} and {name}"
            violations.append(Violation(TRANSACTIONS_DO_NOT_MIX, detail, (first, record)))
    return violations


def _partial_transactions(index: HistoryIndex) -> list[Violation]:
    """Find committed transactions with split or missing writes, and uncommitted ones with any."""
    writes: dict[str, list[RequestSent]] = defaultdict(list)
    ends: dict[str, Exchange] = {}
    for exchange in index.exchanges.values():
        sent = exchange.sent
        if not sent.transaction:
            continue
        if sent.operation == "write" and exchange.outcome == "ok":
            writes[sent.transaction].append(sent)
        elif sent.operation in ("commit", "rollback") and exchange.outcome in ("ok", "not_run"):
            ends[sent.transaction] = exchange
    violations = []
    for name, end in ends.items():
        if not index.log_complete(end.sent.group):
            continue
        positions = [frozenset(index.committed.get(sent.value, {})) for sent in writes[name]]
        committed = end.sent.operation == "commit" and end.outcome == "ok"
        whole = len(set(positions)) <= 1 and all(positions) if committed else not any(positions)
        if not whole:
            reported_not_run = end.sent.operation == "commit" and end.outcome == "not_run"
            invariant = NOT_RUN_IS_TRUE if reported_not_run else TRANSACTIONS_DO_NOT_MIX
            detail = f"transaction {name} ({end.sent.operation}: {end.outcome}) is at {positions}"
            violations.append(Violation(invariant, detail, (*writes[name], end.answers[-1])))
    return violations


def judge_whole_own_answer(index: HistoryIndex) -> list[Violation]:
    """Check that each answer matches the caller's request, is complete, and has a written value."""
    writes = _writes_by_value(index)
    violations = []
    for record in index.history.of(RequestAnswered):
        exchange = index.exchanges.get(record.request)
        fault = _answer_fault(record, exchange, writes)
        if fault:
            sent = (exchange.sent,) if exchange else ()
            violations.append(Violation(WHOLE_OWN_ANSWER, fault, (*sent, record)))
    return violations


def _answer_fault(
    answer: RequestAnswered, exchange: Exchange | None, writes: dict[str, RequestSent]
) -> str:
    if exchange is None:
        return f"answer to {answer.request}, which no caller sent"
    sent = exchange.sent
    if sent.session != answer.session:
        return f"the answer for {sent.session} went to {answer.session}"
    if answer.outcome != "ok":
        return ""
    if answer.rows != answer.expected_rows:
        return f"{answer.rows} of {answer.expected_rows} rows arrived"
    if sent.operation == "read" and answer.value:
        return _row_fault(sent, answer, writes.get(answer.value))
    return ""


def _row_fault(sent: RequestSent, answer: RequestAnswered, written: RequestSent | None) -> str:
    if answer.key != sent.key:
        return f"requested {sent.key}, got {answer.key}"
    if written is None:
        return f"value {answer.value!r} was never written"
    if (written.key, written.group) != (sent.key, sent.group):
        return f"value {answer.value!r} was written to {written.key} of {written.group}"
    if written.time > answer.time:
        return f"value {answer.value!r} was read before it was written"
    return ""


def judge_not_run_is_true(index: HistoryIndex) -> list[Violation]:
    """Check that a write whose answers were all "not run" is in no log."""
    violations = []
    for exchange in index.exchanges.values():
        sent = exchange.sent
        if sent.operation != "write" or exchange.outcome != "not_run":
            continue
        if any(answer.outcome != "not_run" for answer in exchange.answers):
            continue
        found = index.committed.get(sent.value)
        if found:
            first = next(iter(found.values()))[0]
            detail = f"{sent.value!r} was refused as not run but is committed"
            violations.append(
                Violation(NOT_RUN_IS_TRUE, detail, (sent, exchange.answers[-1], first))
            )
    return violations


def judge_at_most_once(index: HistoryIndex) -> list[Violation]:
    """Check that each marker is committed at one position at most."""
    violations = []
    for value, positions in index.committed.items():
        if len(positions) > 1 and value:
            records = tuple(records[0] for records in positions.values())
            detail = f"{value!r} was committed at {sorted(positions)}"
            violations.append(Violation(AT_MOST_ONCE, detail, records))
    return violations
