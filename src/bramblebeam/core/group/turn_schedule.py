"""When it is this watcher's turn to act. Only prevents duels; nothing's safety rests on it."""

import xxhash

from bramblebeam.core.group.events import Cause
from bramblebeam.core.group.observation import Observations
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import GroupId, NodeId

JITTER_STEPS = 1024


class TurnSchedule:
    """The times since which, and until which, this watcher waits."""

    def __init__(self, group: GroupId, node: NodeId, timing: GroupTiming) -> None:
        self._timing = timing
        self._key = f"{group}\x00{node}"
        self.rank = 0
        self.suspected_since: float | None = None
        self.failed_cause: Cause | None = None
        """Why an attempt that failed had begun: it may have left the group without a primary."""
        self.own_term = 0
        """The last term that this watcher asked promises for."""
        self._retry_at = float("-inf")
        self._failures = 0

    def record_suspicion(self, suspected: bool, now: float) -> None:
        """Note whether there is a cause to act."""
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
        others = view.highest_term != self.own_term
        return max(at, view.promise_learned_at + wait) if others else at

    def record_failure(self, cause: Cause, term: int, now: float) -> None:
        """Note that an attempt at `term` failed."""
        self.failed_cause = cause
        self.own_term = term
        self._failures += 1
        wait = self._timing.retry_wait * min(self._failures, 4)
        self._retry_at = now + wait * (1 + self.rank) / 2 + self._jitter()

    def reset(self) -> None:
        """Note that the group has a primary again."""
        self.suspected_since = None
        self.failed_cause = None
        self._failures = 0
        self._retry_at = float("-inf")

    def _jitter(self) -> float:
        """Return a wait that differs between watchers and terms (seconds)."""
        key = f"{self._key}\x00{self.own_term}\x00{self._failures}"
        digest = xxhash.xxh3_64_intdigest(key.encode())
        return self._timing.jitter * (digest % JITTER_STEPS) / JITTER_STEPS
