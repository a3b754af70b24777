"""A node's promise to use no leader of a former term."""

import pytest

from bramblebeam.core.gateway.leader_promise import PROMISE_SECONDS, LeaderPromise

NOW = 100.0


@pytest.mark.parametrize(
    ("term", "after", "is_barred"),
    [
        pytest.param(2, 0.0, True, id="a former term"),
        pytest.param(3, 0.0, False, id="the term itself"),
        pytest.param(4, 0.0, False, id="a later one"),
        pytest.param(2, PROMISE_SECONDS - 0.1, True, id="while the order may come"),
        pytest.param(2, PROMISE_SECONDS, False, id="once it can't come any more"),
    ],
)
def test_what_a_promise_bars(term: int, after: float, is_barred: bool) -> None:
    promise = LeaderPromise()
    promise.give(3, NOW)
    assert promise.blocks(term, NOW + after) is is_barred


def test_nothing_is_barred_before_a_promise() -> None:
    assert not LeaderPromise().blocks(0, NOW)


def test_a_promise_for_a_lower_term_takes_none_back_that_still_counts() -> None:
    promise = LeaderPromise()
    promise.give(5, NOW)
    promise.give(3, NOW + 1.0)
    assert promise.blocks(4, NOW + 2.0)
    promise.give(3, NOW + 1.0 + PROMISE_SECONDS)
    assert not promise.blocks(4, NOW + 2.0 + PROMISE_SECONDS)
