"""Stride scheduling, and the order of the fair queue."""

import pytest

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.overload.stride import StrideScheduler
from bramblebeam.core.overload.work import Work, WorkKind
from bramblebeam.core.overload.work_queue import FairQueue, WaitingStatement
from bramblebeam.core.tenants import TenantId

COST = 0.02


def waiting(number: int, priority: int, tenant: str = "t", cost: float = COST) -> WaitingStatement:
    kind = WorkKind(f"route{priority}", Action.READ)
    work = Work(kind, TenantId(tenant), priority, 0.0, 1.0, 1.0)
    return WaitingStatement(number, work, cost)


def taken(queue: FairQueue, count: int) -> list[int]:
    return [queue.take(0.0).number for _ in range(count)]


def test_turns_are_charged_by_time() -> None:
    """A kind whose statements take four times as long gets a quarter of the turns."""
    queue = FairQueue(1.0)
    for number in range(100):
        queue.add(waiting(number, number % 2, cost=(4 - 3 * (number % 2)) * COST), 1.0, 0.0)
    begun = taken(queue, 50)
    assert sum(number % 2 == 0 for number in begun) == 10


def test_inactive_key_gains_no_credit() -> None:
    turns: StrideScheduler[str] = StrideScheduler()
    turns.add("busy", 1.0)
    for _ in range(100):
        assert turns.next() == "busy"
        turns.charge("busy", 1.0)
    turns.add("paused", 1.0)
    begun = []
    for _ in range(10):
        begun.append(turns.next())
        turns.charge(begun[-1], 1.0)
    assert begun.count("paused") in (5, 6)


def test_returning_key_keeps_its_debt() -> None:
    turns: StrideScheduler[str] = StrideScheduler()
    turns.add("a", 1.0)
    turns.add("b", 1.0)
    turns.charge("a", 5.0)
    turns.remove("a")
    turns.add("a", 1.0)
    for _ in range(5):
        assert turns.next() == "b"
        turns.charge("b", 1.0)


def test_removed_keys_leave_no_state() -> None:
    turns: StrideScheduler[int] = StrideScheduler()
    for key in range(5_000):
        turns.add(key, 1.0)
        turns.next()
        turns.charge(key, 1.0)
        turns.remove(key)
    assert len(turns) == 0
    assert not turns._passes
    assert not turns._order


def test_state_of_removed_keys_is_bounded() -> None:
    turns: StrideScheduler[int] = StrideScheduler()
    turns.add(-1, 1.0)
    for key in range(5_000):
        turns.add(key, 1.0)
        for _ in range(2):
            turns.charge(turns.next(), 1.0)
        turns.remove(key)
    assert len(turns._passes) <= 1_002


@pytest.mark.parametrize("priority", [-5, 10**9])
def test_priority_out_of_range_is_clamped(priority: int) -> None:
    queue = FairQueue(2.0)
    queue.add(waiting(1, priority), 1.0, 0.0)
    assert taken(queue, 1) == [1]
    assert not queue


def test_work_of_an_empty_queue_is_zero() -> None:
    queue = FairQueue(2.0)
    first, second = waiting(1, 0, cost=0.1), waiting(2, 1, cost=0.2)
    queue.add(first, 1.0, 0.0)
    queue.add(second, 1.0, 0.0)
    assert queue.work == pytest.approx(0.3)
    queue.remove(first)
    queue.remove(second)
    assert queue.work == 0.0
