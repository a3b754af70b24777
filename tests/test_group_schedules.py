"""The group state machine under random fault schedules, checked by its acknowledged writes."""

from typing import Any

import pytest

from bramblebeam.core.group.change import Change
from bramblebeam.core.identity import InstanceId
from bramblebeam.lab.schedules.schedule import Schedule

SEEDS_TO_DETECT = 60


@pytest.mark.parametrize("members", [3, 5])
def test_no_acknowledged_write_is_lost_and_writes_succeed_again(members: int) -> None:
    promotions = 0
    for seed in range(8):
        schedule = Schedule(seed, members)
        assert schedule.run() == "", f"seed {seed}"
        promotions += schedule.watchers.promotions
    assert promotions > 8


def test_schedule_is_deterministic() -> None:
    runs = []
    for _ in range(2):
        schedule = Schedule(4, 3)
        schedule.run()
        runs.append(schedule.members.acknowledged)
    assert runs[0] == runs[1]


def test_choosing_a_member_with_a_shorter_log_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def choose_lowest(promises: Any, order: Any, preferred: Any) -> InstanceId:
        return min(promises, key=lambda name: promises[name].last)

    monkeypatch.setattr("bramblebeam.core.group.change.choose_primary", choose_lowest)
    assert any(Schedule(seed, 3).run() for seed in range(SEEDS_TO_DETECT))


def test_promoting_on_the_first_promise_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def ready(change: Change, now: float, grace: float) -> bool:
        return bool(change.promises)

    monkeypatch.setattr(Change, "ready", ready)
    assert any(Schedule(seed, 3).run() for seed in range(SEEDS_TO_DETECT))
