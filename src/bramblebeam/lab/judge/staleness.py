"""Judges that no read was answered staler than its row allows, from what was committed when."""

from bisect import bisect_left
from collections import defaultdict
from itertools import accumulate

from bramblebeam.lab.history.records import BackendAcknowledged, BackendCommitted, StalenessBound
from bramblebeam.lab.judge.facts import Exchange, HistoryIndex, LogPosition
from bramblebeam.lab.judge.violation import Violation

BOUNDED_STALENESS = "bounded_staleness"
MEASURING_ERROR_SECONDS = 0.05
"""How far the recorded times of two processes of one machine may be off each other."""

_NOWHERE: LogPosition = (0, 0)
_Key = tuple[str, str]
_Versions = dict[_Key, tuple[list[float], list[LogPosition]]]
"""For each (group, key): times of commits, ascending, and the newest place up to each."""


def judge_bounded_staleness(facts: HistoryIndex) -> list[Violation]:
    """A read sees each write that was committed more than its bound before it was sent.

    The bound is the largest one recorded for the group; reads of a group without any are not
    judged. Reads inside a transaction see what their connection's primary has and are judged too.
    """
    bounds = _bounds(facts)
    versions = _versions(facts)
    violations = []
    for exchange in bounded_reads(facts):
        group = exchange.sent.group
        needed = _newest_before(
            versions.get((group, exchange.sent.key)),
            exchange.sent.time - bounds[group] - MEASURING_ERROR_SECONDS,
        )
        seen = _position_seen(facts, exchange)
        if seen is not None and seen < needed:
            answer = exchange.answers[-1]
            detail = (
                f"read {exchange.sent.request} of {group} returned {answer.value!r} of {seen}, "
                f"though {needed} was committed over {bounds[group] * 1000:.0f} ms before"
            )
            violations.append(Violation(BOUNDED_STALENESS, detail, (exchange.sent, answer)))
    return violations


def bounded_reads(facts: HistoryIndex) -> list[Exchange]:
    """Return the answered reads of one key whose group has a recorded bound."""
    groups = set(_bounds(facts))
    return [
        exchange
        for exchange in facts.exchanges.values()
        if exchange.sent.operation == "read"
        and exchange.sent.key
        and exchange.outcome == "ok"
        and exchange.sent.group in groups
    ]


def _bounds(facts: HistoryIndex) -> dict[str, float]:
    """Return the bound of each group (seconds)."""
    bounds: dict[str, float] = {}
    for record in facts.history.of(StalenessBound):
        known = bounds.get(record.group, 0.0)
        bounds[record.group] = max(known, record.staleness_ms / 1000)
    return bounds


def _versions(facts: HistoryIndex) -> _Versions:
    """Return when each key first had each of its places at any back end."""
    written = {
        exchange.sent.value: (exchange.sent.group, exchange.sent.key)
        for exchange in facts.exchanges.values()
        if exchange.sent.operation == "write"
    }
    first: dict[_Key, dict[LogPosition, float]] = defaultdict(dict)
    records: list[BackendAcknowledged | BackendCommitted] = [
        *facts.history.of(BackendAcknowledged),
        *facts.history.of(BackendCommitted),
    ]
    for record in records:
        key = written.get(record.value)
        if key is None:
            continue
        place = (record.term, record.offset)
        first[key][place] = min(record.time, first[key].get(place, record.time))
    return {key: _ascending(times) for key, times in first.items()}


def _ascending(times: dict[LogPosition, float]) -> tuple[list[float], list[LogPosition]]:
    ordered = sorted((time, place) for place, time in times.items())
    places = accumulate((place for _, place in ordered), max)
    return [time for time, _ in ordered], list(places)


def _newest_before(
    versions: tuple[list[float], list[LogPosition]] | None, limit: float
) -> LogPosition:
    if versions is None:
        return _NOWHERE
    times, places = versions
    index = bisect_left(times, limit)
    return places[index - 1] if index else _NOWHERE


def _position_seen(facts: HistoryIndex, read: Exchange) -> LogPosition | None:
    """Return the place of the value read, or None where it can't be told."""
    answer = read.answers[-1]
    if not answer.value:
        return _NOWHERE
    transaction = read.sent.transaction
    if transaction and facts.transaction_of(answer.value) == transaction:
        return None
    return facts.position_of(answer.value)
