"""Our own second attempts: few, and none while callers queue."""

import pytest

from bramblebeam.core.identity import GroupId
from bramblebeam.core.overload.budget import (
    OVERLOADED_WAIT,
    SECOND_ATTEMPT_LIMITS,
    AttemptBudget,
    AttemptBudgets,
)

GROUP, OTHER = GroupId("one"), GroupId("two")
QUIET = 0.0


@pytest.mark.parametrize("rate", [50, 400])
def test_a_database_that_answers_late_is_asked_a_share_more_and_no_more(rate: int) -> None:
    """Load: every answer is late for 20 s, so that each first attempt asks for a second one."""
    budget = AttemptBudget()
    seconds = 20
    granted = 0
    for number in range(rate * seconds):
        budget.record_first_attempt()
        granted += budget.take(QUIET, number / rate)
    earned = (
        SECOND_ATTEMPT_LIMITS.share * rate * seconds + SECOND_ATTEMPT_LIMITS.minimum_rate * seconds
    )
    assert granted <= earned + SECOND_ATTEMPT_LIMITS.capacity
    assert granted >= earned - 1
    assert budget.denied == rate * seconds - granted


def test_in_quiet_times_the_few_statements_of_a_lost_node_go_elsewhere() -> None:
    budget = AttemptBudget()
    assert all(budget.take(QUIET, 0.0) for _ in range(int(SECOND_ATTEMPT_LIMITS.capacity)))
    assert not budget.take(QUIET, 0.0)
    assert budget.take(QUIET, 1.0 / SECOND_ATTEMPT_LIMITS.minimum_rate), (
        "the floor is there without traffic"
    )


@pytest.mark.parametrize(
    ("wait", "granted"),
    [
        pytest.param(OVERLOADED_WAIT, True, id="short queue"),
        pytest.param(2 * OVERLOADED_WAIT, False, id="callers queue"),
    ],
)
def test_there_are_none_under_overload(wait: float, granted: bool) -> None:
    budget = AttemptBudget()
    assert budget.take(wait, 0.0) == granted
    assert budget.denied == (not granted)


def test_what_is_denied_under_overload_is_not_taken_from_the_budget() -> None:
    budget = AttemptBudget()
    for _ in range(1_000):
        budget.take(2 * OVERLOADED_WAIT, 0.0)
    assert budget.take(QUIET, 0.0)


def test_groups_have_budgets_of_their_own() -> None:
    budgets = AttemptBudgets()
    while budgets.of(GROUP).take(QUIET, 0.0):
        pass
    assert budgets.of(OTHER).take(QUIET, 0.0)
    assert budgets.denied == 1
    budgets.keep_only(frozenset({OTHER}))
    assert budgets.of(GROUP).take(QUIET, 0.0), "a group that comes again begins anew"
