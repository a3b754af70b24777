"""Checks that the log that a read ran on holds the commits that the read must reflect.

A read must reflect only commits that no promotion rolled back. These are all in one log, so that a
log with the last required commit has all of them. No clocks of different processes are compared:
the sequence numbers of the callers' process tell what was acknowledged before a read began, and
the monotonic clock of the same process gives the age of a commit.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from platform_standins.records import CommitRecord, PromotionRecord, RunRecord, Spans, holds
from soak.history import Attempt, Kind

STALENESS = {"latest": 0.0, "bounded": 1.5, "session": 2.5}
"""By route: how long a read may miss a commit of another session (seconds)."""

Write = tuple[str, int]
"""Key and number, which identify one attempt."""


class Logs(NamedTuple):
    """Records of the members. `last`: the log of the last leader."""

    commits: Sequence[CommitRecord]
    runs: Sequence[RunRecord]
    promotions: Sequence[PromotionRecord]
    last: Spans


class LogPosition(NamedTuple):
    """Position of a write in the log."""

    term: int
    number: int


class _MaxPositions:
    """Maximum log position of the writes acknowledged before a time or sequence number."""

    def __init__(self, found: Iterable[tuple[float, LogPosition]]) -> None:
        self._points: list[float] = []
        self._positions: list[LogPosition] = []
        for point, position in sorted(found):
            newest = max(position, self._positions[-1]) if self._positions else position
            self._points.append(point)
            self._positions.append(newest)

    def before(self, point: float) -> LogPosition | None:
        """Return the maximum position before `point`, None if there is no earlier write."""
        count = bisect_left(self._points, point)
        return self._positions[count - 1] if count else None


class RequiredCommits:
    """Determines the commits that each read must reflect."""

    def __init__(self, logs: Logs, history: Iterable[Attempt]) -> None:
        kept = {
            (commit.key, int(commit.value)): LogPosition(commit.term, commit.number)
            for commit in logs.commits
            if _is_kept(commit, logs)
        }
        acknowledged = [
            (attempt, kept[attempt.key, attempt.number])
            for attempt in history
            if attempt.succeeded
            and attempt.kind is not Kind.READ
            and (attempt.key, attempt.number) in kept
        ]
        by_session: dict[tuple[str, int], list[tuple[float, LogPosition]]] = defaultdict(list)
        for attempt, position in acknowledged:
            by_session[attempt.caller, attempt.session].append(
                (attempt.answered_sequence, position)
            )
        self._own = {session: _MaxPositions(found) for session, found in by_session.items()}
        self._by_sequence = _MaxPositions(
            (found.answered_sequence, position) for found, position in acknowledged
        )
        self._by_time = _MaxPositions(
            (found.answered_at, position) for found, position in acknowledged
        )

    def missing(self, read: Attempt, spans: Spans) -> LogPosition | None:
        """Return a commit that the read must reflect and `spans` lacks, None if there is none."""
        for required in (self._required_of_session(read), self._required_of_others(read)):
            if required is not None and not holds(spans, required.term, required.number):
                return required
        return None

    def _required_of_session(self, read: Attempt) -> LogPosition | None:
        own = self._own.get((read.caller, read.session))
        return None if own is None else own.before(read.sent_sequence)

    def _required_of_others(self, read: Attempt) -> LogPosition | None:
        staleness = STALENESS.get(read.route)
        if staleness is None:
            return None
        if staleness == 0:
            return self._by_sequence.before(read.sent_sequence)
        return self._by_time.before(read.sent_at - staleness)


def _is_kept(commit: CommitRecord, logs: Logs) -> bool:
    """Whether no promotion rolled a commit back, not even temporarily."""
    later = (found.spans for found in logs.promotions if found.term > commit.term)
    return all(holds(spans, commit.term, commit.number) for spans in (*later, logs.last))
