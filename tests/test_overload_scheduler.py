"""Dispatch order of statements: goodput, no starvation, full recovery after overload."""

import random

import pytest

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.limits import AdaptiveLimit, SlotAllowance
from bramblebeam.core.overload.ports import SlotLimit
from bramblebeam.core.overload.scheduler import OVERDUE_LIMIT_FACTOR, OVERDUE_SECONDS, SlotScheduler
from bramblebeam.core.overload.service_times import ASSUMED_SECONDS, ServiceTimes
from bramblebeam.core.overload.settings import OverloadSettings
from bramblebeam.core.overload.work import Work, WorkKind
from bramblebeam.core.tenants import TenantId
from overload_slots import (
    ALLOWANCE,
    KINDS,
    LONG,
    SLOTS,
    URGENT,
    USUAL,
    Kind,
    Outcome,
    SimulatedSlots,
    arrivals,
)

KIND = WorkKind("route", Action.READ)
NEIGHBOURS = [TenantId(f"t{number}") for number in range(11)]
MAX_WASTED_SHARE = 0.015
"""Maximum part of all statements refused after waiting for a quarter of the time to the soft
deadline."""


def wasted_share(outcome: Outcome) -> float:
    return outcome.wasted_waits / outcome.counts["offered"]


# Statements in flight without an answer.


def a_scheduler(limit: int) -> SlotScheduler:
    slots = SlotAllowance(limit, 0)
    return SlotScheduler(InstanceId("db"), slots, ServiceTimes(), OverloadSettings(enabled=True))


def a_work(now: float) -> Work:
    return Work(KIND, NEIGHBOURS[0], 0, now, now + 1.0, now + 2.0)


def begun(scheduler: SlotScheduler, now: float) -> list[int]:
    """Start every statement that may begin."""
    found = []
    while (number := scheduler.next(now)) is not None:
        found.append(number)
    return found


def test_lost_answers_do_not_occupy_slots() -> None:
    """A database that loses a fifth of its answers runs as much as before."""
    scheduler = a_scheduler(2)
    for number in range(4):
        assert scheduler.offer(number, a_work(0.0), 0.0) is None
    assert begun(scheduler, 0.0) == [0, 1]
    assert scheduler.next_wakeup == pytest.approx(OVERDUE_SECONDS)
    assert begun(scheduler, OVERDUE_SECONDS - 0.01) == []
    assert begun(scheduler, OVERDUE_SECONDS) == [2, 3]


def test_overdue_statement_frees_its_slot_only_once() -> None:
    scheduler = a_scheduler(1)
    for number in range(3):
        scheduler.offer(number, a_work(0.0), 0.0)
    assert begun(scheduler, 0.0) == [0]
    assert begun(scheduler, OVERDUE_SECONDS) == [1]
    scheduler.finished(0, None, OVERDUE_SECONDS + 0.01)
    assert begun(scheduler, OVERDUE_SECONDS + 0.01) == []


def test_hanging_database_gets_a_bounded_number_of_statements() -> None:
    scheduler = a_scheduler(2)
    under_way = []
    for number in range(50):
        now = number * OVERDUE_SECONDS
        if scheduler.offer(number, a_work(now), now) is None:
            under_way += begun(scheduler, now)
    assert len(under_way) == 2 + OVERDUE_LIMIT_FACTOR * 2


# Simulated loads in virtual time.


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("load", "goodput", "least"),
    [
        pytest.param(0.7, 0.99, 0.999, id="0.7 times the capacity"),
        pytest.param(0.95, 0.97, 0.98, id="0.95 times"),
        pytest.param(1.2, 0.95, 0.7, id="1.2 times"),
        pytest.param(2.0, 0.90, 0.2, id="2 times"),
    ],
)
def test_steady_load(seed: int, load: float, goodput: float, least: float) -> None:
    """Refused callers retry twice. `least`: minimum timely share of each kind (no starvation)."""
    outcome = SimulatedSlots().play(arrivals(seed, 20.0, lambda at: load))
    assert outcome.goodput(2, 20) >= goodput
    assert min(map(outcome.kind_share, KINDS)) >= least
    assert outcome.kind_share(URGENT) >= 0.98
    assert outcome.most_in_flight <= SLOTS + ALLOWANCE
    assert outcome.refused_with_room == 0
    assert wasted_share(outcome) <= MAX_WASTED_SHARE


