"""A budget for the second attempts that a node makes of itself.

It answers the database that slows down under load: each late answer would be asked for twice, and
each refusal repeated, so that the load grows just when there is no room. Hedged reads, repeats at
another node and forwards after a loss are a share of first attempts, and none while callers queue.
"""

from __future__ import annotations

from bramblebeam.core.identity import GroupId
from bramblebeam.core.routing.budget import RetryBudget, RetryLimits

SECOND_ATTEMPT_LIMITS = RetryLimits(share=0.1, minimum_rate=2.0, capacity=10.0)
"""A tenth more work than was asked for: a database that runs at nine tenths of its capacity bears
it. In quiet times 2 a second, and ten that were saved up: as many callers as have a statement at
one node when that one is lost."""
OVERLOADED_WAIT = 0.1
"""Where a statement waits for so long before it begins, another attempt makes all others wait
longer (seconds): five usual statements are ahead of it in each slot."""


class AttemptBudget:
    """The second attempts of one node at one group's databases."""

    def __init__(self) -> None:
        self._budget = RetryBudget(SECOND_ATTEMPT_LIMITS)
        self.denied = 0

    def record_first_attempt(self) -> None:
        """Note a first attempt, which earns a part of a second one."""
        self._budget.record_request()

    def take(self, wait: float, now: float) -> bool:
        """Take one second attempt; False: there is none. `wait`: until it begins (seconds)."""
        allowed = wait <= OVERLOADED_WAIT and self._budget.take(now)
        self.denied += not allowed
        return allowed


class AttemptBudgets:
    """One budget for each group of databases."""

    def __init__(self) -> None:
        self._budgets: dict[GroupId, AttemptBudget] = {}

    def of(self, group: GroupId) -> AttemptBudget:
        """Return the group's budget."""
        return self._budgets.setdefault(group, AttemptBudget())

    def keep_only(self, groups: frozenset[GroupId]) -> None:
        """Forget groups that are configured no more."""
        self._budgets = {key: found for key, found in self._budgets.items() if key in groups}

    @property
    def denied(self) -> int:
        """How many second attempts were denied."""
        return sum(budget.denied for budget in self._budgets.values())
