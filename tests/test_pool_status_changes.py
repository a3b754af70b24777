"""Which status changes are sent to the edges immediately."""

from dataclasses import replace

import pytest

from bramblebeam.core.identity import GroupId, InstanceId, NodeId, Position
from bramblebeam.core.pool.status_changes import must_notify
from bramblebeam.core.role import Role
from bramblebeam.core.routing.choice import NEAR_LAG_MS
from bramblebeam.core.statement import InstanceStatus

FAR = InstanceStatus(
    instance=InstanceId("a"),
    group=GroupId("g"),
    term=2,
    role=Role.REPLICA,
    last=Position(2, 9),
    applied=Position(2, 5),
    lag_ms=NEAR_LAG_MS + 1,
    leaving=False,
    reachable=True,
    owner=NodeId("n"),
    epoch=1,
)


@pytest.mark.parametrize(
    "change", [{"term": 3}, {"role": Role.PRIMARY}, {"leaving": True}, {"reachable": False}]
)
def test_role_term_and_availability_changes_notify(change: dict[str, object]) -> None:
    assert must_notify(replace(FAR, **change), FAR)  # type: ignore[arg-type]


def test_replica_that_has_caught_up_notifies_once() -> None:
    near = replace(FAR, lag_ms=NEAR_LAG_MS, applied=Position(2, 9))
    assert must_notify(near, FAR)
    assert not must_notify(replace(near, lag_ms=0), near)


def test_progress_and_growing_lag_do_not_notify() -> None:
    assert not must_notify(replace(FAR, applied=Position(2, 7), lag_ms=NEAR_LAG_MS + 200), FAR)
    assert not must_notify(FAR, replace(FAR, lag_ms=0))
    primary = replace(FAR, role=Role.PRIMARY)
    assert not must_notify(replace(primary, lag_ms=0), primary)