@pytest.mark.parametrize("seed", [3, 4])
def test_recovery_after_a_burst(seed: int) -> None:
    """1.8 times the capacity for 2.5 s: a second later goodput is as before."""
    outcome = SimulatedSlots().play(arrivals(seed, 20.0, lambda at: 1.8 if 8 <= at < 10.5 else 0.7))
    assert outcome.goodput(8, 11) >= 0.95
    assert outcome.goodput(12, 20) >= 0.99
    assert wasted_share(outcome) <= MAX_WASTED_SHARE


@pytest.mark.parametrize("seed", [8, 9])
def test_recovery_after_a_long_overload(seed: int) -> None:
    """The late statements left over are served without delaying new ones."""
    outcome = SimulatedSlots().play(arrivals(seed, 20.0, lambda at: 2.0 if at < 10 else 0.7))
    assert outcome.goodput(2, 10) >= 0.90
    assert outcome.goodput(11, 20) >= 0.98
    assert outcome.kind_share(URGENT) >= 0.99


def test_growth_of_one_kind_does_not_affect_others() -> None:
    def kind_load(kind: Kind, at: float) -> float:
        grown = {USUAL: 2.6, URGENT: 1.6}
        return grown.get(kind, 1.0) if 5 <= at < 11.7 else 1.0

    outcome = SimulatedSlots().play(arrivals(4, 20.0, lambda at: 0.7, kind_load))
    assert outcome.goodput(5, 12) >= 0.95
    assert outcome.kind_share(URGENT) >= 0.99
    assert outcome.kind_share(LONG) >= 0.99
    assert outcome.goodput(13, 20) >= 0.98


def test_tenant_at_ten_times_its_load_does_not_affect_others() -> None:
    def tenant(rng: random.Random) -> str:
        return "hot" if rng.random() < 10 / 21 else f"t{rng.randrange(len(NEIGHBOURS))}"

    load = 0.7 * 21 / 12
    outcome = SimulatedSlots().play(arrivals(5, 20.0, lambda at: load, tenant=tenant))
    assert outcome.tenant_share(NEIGHBOURS) >= 0.99
    assert outcome.tenant_share([TenantId("hot")]) >= 0.5
    assert outcome.goodput(2, 20) >= 0.95


def test_goodput_while_a_database_is_five_times_slower() -> None:
    def slower(at: float) -> float:
        return 5.0 if 5 <= at < 9 else 1.0

    outcome = SimulatedSlots(slower=slower).play(arrivals(6, 20.0, lambda at: 0.7))
    # Of a load of 0.7 times the capacity, 0.2 can be served.
    assert outcome.goodput(5, 9) >= 0.2 / 0.7 * 0.9
    assert outcome.goodput(11, 20) >= 0.98
    assert wasted_share(outcome) <= 0.03


@pytest.mark.parametrize(
    ("limit", "most"),
    [
        pytest.param(SlotAllowance(SLOTS, ALLOWANCE), SLOTS + ALLOWANCE, id="reported slots"),
        pytest.param(AdaptiveLimit(40), 40, id="learned from answer times"),
    ],
)
@pytest.mark.parametrize("load", [1.2, 2.0])
def test_both_limits_keep_the_slots_busy(load: float, limit: SlotLimit, most: int) -> None:
    outcome = SimulatedSlots(limit).play(arrivals(7, 20.0, lambda at: load))
    assert outcome.goodput(2, 20) >= 0.95
    assert outcome.most_in_flight <= most


# Single decisions.


def scheduler(limit: int = 1, longest_queue: int = 256) -> SlotScheduler:
    settings = OverloadSettings(enabled=True, longest_queue=longest_queue)
    return SlotScheduler(InstanceId("db"), SlotAllowance(limit, 0), ServiceTimes(), settings)


def work(
    soft_deadline: float = 10.0,
    deadline: float = 10.0,
    tenant: str = "t",
    priority: int = 0,
    in_transaction: bool = False,
) -> Work:
    return Work(KIND, TenantId(tenant), priority, 0.0, soft_deadline, deadline, in_transaction)


def order(found: SlotScheduler, count: int) -> list[int]:
    """Return the order in which statements begin, one at a time."""
    begun = []
    for _ in range(count):
        number = found.next(0.0)
        assert number is not None
        begun.append(number)
        found.finished(number, None, 0.0)
    return begun


