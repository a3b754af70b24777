"""What a stopping node may begin and close, as decided at each moment of its grace period."""

import pytest

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.gateway.stopping import QUIET_SECONDS, PlannedStop, StopPhase

GRACE = 6.0
BEGAN = 100.0
SHORT_LIMIT, LONG_LIMIT = 1.0, 3.0


def stop_begun() -> PlannedStop:
    stop = PlannedStop()
    stop.begin(BEGAN, GRACE)
    return stop


@pytest.mark.parametrize(
    ("passed", "phase"),
    [
        (0.0, StopPhase.ADMITTING),
        (1.79, StopPhase.ADMITTING),
        (1.81, StopPhase.CLOSING),
        (2.99, StopPhase.CLOSING),
        (3.01, StopPhase.ENDING),
        (4.49, StopPhase.ENDING),
        (4.51, StopPhase.REFUSING),
        (5.39, StopPhase.REFUSING),
        (5.41, StopPhase.EXPIRED),
    ],
)
def test_the_phases_follow_each_other_through_the_grace_period(
    passed: float, phase: StopPhase
) -> None:
    assert stop_begun().phase(BEGAN + passed) is phase


@pytest.mark.parametrize(
    ("passed", "begin", "short", "long", "local"),
    [
        (1.0, True, True, True, True),
        (2.0, False, True, True, True),
        (3.5, False, True, False, True),
        (4.1, False, False, False, True),
        (5.0, False, False, False, True),
    ],
)
def test_what_may_begin_depends_on_the_time_that_it_may_take(
    passed: float, begin: bool, short: bool, long: bool, local: bool
) -> None:
    stop, now = stop_begun(), BEGAN + passed
    assert stop.may_begin(Action.BEGIN, False, SHORT_LIMIT, now) is begin
    for action, in_transaction in (
        (Action.WRITE, False),
        (Action.READ, True),
        (Action.COMMIT, True),
    ):
        assert stop.may_begin(action, in_transaction, SHORT_LIMIT, now) is short
        assert stop.may_begin(action, in_transaction, LONG_LIMIT, now) is long
    for action in (Action.ROLLBACK, Action.SET, Action.PREPARE_WRITE):
        assert stop.may_begin(action, False, LONG_LIMIT, now) is local


@pytest.mark.parametrize(
    ("passed", "after_quiet", "at_once"),
    [(1.0, False, False), (2.0, True, False), (3.5, True, False), (5.5, True, False)],
)
def test_a_session_at_rest_is_closed_after_a_quiet_moment(
    passed: float, after_quiet: bool, at_once: bool
) -> None:
    stop, now = stop_begun(), BEGAN + passed
    assert stop.may_close_resting(now - 2 * QUIET_SECONDS, now) is after_quiet
    assert stop.may_close_resting(now, now) is at_once


def test_a_second_request_to_stop_changes_nothing() -> None:
    stop = stop_begun()
    stop.begin(BEGAN + 3.0, GRACE)
    assert stop.phase(BEGAN + 3.5) is StopPhase.ENDING


def test_a_node_that_does_not_stop_begins_everything_and_closes_nothing() -> None:
    stop = PlannedStop()
    assert stop.phase(BEGAN) is StopPhase.SERVING
    assert stop.may_begin(Action.BEGIN, False, LONG_LIMIT, BEGAN)
    assert not stop.may_close_resting(0.0, BEGAN)


@pytest.mark.parametrize(
    ("grace", "admitting", "expired"), [(2.0, 0.6, 1.7), (6.0, 1.8, 5.4), (30.0, 3.0, 27.0)]
)
def test_a_short_grace_period_leaves_time_for_the_exit_and_a_long_one_admits_no_longer(
    grace: float, admitting: float, expired: float
) -> None:
    stop = PlannedStop()
    stop.begin(BEGAN, grace)
    assert stop.phase(BEGAN + admitting - 0.01) is StopPhase.ADMITTING
    assert stop.phase(BEGAN + admitting + 0.01) is StopPhase.CLOSING
    assert stop.phase(BEGAN + expired - 0.01) is StopPhase.REFUSING
    assert stop.phase(BEGAN + expired + 0.01) is StopPhase.EXPIRED
