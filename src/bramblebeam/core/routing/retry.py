"""Controls when a statement that certainly did not run may be retried."""

from bramblebeam.core.identity import GroupId
from bramblebeam.core.routing.attempt import RECHECK_INTERVAL, Attempt
from bramblebeam.core.routing.budget import RetryBudget
from bramblebeam.core.routing.directory import Directory

_NO_TERM = -1


class RetryGate:
    """Limits a statement's retries to the node's budget and delays those at the same primary."""

    __slots__ = ("_budget", "_directory", "_group", "_not_before", "_refused_by", "_term")

    def __init__(self, directory: Directory, budget: RetryBudget, group: GroupId) -> None:
        self._directory = directory
        self._budget = budget
        self._group = group
        self._term = _NO_TERM
        self._refused_by: Attempt | None = None
        self._not_before = 0.0

    def take(self, now: float) -> bool:
        """Take a retry at time `now` (seconds); return False if the budget is exhausted.

        The first retry and the first one after a change of term do not use the budget.
        """
        term = self._directory.highest_term(self._group)
        if term != self._term:
            self._term = term
            return True
        return self._budget.take(now)

    def record_refusal(self, attempt: Attempt) -> None:
        """Record the primary that refused."""
        self._refused_by = attempt

    def back_off(self, now: float) -> None:
        """Delay the next attempt by RECHECK_INTERVAL unless the primary changes earlier."""
        self._not_before = now + RECHECK_INTERVAL

    def is_open(self, now: float) -> bool:
        """Whether the statement may be attempted now."""
        return now >= self._not_before or self._primary_changed()

    def _primary_changed(self) -> bool:
        primary = self._directory.primary(self._group)
        if primary is None:
            return False
        refused = self._refused_by
        return refused is None or (primary.instance, primary.term) != (
            refused.instance,
            refused.term,
        )
