"""When committed entries are applied: at once on a primary, with the set lag on a replica."""

from collections import deque

from bramblebeam.core.identity import Position
from bramblebeam.lab.database.log import Log
from bramblebeam.lab.database.messages import Apply

APPLY_BATCH = 1_000
"""Most entries applied for one event, so that a member that catches up stays responsive."""


class Applier:
    """Follows the commit offset. Times are seconds."""

    def __init__(self, now: float) -> None:
        self.commit = 0
        self.applied = 0
        self.lag = 0.0
        self._caught_up_at = now
        self._known: deque[tuple[int, float]] = deque()

    def commit_known(self, commit: int, now: float) -> None:
        """The log is committed up to `commit`, as is known from `now` on."""
        if commit > self.commit:
            self.commit = commit
            self._known.append((commit, now))

    def caught_up(self, at: float) -> None:
        """The log held all that was committed at time `at`."""
        self._caught_up_at = max(self._caught_up_at, at)

    def take_due(self, log: Log, now: float, immediately: bool) -> list[Apply]:
        """Return what is to be applied now, in order."""
        limit = self.applied + APPLY_BATCH
        due = self.commit if immediately else self._due(now)
        applies = []
        while self.applied < min(due, limit):
            self.applied += 1
            position = log.position(self.applied)
            applies.append(Apply(position, log.entry(self.applied).payload))
        while self._known and self._known[0][0] <= self.applied:
            self._known.popleft()
        return applies

    def next_due(self) -> float | None:
        """Return when the next entry is due, or None."""
        if not self._known:
            return None
        return self._known[0][1] + self.lag

    def staleness(self, now: float) -> float:
        """Return how old the applied state may be (seconds): since when it may miss something."""
        since = self._caught_up_at
        if self._known:
            since = min(since, self._known[0][1])
        return max(0.0, now - since)

    def applied_position(self, log: Log) -> Position:
        """Return the position up to which the rows have changed."""
        return log.position(self.applied)

    def _due(self, now: float) -> int:
        due = self.applied
        for offset, known_at in self._known:
            if known_at + self.lag > now:
                break
            due = offset
        return due
