"""Decides when committed entries are applied: at once on a primary, after a lag on a replica."""

from collections import deque

from bramblebeam.core.identity import Position
from bramblebeam.lab.database.log import Log
from bramblebeam.lab.database.messages import Apply

APPLY_BATCH = 1_000
"""Maximum entries applied per event, so that a member stays responsive while it catches up."""


class Applier:
    """Tracks which committed entries are due to be applied. Times are in seconds."""

    def __init__(self, now: float) -> None:
        self.commit = 0
        self.applied = 0
        self.lag = 0.0
        self._caught_up_at = now
        self._pending_commits: deque[tuple[int, float]] = deque()

    def record_commit(self, commit: int, now: float) -> None:
        """Record at time `now` that the log is committed up to `commit`."""
        if commit > self.commit:
            self.commit = commit
            self._pending_commits.append((commit, now))

    def record_caught_up(self, at: float) -> None:
        """Record that the log held every entry committed by time `at`."""
        self._caught_up_at = max(self._caught_up_at, at)

    def take_due(self, log: Log, now: float, immediately: bool) -> list[Apply]:
        """Return the entries to apply now, in order, and count them as applied."""
        limit = self.applied + APPLY_BATCH
        due = self.commit if immediately else self._due(now)
        applies = []
        while self.applied < min(due, limit):
            self.applied += 1
            position = log.position(self.applied)
            applies.append(Apply(position, log.entry(self.applied).payload))
        while self._pending_commits and self._pending_commits[0][0] <= self.applied:
            self._pending_commits.popleft()
        return applies

    def next_due(self) -> float | None:
        """Return when the next entry is due to be applied, or None."""
        if not self._pending_commits:
            return None
        return self._pending_commits[0][1] + self.lag

    def staleness(self, now: float) -> float:
        """Return for how long (seconds) the applied state may have lacked a committed entry."""
        since = self._caught_up_at
        if self._pending_commits:
            since = min(since, self._pending_commits[0][1])
        return max(0.0, now - since)

    def applied_position(self, log: Log) -> Position:
        """Return the position of the last applied entry."""
        return log.position(self.applied)

    def _due(self, now: float) -> int:
        due = self.applied
        for offset, known_at in self._pending_commits:
            if known_at + self.lag > now:
                break
            due = offset
        return due
