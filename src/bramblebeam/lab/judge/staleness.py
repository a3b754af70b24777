"""Checks that no read is staler than its group's bound, by the recorded commit times."""

from bisect import bisect_left
from collections import defaultdict
from itertools import accumulate

from bramblebeam.lab.history.records import BackendAcknowledged, BackendCommitted, StalenessBound
from bramblebeam.lab.judge.facts import Exchange, HistoryIndex, LogPosition
from bramblebeam.lab.judge.violation import Violation

BOUNDED_STALENESS = "bounded_staleness"
MEASURING_ERROR_SECONDS = 0.05
"""Maximum difference between the recorded times of two processes on one machine."""

_START: LogPosition = (0, 0)
_Key = tuple[str, str]
_Versions = dict[_Key, tuple[list[float], list[LogPosition]]]
"""For each (group, key): commit times, ascending, and the newest position up to each."""


def judge_bounded_staleness(index: HistoryIndex) -> list[Violation]:
    """Check that a read sees each write committed longer than the bound before it was sent.

    The bound is the largest one recorded for the group; reads of a group without a bound are not
    checked. Reads in a transaction run on the primary and are checked too.
    """
    bounds = _bounds(index)
    versions = _versions(index)
    violations = []
    for exchange in bounded_reads(index):
        group = exchange.sent.group
        needed = _newest_before(
            versions.get((group, exchange.sent.key)),
            exchange.sent.time - bounds[group] - MEASURING_ERROR_SECONDS,
        )
        seen = _position_seen(index, exchange)
        if seen is not None and seen < needed:
            answer = exchange.answers[-1]
            detail = (
                f"read {exchange.sent.request} of {group} returned {answer.value!r} of {seen}, "
                f"though {needed} was committed over {bounds[group] * 1000:.0f} ms before"
            )
            violations.append(Violation(BOUNDED_STALENESS, detail, (exchange.sent, answer)))
    return violations


def bounded_reads(index: HistoryIndex) -> list[Exchange]:
    """Return the successful reads of a key in a group with a recorded bound."""
    groups = set(_bounds(index))
    return [
        exchange
        for exchange in index.exchanges.values()
        if exchange.sent.operation == "read"
        and exchange.sent.key
        and exchange.outcome == "ok"
        and exchange.sent.group in groups
    ]


def _bounds(index: HistoryIndex) -> dict[str, float]:
    """Return the staleness bound of each group (seconds)."""
    bounds: dict[str, float] = {}
    for record in index.history.of(StalenessBound):
        known = bounds.get(record.group, 0.0)
        bounds[record.group] = max(known, record.staleness_ms / 1000)
    return bounds


def _versions(index: HistoryIndex) -> _Versions:
    """Return when any back end first recorded each position of each key."""
    written = {
        exchange.sent.value: (exchange.sent.group, exchange.sent.key)
        for exchange in index.exchanges.values()
        if exchange.sent.operation == "write"
    }
    first: dict[_Key, dict[LogPosition, float]] = defaultdict(dict)
    records: list[BackendAcknowledged | BackendCommitted] = [
        *index.history.of(BackendAcknowledged),
        *index.history.of(BackendCommitted),
    ]
    for record in records:
        key = written.get(record.value)
        if key is None:
            continue
        position = (record.term, record.offset)
        first[key][position] = min(record.time, first[key].get(position, record.time))
    return {key: _ascending(times) for key, times in first.items()}


def _ascending(times: dict[LogPosition, float]) -> tuple[list[float], list[LogPosition]]:
    ordered = sorted((time, position) for position, time in times.items())
    positions = accumulate((position for _, position in ordered), max)
    return [time for time, _ in ordered], list(positions)


def _newest_before(
    versions: tuple[list[float], list[LogPosition]] | None, limit: float
) -> LogPosition:
    if versions is None:
        return _START
    times, positions = versions
    earlier = bisect_left(times, limit)
    return positions[earlier - 1] if earlier else _START


def _position_seen(index: HistoryIndex, read: Exchange) -> LogPosition | None:
    """Return the position of the value read, or None if it is unknown."""
    answer = read.answers[-1]
    if not answer.value:
        return _START
    transaction = read.sent.transaction
    if transaction and index.transaction_of(answer.value) == transaction:
        return None
    return index.position_of(answer.value)
