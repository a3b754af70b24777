"""Limits, borrowing, queues and expiry of the slot machine, in virtual time."""

from hypothesis import given
from hypothesis import strategies as st

from bramblebeam.core.identity import ServiceId
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.pool.events import (
    Arrived,
    Closed,
    Finished,
    Grant,
    LimitsChanged,
    OccupiedChanged,
    Opened,
    Refuse,
    Withdrawn,
)
from bramblebeam.core.pool.limits import InstanceLimits, ServiceLimit
from bramblebeam.core.pool.slots import SlotMachine
from bramblebeam.core.verdict import Reason

TRACKING = ServiceId("tracking")
DISPATCH = ServiceId("dispatch")


def limit(slots: int, burst: int = 0, queue: int = 10) -> ServiceLimit:
    return ServiceLimit(slots=slots, burst=burst, queue=queue, queue_wait=1.0, deadline=5.0)


def opened(**limits: ServiceLimit) -> SlotMachine:
    machine = SlotMachine(InstanceLimits({ServiceId(name): row for name, row in limits.items()}))
    machine.handle(Opened(), 0.0)
    return machine


def arrive(machine: SlotMachine, ticket: int, service: ServiceId, now: float = 0.0) -> list:
    return machine.handle(Arrived(ticket, service, now + 1.0), now)


def test_service_borrows_idle_slots_up_to_its_burst() -> None:
    machine = opened(tracking=limit(2, burst=2), dispatch=limit(4))
    effects = [effect for ticket in range(5) for effect in arrive(machine, ticket, TRACKING)]
    assert effects == [Grant(0), Grant(1), Grant(2), Grant(3)]
    assert machine.borrowed == 2
    assert machine.waiting_of(TRACKING) == 1


def test_next_free_slot_goes_to_the_service_that_lent_it() -> None:
    machine = opened(tracking=limit(1, burst=1), dispatch=limit(1))
    arrive(machine, 1, TRACKING)
    arrive(machine, 2, TRACKING)
    arrive(machine, 3, TRACKING)
    arrive(machine, 4, DISPATCH)
    assert machine.handle(Finished(1), 0.1) == [Grant(4)]


def test_newest_is_refused_when_the_queue_is_full() -> None:
    machine = opened(tracking=limit(1, queue=1))
    arrive(machine, 1, TRACKING)
    assert arrive(machine, 2, TRACKING) == []
    (refusal,) = arrive(machine, 3, TRACKING)
    assert (refusal.ticket, refusal.reason) == (3, Reason.QUEUE_FULL)
    assert refusal.retry_after_ms > 0


def test_queued_statement_is_refused_after_its_wait() -> None:
    machine = opened(tracking=limit(1))
    arrive(machine, 1, TRACKING)
    arrive(machine, 2, TRACKING)
    assert machine.next_wakeup() == 1.0
    (refusal,) = machine.handle(Wakeup(), 1.0)
    assert (refusal.ticket, refusal.reason) == (2, Reason.QUEUE_TIMEOUT)
    assert machine.handle(Finished(1), 1.1) == []


def test_withdrawn_statement_is_never_granted() -> None:
    machine = opened(tracking=limit(1))
    arrive(machine, 1, TRACKING)
    arrive(machine, 2, TRACKING)
    machine.handle(Withdrawn(2), 0.1)
    assert machine.handle(Finished(1), 0.2) == []
    assert machine.in_use == 0


def test_lower_limits_apply_as_statements_finish() -> None:
    machine = opened(tracking=limit(2))
    arrive(machine, 1, TRACKING)
    arrive(machine, 2, TRACKING)
    arrive(machine, 3, TRACKING)
    machine.handle(LimitsChanged(InstanceLimits({TRACKING: limit(1)})), 0.1)
    assert machine.handle(Finished(1), 0.2) == []
    assert machine.handle(Finished(2), 0.3) == [Grant(3)]


