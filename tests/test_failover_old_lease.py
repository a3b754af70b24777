"""Promotion orders under a lease that another node may have taken over meanwhile."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest

from bramblebeam.core.failover.backoff import FailoverBackoff
from bramblebeam.core.failover.decision import FailoverTiming
from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.identity import GroupId, InstanceId
from bramblebeam.core.revision import Revision
from bramblebeam.services.failover.change import PROMOTION_TIMEOUT, ChangeOutcome
from bramblebeam.services.failover.group_lease import GroupLease
from bramblebeam.services.failover.ports import MemberListUnavailableError, Order
from bramblebeam.services.failover.watch import FailoverWatch
from revisions import at
from test_failover_group_lease import OTHER, OWN, Clock, Store

GROUP = GroupId("deliveries")
LEADER = InstanceId("db-a")
CHANGE = OrderedChange(InstanceId("db-b"), term=2)
TIMING = FailoverTiming()
EPSILON = 0.01


class FakeRunner:
    """Fake runner. `meanwhile` is called during a step-down or a cut-off."""

    relies_on_pauses = False

    def __init__(self, meanwhile: Callable[[], None]) -> None:
        self.tokens: list[Revision] = []
        self.is_cut_off = True
        self.resumed = False
        self._meanwhile = meanwhile

    async def is_still_cut_off(self) -> bool:
        return self.is_cut_off

    async def step_down(self, leader: InstanceId, change: OrderedChange) -> bool:
        self._meanwhile()
        return True

    async def cut_off(self, leader: InstanceId | None, newest: OrderedChange | None) -> bool:
        self._meanwhile()
        return True

    async def order(self, lease: Lease, change: OrderedChange) -> ChangeOutcome:
        self.tokens.append(lease.token)
        return ChangeOutcome(Order.ACCEPTED, "made up")

    async def resume(self) -> None:
        self.resumed = True

    def forget(self) -> None:
        return None


class MemberListStub:
    """Tells the registered members, or fails if there are none."""

    def __init__(self, *members: InstanceId) -> None:
        self._members = members

    async def registered(self, group: GroupId, timeout: float) -> frozenset[InstanceId]:
        if not self._members:
            raise MemberListUnavailableError("no answer")
        return frozenset(self._members)


class WatchAboutToOrder:
    """A watch that has just written its lease and is about to send an order.

    `lasts`: duration of the step-down or cut-off (seconds). `taken_over`: another node takes the
    lease over during that time.
    """

    def __init__(self, lasts: float, taken_over: bool, fence_checked: bool = False) -> None:
        self.clock = Clock()
        self.store = Store(self.clock)
        service: Any = SimpleNamespace(node=OWN, timing=TIMING, now=lambda: self.clock.now)
        self.watch = FailoverWatch.__new__(FailoverWatch)
        self.watch.lease = GroupLease(GROUP, OWN, self.store, TIMING, fence_checked, service.now)
        self.watch._service = service
        self.watch._group = GROUP
        self.runner = FakeRunner(lambda: self._advance(lasts, taken_over))
        self.watch._runner = self.runner  # type: ignore[assignment]

    def _advance(self, seconds: float, taken_over: bool) -> None:
        self.clock.now += seconds
        if taken_over:
            assert self.store.lease is not None
            self.store.lease = Lease(GROUP, OTHER, at(self.store.lease.token.number + 1))

    async def write(self) -> Lease:
        await self.watch.lease.create_or_read()
        written = await self.watch.lease.write(None, CHANGE)
        assert written is not None
        return written


async def carry_out(setup: WatchAboutToOrder) -> None:
    await setup.watch._carry_out(await setup.write(), CHANGE, LEADER)


async def repeat(setup: WatchAboutToOrder) -> None:
    await setup.watch._repeat(await setup.write(), CHANGE, LEADER)


@pytest.mark.parametrize("act", [carry_out, repeat], ids=["planned", "repeated"])
@pytest.mark.parametrize(
    ("lasts", "taken_over", "orders"),
    [
        pytest.param(0.0, False, 1, id="at-once"),
        pytest.param(TIMING.lease_observation - EPSILON, False, 1, id="before-another-may-act"),
        pytest.param(TIMING.lease_observation, False, 1, id="another-may-act"),
        pytest.param(4.0, False, 1, id="freeze"),
        pytest.param(4.0, True, 0, id="taken-over"),
    ],
)
def test_an_order_is_sent_only_under_a_lease_that_is_still_held(
    act: Callable[[WatchAboutToOrder], Awaitable[None]], lasts: float, taken_over: bool, orders: int
) -> None:
    """If the platform does not check tokens, an outdated token must not be used."""
    setup = WatchAboutToOrder(lasts, taken_over)
    asyncio.run(act(setup))  # type: ignore[arg-type]
    assert len(setup.runner.tokens) == orders


@pytest.mark.parametrize("act", [carry_out, repeat], ids=["planned", "repeated"])
def test_nothing_is_ordered_if_a_paused_member_receives_again(
    act: Callable[[WatchAboutToOrder], Awaitable[None]],
) -> None:
    """Guards against a second leader: such a member may have renewed leases on the former one."""
    setup = WatchAboutToOrder(0.0, False)
    setup.runner.is_cut_off = False
    asyncio.run(act(setup))  # type: ignore[arg-type]
    assert setup.runner.tokens == []


@pytest.mark.parametrize(
    ("listed", "fence_checked", "orders"),
    [
        pytest.param([LEADER, CHANGE.target], False, 1, id="all known"),
        pytest.param([LEADER, CHANGE.target, InstanceId("db-d")], False, 0, id="one unknown"),
        pytest.param([], False, 0, id="not told"),
        pytest.param([], True, 1, id="not told, tokens are checked"),
    ],
)
@pytest.mark.parametrize("act", [carry_out, repeat], ids=["planned", "repeated"])
def test_nothing_is_ordered_while_a_registered_member_is_unknown(
    act: Callable[[WatchAboutToOrder], Awaitable[None]],
    listed: list[InstanceId],
    fence_checked: bool,
    orders: int,
) -> None:
    """Paused members go on, unless an earlier order may still be carried out."""
    setup = WatchAboutToOrder(0.0, False, fence_checked)
    setup.runner.relies_on_pauses = True
    known = [
        SimpleNamespace(instance=instance, lapsed=False, leaving=False)
        for instance in (LEADER, CHANGE.target)
    ]
    tracker = SimpleNamespace(members=lambda: known)
    service: Any = setup.watch._service
    service.context = SimpleNamespace(leader=lambda group: tracker)
    service.member_list = MemberListStub(*listed)
    service.fence_checked = fence_checked
    setup.watch._backoff = FailoverBackoff()
    asyncio.run(act(setup))  # type: ignore[arg-type]
    assert len(setup.runner.tokens) == orders
    assert setup.runner.resumed is (not orders and act is carry_out)


@pytest.mark.parametrize(("fence_checked", "orders"), [(False, 0), (True, 1)])
def test_without_the_store_a_late_order_is_sent_only_if_the_platform_checks_tokens(
    fence_checked: bool, orders: int
) -> None:
    setup = WatchAboutToOrder(4.0, False, fence_checked)

    async def act() -> None:
        lease = await setup.write()
        setup.store.unavailable = True
        await setup.watch._carry_out(lease, CHANGE, LEADER)

    asyncio.run(act())
    assert len(setup.runner.tokens) == orders


def test_an_order_ends_before_another_node_may_take_the_lease_over() -> None:
    assert TIMING.order_window + PROMOTION_TIMEOUT <= TIMING.lease_observation
