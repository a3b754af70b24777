"""A budget for the extra attempts that a node makes on its own initiative.

It protects a database that slows down under load: without a bound, each late answer is requested
twice and each refusal retried, so that load grows just when there is no capacity. Hedged reads,
retries at another node and forwards after a loss are limited to a share of first attempts, and are
denied while statements queue.
"""

from __future__ import annotations

from bramblebeam.core.identity import GroupId
from bramblebeam.core.routing.budget import RetryBudget, RetryLimits

SECOND_ATTEMPT_LIMITS = RetryLimits(share=0.1, minimum_rate=2.0, capacity=10.0)
"""A tenth more work than requested is bearable for a database at nine tenths of its capacity.
Without traffic 2 a second are allowed, and up to ten saved up: as many callers as have a
statement in flight at one node when that node fails."""
OVERLOADED_WAIT = 0.1
"""If a statement waits longer than this before it begins, a second attempt delays all others
(seconds). It corresponds to five typical statements ahead of it in each slot."""


class AttemptBudget:
    """The second attempts of one node at one group's databases."""

    def __init__(self) -> None:
        self._budget = RetryBudget(SECOND_ATTEMPT_LIMITS)
        self.denied = 0

    def record_first_attempt(self) -> None:
        """Record a first attempt, which earns a fraction of a second one."""
        self._budget.record_request()

    def take(self, wait: float, now: float) -> bool:
        """Take one second attempt; return False if it is denied.

        `wait`: until the attempt would begin (seconds).
        """
        allowed = wait <= OVERLOADED_WAIT and self._budget.take(now)
        self.denied += not allowed
        return allowed


class AttemptBudgets:
    """One budget per group."""

    def __init__(self) -> None:
        self._budgets: dict[GroupId, AttemptBudget] = {}

    def of(self, group: GroupId) -> AttemptBudget:
        """Return the group's budget."""
        return self._budgets.setdefault(group, AttemptBudget())

    def keep_only(self, groups: frozenset[GroupId]) -> None:
        """Remove groups that are no longer configured."""
        self._budgets = {
            group: budget for group, budget in self._budgets.items() if group in groups
        }

    @property
    def denied(self) -> int:
        """Number of second attempts that were denied."""
        return sum(budget.denied for budget in self._budgets.values())