@pytest.mark.parametrize(
    ("offered", "expected"),
    [
        pytest.param([work(), work(), work()], [0, 1, 2], id="arrival order"),
        pytest.param(
            [work(), work(soft_deadline=9.0), work(soft_deadline=8.0)],
            [0, 2, 1],
            id="earliest soft deadline",
        ),
        pytest.param(
            [work(), work(), work(in_transaction=True)], [0, 2, 1], id="open transactions"
        ),
        pytest.param([work(), work(soft_deadline=0.0, deadline=9.0), work()], [0, 2, 1], id="late"),
        pytest.param(
            [work(tenant="a"), work(tenant="a"), work(tenant="a"), work(tenant="b")],
            [0, 1, 3, 2],
            id="tenants in turn",
        ),
    ],
)
def test_dispatch_order(offered: list[Work], expected: list[int]) -> None:
    found = scheduler()
    for number, wanted in enumerate(offered):
        assert found.offer(number, wanted, 0.0) is None
    assert order(found, len(offered)) == expected


def test_classes_share_by_weight() -> None:
    found = scheduler()
    for number in range(30):
        assert found.offer(number, work(priority=number % 2), 0.0) is None
    begun = order(found, 15)
    assert sum(number % 2 == 0 for number in begun) == 10


def test_statement_that_cannot_meet_its_deadline_is_refused() -> None:
    found = scheduler()
    assert found.offer(0, work(), 0.0) is None
    assert found.next(0.0) == 0
    refused = found.offer(1, work(soft_deadline=ASSUMED_SECONDS, deadline=ASSUMED_SECONDS), 0.0)
    assert refused is not None
    assert refused.room_in > 0


def test_nothing_is_refused_while_there_is_capacity() -> None:
    found = scheduler()
    assert found.offer(0, work(soft_deadline=0.0, deadline=0.0), 0.0) is None
    assert found.next(0.0) == 0


def test_full_queue_refuses() -> None:
    found = scheduler(longest_queue=2)
    assert found.offer(0, work(), 0.0) is None
    assert found.next(0.0) == 0
    assert found.offer(1, work(), 0.0) is None
    assert found.offer(2, work(), 0.0) is None
    assert found.offer(3, work(), 0.0) is not None
    assert found.offer(4, work(in_transaction=True), 0.0) is None


def test_statement_expires_once() -> None:
    found = scheduler()
    assert found.offer(0, work(), 0.0) is None
    assert found.next(0.0) == 0
    assert found.offer(1, work(soft_deadline=1.0, deadline=1.0), 0.0) is None
    assert found.next_wakeup is not None
    assert found.pop_expired(0.5) == []
    # The process was paused: an expired statement does not begin.
    found.finished(0, None, 1.0)
    assert found.next(1.0) is None
    assert [number for number, _ in found.pop_expired(1.0)] == [1]
    assert found.pop_expired(1.0) == []
    assert (found.waiting, found.next_wakeup) == (0, None)


@pytest.mark.parametrize("in_transaction", [False, True])
def test_withdrawn_statement_does_not_begin(in_transaction: bool) -> None:
    found = scheduler()
    for number in range(3):
        assert found.offer(number, work(in_transaction=in_transaction and number == 1), 0.0) is None
    assert found.next(0.0) == 0
    found.withdraw(1)
    found.withdraw(1)
    found.finished(0, None, 0.0)
    assert found.next(0.0) == 2
    assert found.waiting == 0


def test_statement_that_may_begin_can_be_withdrawn() -> None:
    found = scheduler()
    assert found.offer(0, work(), 0.0) is None
    found.withdraw(0)
    assert found.next(0.0) is None


def test_open_transactions_may_exceed_a_full_limit() -> None:
    found = scheduler()
    for number in range(4):
        assert found.offer(number, work(in_transaction=number > 0), 0.0) is None
    begun = [found.next(0.0) for _ in range(4)]
    assert begun == [0, 1, 2, None]


def test_reported_load() -> None:
    found = scheduler()
    assert found.load(0.0).wait == 0.0
    for number in range(3):
        assert found.offer(number, work(), 0.0) is None
    assert found.next(0.0) == 0
    load = found.load(0.0)
    assert load.wait == pytest.approx(3 * ASSUMED_SECONDS)
    assert load.service == pytest.approx(ASSUMED_SECONDS)


def test_memory_is_bounded_while_callers_come_and_leave() -> None:
    found = scheduler()
    assert found.offer(0, work(), 0.0) is None
    assert found.next(0.0) == 0
    for number in range(1, 5_000):
        assert found.offer(number, work(tenant=f"t{number}"), 0.0) is None
        found.withdraw(number)
    assert found.waiting == 0
    assert len(found._timers) < 100