def test_higher_limits_apply_immediately() -> None:
    machine = opened(tracking=limit(1))
    arrive(machine, 1, TRACKING)
    arrive(machine, 2, TRACKING)
    changed = LimitsChanged(InstanceLimits({TRACKING: limit(2)}))
    assert machine.handle(changed, 0.1) == [Grant(2)]


def test_closing_refuses_queued_and_new_statements() -> None:
    machine = opened(tracking=limit(1))
    arrive(machine, 1, TRACKING)
    arrive(machine, 2, TRACKING)
    closed = machine.handle(Closed(Reason.LEAVING), 0.1)
    assert [(effect.ticket, effect.reason) for effect in closed] == [(2, Reason.LEAVING)]
    (refusal,) = arrive(machine, 3, TRACKING)
    assert refusal.reason is Reason.LEAVING


def test_service_without_a_row_is_refused() -> None:
    machine = opened(tracking=limit(1))
    (refusal,) = arrive(machine, 1, DISPATCH)
    assert refusal.reason is Reason.NO_CONFIGURATION


events = st.lists(
    st.one_of(
        st.tuples(st.just("arrive"), st.sampled_from(["tracking", "dispatch", "routing"])),
        st.tuples(st.just("finish"), st.integers(0, 30)),
        st.tuples(st.just("withdraw"), st.integers(0, 30)),
        st.tuples(st.just("limits"), st.tuples(*[st.integers(0, 4)] * 6)),
        st.tuples(st.just("occupied"), st.integers(0, 3)),
        st.tuples(st.just("time"), st.floats(0.01, 2.0)),
    ),
    max_size=60,
)


@given(events)
def test_limits_hold_for_any_event_order(steps: list) -> None:  # noqa: PLR0912
    machine = opened(tracking=limit(2, 1), dispatch=limit(1, 2), routing=limit(1))
    now, next_ticket = 0.0, 0
    waiting: set[int] = set()
    held: dict[int, str] = {}
    arrived: dict[int, str] = {}
    for kind, value in steps:
        shrunk = False
        if kind == "arrive":
            arrived[next_ticket] = value
            waiting.add(next_ticket)
            effects = arrive(machine, next_ticket, ServiceId(value), now)
            next_ticket += 1
        elif kind == "finish" and held:
            ticket = sorted(held)[value % len(held)]
            del held[ticket]
            effects = machine.handle(Finished(ticket), now)
        elif kind == "withdraw" and waiting | held.keys():
            known = sorted(waiting | held.keys())
            ticket = known[value % len(known)]
            waiting.discard(ticket)
            held.pop(ticket, None)
            effects = machine.handle(Withdrawn(ticket), now)
        elif kind == "limits":
            shrunk = True
            names = ("tracking", "dispatch", "routing")
            rows = zip(names, value[:3], value[3:], strict=True)
            services = {ServiceId(name): limit(slots, burst) for name, slots, burst in rows}
            effects = machine.handle(LimitsChanged(InstanceLimits(services)), now)
        elif kind == "occupied":
            shrunk = True
            effects = machine.handle(OccupiedChanged(value), now)
        else:
            now += value if kind == "time" else 0.0
            effects = machine.handle(Wakeup(), now)
        for effect in effects:
            assert effect.ticket in waiting
            waiting.remove(effect.ticket)
            if isinstance(effect, Grant):
                held[effect.ticket] = arrived[effect.ticket]
                service = ServiceId(arrived[effect.ticket])
                assert machine.used_by(service) <= machine.limits.services[service].max_slots
            else:
                assert isinstance(effect, Refuse)
        granted = any(isinstance(effect, Grant) for effect in effects)
        assert machine.in_use == len(held)
        if granted:
            assert machine.in_use + machine.occupied <= machine.total
        if not shrunk and machine.free > 0:
            for service, row in machine.limits.services.items():
                may_hold_more = machine.used_by(service) < row.max_slots
                assert not (may_hold_more and machine.waiting_of(service))
