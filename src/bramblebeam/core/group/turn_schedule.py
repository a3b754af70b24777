"""Determines a watcher's turn to act. Reduces competing changes; safety does not depend on it."""

import xxhash

from bramblebeam.core.group.events import Cause
from bramblebeam.core.group.observation import Observations
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import GroupId, NodeId

JITTER_STEPS = 1024


class TurnSchedule:
    """Tracks how long a suspicion has lasted and when this watcher may act on it."""

    def __init__(self, group: GroupId, node: NodeId, timing: GroupTiming) -> None:
        self._timing = timing
        self._key = f"{group}\x00{node}"
        self.rank = 0
        self.suspected_since: float | None = None
        self.failed_cause: Cause | None = None
        """Cause of the last failed attempt, which may have left the group without a primary."""
        self.own_term = 0
        """The last term for which this watcher requested promises."""
        self._retry_at = float("-inf")
        self._failures = 0

    def record_suspicion(self, suspected: bool, now: float) -> None:
        """Record whether there is a cause to act."""
        if not suspected:
            self.suspected_since = None
        elif self.suspected_since is None:
            self.suspected_since = now

    def may_act_at(self, view: Observations) -> float:
        """Return when this watcher may act on a suspicion (seconds)."""
        since = float("inf") if self.suspected_since is None else self.suspected_since
        turn = self.rank * self._timing.rank_wait
        if self.rank > 0:
            turn += self._jitter()
        wait = self._timing.other_change_timeout + turn
        at = max(since + turn, self._retry_at, view.term_learned_at + wait)
        is_foreign_term = view.highest_term != self.own_term
        return max(at, view.promise_learned_at + wait) if is_foreign_term else at

    def record_failure(self, cause: Cause, term: int, now: float) -> None:
        """Record that an attempt at `term` failed."""
        self.failed_cause = cause
        self.own_term = term
        self._failures += 1
        wait = self._timing.retry_wait * min(self._failures, 4)
        self._retry_at = now + wait * (1 + self.rank) / 2 + self._jitter()

    def reset(self) -> None:
        """Clear all waits, because the group has a primary again."""
        self.suspected_since = None
        self.failed_cause = None
        self._failures = 0
        self._retry_at = float("-inf")

    def _jitter(self) -> float:
        """Return a deterministic delay that differs between watchers and terms (seconds)."""
        key = f"{self._key}\x00{self.own_term}\x00{self._failures}"
        digest = xxhash.xxh3_64_intdigest(key.encode())
        return self._timing.jitter * (digest % JITTER_STEPS) / JITTER_STEPS
