"""Budget of second attempts: few, and none while statements queue."""

import pytest

from bramblebeam.core.identity import GroupId
from bramblebeam.core.overload.budget import (
    OVERLOADED_WAIT,
    SECOND_ATTEMPT_LIMITS,
    AttemptBudget,
    AttemptBudgets,
)

GROUP, OTHER = GroupId("one"), GroupId("two")
NO_WAIT = 0.0


@pytest.mark.parametrize("rate", [50, 400])
def test_second_attempts_are_a_share_of_first_ones(rate: int) -> None:
    """Every answer is late for 20 s, so that each first attempt requests a second one."""
    budget = AttemptBudget()
    seconds = 20
    granted = 0
    for number in range(rate * seconds):
        budget.record_first_attempt()
        granted += budget.take(NO_WAIT, number / rate)
    earned = (
        SECOND_ATTEMPT_LIMITS.share * rate * seconds + SECOND_ATTEMPT_LIMITS.minimum_rate * seconds
    )
    assert granted <= earned + SECOND_ATTEMPT_LIMITS.capacity
    assert granted >= earned - 1
    assert budget.denied == rate * seconds - granted


def test_saved_budget_covers_the_statements_of_a_lost_node() -> None:
    budget = AttemptBudget()
    assert all(budget.take(NO_WAIT, 0.0) for _ in range(int(SECOND_ATTEMPT_LIMITS.capacity)))
    assert not budget.take(NO_WAIT, 0.0)
    assert budget.take(NO_WAIT, 1.0 / SECOND_ATTEMPT_LIMITS.minimum_rate), (
        "the floor applies without traffic"
    )


@pytest.mark.parametrize(
    ("wait", "granted"),
    [
        pytest.param(OVERLOADED_WAIT, True, id="short queue"),
        pytest.param(2 * OVERLOADED_WAIT, False, id="long queue"),
    ],
)
def test_no_second_attempts_under_overload(wait: float, granted: bool) -> None:
    budget = AttemptBudget()
    assert budget.take(wait, 0.0) == granted
    assert budget.denied == (not granted)


def test_denied_attempts_do_not_consume_budget() -> None:
    budget = AttemptBudget()
    for _ in range(1_000):
        budget.take(2 * OVERLOADED_WAIT, 0.0)
    assert budget.take(NO_WAIT, 0.0)


def test_each_group_has_its_own_budget() -> None:
    budgets = AttemptBudgets()
    while budgets.of(GROUP).take(NO_WAIT, 0.0):
        pass
    assert budgets.of(OTHER).take(NO_WAIT, 0.0)
    assert budgets.denied == 1
    budgets.keep_only(frozenset({OTHER}))
    assert budgets.of(GROUP).take(NO_WAIT, 0.0), "a group that is configured again starts anew"
