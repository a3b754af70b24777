"""When a statement that surely did not run may be asked again."""

from bramblebeam.core.identity import GroupId
from bramblebeam.core.routing.attempt import RECHECK_INTERVAL, Attempt
from bramblebeam.core.routing.budget import RetryBudget
from bramblebeam.core.routing.directory import Directory

_NO_TERM = -1


class RetryGate:
    """The retries of one statement: within the node's budget, and not the same primary at once."""

    __slots__ = ("_budget", "_directory", "_group", "_not_before", "_refused_by", "_term")

    def __init__(self, directory: Directory, budget: RetryBudget, group: GroupId) -> None:
        self._directory = directory
        self._budget = budget
        self._group = group
        self._term = _NO_TERM
        self._refused_by: Attempt | None = None
        self._not_before = 0.0

    def take(self, now: float) -> bool:
        """Take a retry from the budget at time `now` (seconds).

        The first one, and the first after a change of term, are free.
        """
        term = self._directory.highest_term(self._group)
        if term != self._term:
            self._term = term
            return True
        return self._budget.take(now)

    def record_refusal(self, attempt: Attempt) -> None:
        """Remember the primary that refused."""
        self._refused_by = attempt

    def back_off(self, now: float) -> None:
        """Ask again after the interval at the earliest, unless the primary changes."""
        self._not_before = now + RECHECK_INTERVAL

    def is_open(self, now: float) -> bool:
        """Whether the statement may ask now."""
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
