"""A node's promise not to use leaders of older terms."""

import pytest

from bramblebeam.core.gateway.leader_promise import PROMISE_SECONDS, LeaderPromise

NOW = 100.0


@pytest.mark.parametrize(
    ("term", "after", "is_blocked"),
    [
        pytest.param(2, 0.0, True, id="a former term"),
        pytest.param(3, 0.0, False, id="the term itself"),
        pytest.param(4, 0.0, False, id="a later one"),
        pytest.param(2, PROMISE_SECONDS - 0.1, True, id="while the order may take effect"),
        pytest.param(2, PROMISE_SECONDS, False, id="once it can't take effect any more"),
    ],
)
def test_what_a_promise_blocks(term: int, after: float, is_blocked: bool) -> None:
    promise = LeaderPromise()
    promise.give(3, NOW)
    assert promise.blocks(term, NOW + after) is is_blocked


def test_nothing_is_blocked_before_a_promise() -> None:
    assert not LeaderPromise().blocks(0, NOW)


def test_a_promise_for_a_lower_term_does_not_revoke_a_valid_one() -> None:
    promise = LeaderPromise()
    promise.give(5, NOW)
    promise.give(3, NOW + 1.0)
    assert promise.blocks(4, NOW + 2.0)
    promise.give(3, NOW + 1.0 + PROMISE_SECONDS)
    assert not promise.blocks(4, NOW + 2.0 + PROMISE_SECONDS)
