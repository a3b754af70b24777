"""Which commits a read must have seen, and whether the log that it ran on holds them.

Only commits that no promotion rolled back are owed. All that are left stand in one log, so that a
log which holds the last one owed holds them all. No two clocks are compared: what was acknowledged
before a read began is told by the order in the process of the callers, and the age of a commit by
that process's steady clock alone.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from platform_standins.records import CommitRecord, PromotionRecord, RunRecord, Spans, holds
from soak.history import Attempt, Kind

STALENESS = {"latest": 0.0, "bounded": 1.5, "session": 2.5}
"""For how long a commit of another session may be missing in a read (seconds), by route."""

Write = tuple[str, int]
"""Key and number: unique to one attempt."""


class Logs(NamedTuple):
    """What the members did. `last`: the log of the last leader."""

    commits: Sequence[CommitRecord]
    runs: Sequence[RunRecord]
    promotions: Sequence[PromotionRecord]
    last: Spans


class Place(NamedTuple):
    """Where a write stands in the log."""

    term: int
    number: int


class _Newest:
    """The write with the last place in the log of those acknowledged up to some point."""

    def __init__(self, found: Iterable[tuple[float, Place]]) -> None:
        self._points: list[float] = []
        self._places: list[Place] = []
        for point, place in sorted(found):
            newest = max(place, self._places[-1]) if self._places else place
            self._points.append(point)
            self._places.append(newest)

    def before(self, point: float) -> Place | None:
        """Return the last place of what came before a point, None where nothing did."""
        count = bisect_left(self._points, point)
        return self._places[count - 1] if count else None


class OwedCommits:
    """Knows what each read must have seen."""

    def __init__(self, logs: Logs, history: Iterable[Attempt]) -> None:
        kept = {
            (commit.key, int(commit.value)): Place(commit.term, commit.number)
            for commit in logs.commits
            if _is_kept(commit, logs)
        }
        written = [
            (attempt, kept[attempt.key, attempt.number])
            for attempt in history
            if attempt.succeeded
            and attempt.kind is not Kind.READ
            and (attempt.key, attempt.number) in kept
        ]
        by_session: dict[tuple[str, int], list[tuple[float, Place]]] = defaultdict(list)
        for attempt, place in written:
            by_session[attempt.caller, attempt.session].append((attempt.answered_moment, place))
        self._own = {session: _Newest(found) for session, found in by_session.items()}
        self._by_moment = _Newest((found.answered_moment, place) for found, place in written)
        self._by_time = _Newest((found.answered_at, place) for found, place in written)

    def missing(self, read: Attempt, spans: Spans) -> Place | None:
        """Return a commit that the read must have seen and its log lacks, None where none is."""
        for owed in (self._owed_own(read), self._owed_of_others(read)):
            if owed is not None and not holds(spans, owed.term, owed.number):
                return owed
        return None

    def _owed_own(self, read: Attempt) -> Place | None:
        own = self._own.get((read.caller, read.session))
        return None if own is None else own.before(read.sent_moment)

    def _owed_of_others(self, read: Attempt) -> Place | None:
        staleness = STALENESS.get(read.route)
        if staleness is None:
            return None
        if staleness == 0:
            return self._by_moment.before(read.sent_moment)
        return self._by_time.before(read.sent_at - staleness)


def _is_kept(commit: CommitRecord, logs: Logs) -> bool:
    """Whether no promotion rolled a commit back, not even for a while."""
    later = (found.spans for found in logs.promotions if found.term > commit.term)
    return all(holds(spans, commit.term, commit.number) for spans in (*later, logs.last))
