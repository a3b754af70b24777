"""One group's watch: observes its primary, decides, and changes it."""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import replace
from typing import Protocol

from bramblebeam.core.failover.backoff import FailoverBackoff
from bramblebeam.core.failover.decision import Action, Cause, FailoverTiming, Situation, decide
from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, incarnation_of, server_name
from bramblebeam.core.revision import FIRST_ERA
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    FAILOVER_COMPLETED,
    FAILOVER_LEFT_TO_OTHERS,
    FAILOVER_STARTED,
)
from bramblebeam.services.failover.change import ChangeOutcome, ChangeRunner
from bramblebeam.services.failover.cut_off import StepDownPeers
from bramblebeam.services.failover.group_lease import GroupLease
from bramblebeam.services.failover.ports import LeaseStore, Order, Promoter
from bramblebeam.services.failover.situation import GroupObserver
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.waiting import pause

logger = logging.getLogger(__name__)

CYCLE_SECONDS = 0.1
QUIET_CYCLE_SECONDS = 5.0
"""News of the leader or of the databases ends a quiet wait at once."""
FLUSH_INTERVAL = 0.5
"""A lease that could not be written is tried so often (seconds), by its holder alone: shorter than
another node needs to take it over (`FailoverTiming.takeover_delay` and `lease_observation`)."""
FIRST_DELAY = 1.0
"""A watch begins at a random moment within so long after the group's first statement (seconds): a
node that has just started finds the leader first, and not all groups ask the store at once."""
LEASE_RETRY = 1.0
"""Seconds, half to one and a half times as many, before the store is asked for a first lease again.
"""


class WatchedService(Protocol):
    """What a watch needs of the service that runs it."""

    node: NodeId
    context: GatewayContext
    leases: LeaseStore
    promoter: Promoter
    peers: StepDownPeers
    timing: FailoverTiming
    fence_checked: bool

    @staticmethod
    def now() -> float:
        """Return the steady clock (seconds)."""


class FailoverWatch:
    """One group's loop: observe, decide, act."""

    def __init__(self, service: WatchedService, group: GroupId) -> None:
        self.wake = asyncio.Event()
        self.lease = GroupLease(
            group,
            service.node,
            service.leases,
            service.timing,
            service.fence_checked,
            service.now,
        )
        self._service = service
        self._group = group
        self._ordered_at: float | None = None
        self._in_vain = FailoverBackoff()
        self._lease_unknown = asyncio.Event()
        self._observer = GroupObserver(service.context, service.node, group, service.now)
        self._runner = ChangeRunner(
            service.context,
            service.promoter,
            service.peers,
            group,
            may_be_untold=service.fence_checked,
        )

    async def run(self) -> None:
        """Watch the group until cancelled."""
        await asyncio.sleep(random.uniform(0.0, FIRST_DELAY))
        await asyncio.gather(self._keep_lease(), self._watch())

    def record_era(self, era: int) -> None:
        """Note that the store came back from a copy: its lease has to be looked at again."""
        self.lease.record_era(era)
        self._lease_unknown.set()
        self.wake.set()

    async def _watch(self) -> None:
        while True:
            situation = self._observe()
            if situation.cause is None:
                await self._end_trouble()
                await self.lease.reclaim()
                await self.lease.flush()
                await pause(self.wake, self._quiet_pause())
                continue
            if self._in_vain.must_wait(self._members(), self._service.now()):
                await pause(self.wake, CYCLE_SECONDS)
                continue
            if await self.lease.refresh(situation, self._wants_lease):
                await self._act()
            await pause(self.wake, CYCLE_SECONDS)

    def _quiet_pause(self) -> float:
        is_pending = self.lease.is_unwritten or self.lease.must_reclaim
        return FLUSH_INTERVAL if is_pending else QUIET_CYCLE_SECONDS

    def _observe(self) -> Situation:
        return self._observer.observe(self.lease, self._ordered_at)

    def _wants_lease(self) -> bool:
        return self._decide(self._observe()) is Action.TAKE_OVER

    def _decide(self, situation: Situation) -> Action:
        return decide(situation, self._service.now(), self._service.timing)

    async def _keep_lease(self) -> None:
        """Make sure that somebody has the lease before it is needed, in each era of the store."""
        while True:
            self._lease_unknown.clear()
            await self._first_lease()
            await self._lease_unknown.wait()

    async def _first_lease(self) -> None:
        """Read or create the lease.

        The first nodes that serve the group do, and the last holder of a former era; the others
        read it only in times of trouble.
        """
        while not self.lease.is_current:
            if self.lease.must_reclaim or self._service.context.is_first_owner(self._group):
                await self.lease.create_or_read()
            if not self.lease.is_current:
                await asyncio.sleep(LEASE_RETRY * random.uniform(0.5, 1.5))

    # The change.

    async def _act(self) -> None:
        """Change the primary, if that is to be done now and by this node."""
        situation = self._observe()
        action = self._decide(situation)
        if action is Action.NONE:
            return
        if not self.lease.is_current:
            await self.lease.create_or_read()
            if self._decide(self._observe()) is Action.NONE:
                return
        if situation.cause is None or self.lease.known is None:
            return
        if situation.cause is Cause.UNCONFIRMED and not await self._reaches_replica():
            await self._give_way("only the leader can be reached")
            return
        began = self._service.now()
        log_event(
            logger,
            FAILOVER_STARTED,
            group=self._group,
            cause=situation.cause.value,
            leader=situation.leader,
            token=str(self.lease.known.token),
            taken_over=action is Action.TAKE_OVER,
            trouble_ms=round((began - (situation.trouble_since or began)) * 1000),
        )
        change, outcome = await self._change(situation.leader, situation.cause)
        log_event(
            logger,
            FAILOVER_COMPLETED,
            group=self._group,
            target=change.target if change is not None else None,
            outcome=outcome.detail,
            token=str(self.lease.known.token),
            duration_ms=round((self._service.now() - began) * 1000),
        )
        is_put_off = situation.leader is not None and outcome.order is None
        if outcome.ordered or is_put_off:
            self._ordered_at = self._service.now()

    async def _change(
        self, leader: InstanceId | None, cause: Cause
    ) -> tuple[OrderedChange | None, ChangeOutcome]:
        """Claim the lease, prepare the change, write it into the lease, and order it.

        Members are told to pause only under a claimed lease: two nodes that prepare at the same
        time would undo each other's pauses. An order without an answer is repeated with a new
        token until it is answered: it may yet be carried out, and then no other log may lead. One
        whose target has started again since is not repeated: its log is not the one that was
        chosen. A leader on which no member may confirm a lease any more, as all have started again
        since it was promoted, is changed as planned: the new one's they may confirm.
        """
        known = self.lease.known
        assert known is not None
        claimed = await self.lease.write(known.last_change, known.unsettled)
        if claimed is None:
            return None, ChangeOutcome(None, "the lease is another node's")
        if claimed.token.era > FIRST_ERA:
            self._runner.expect_unwritten_change()
        if claimed.unsettled is not None and not self._has_restarted(claimed.unsettled.target):
            return claimed.unsettled, await self._repeat(claimed, claimed.unsettled, leader)
        if cause is Cause.UNCONFIRMED and leader is not None and self._has_witness():
            await self._runner.resume_abandoned(leader)
            return None, ChangeOutcome(None, "members that were left paused receive again")
        newest, history = claimed.last_change, self._history(claimed)
        change = await self._runner.prepare(leader, newest, history)
        if change is None:
            await self._let_go()
            return None, ChangeOutcome(None, "no member may be promoted now")
        lease = await self.lease.write(claimed.last_change, change)
        if lease is None:
            self._runner.forget()
            return change, ChangeOutcome(None, "the lease is another node's")
        return change, await self._carry_out(lease, change, leader)

    async def _let_go(self) -> None:
        """Let the members that were paused in vain receive again; who leads may go on."""
        if self._runner.has_paused:
            if await self.lease.ensure_held() is None:
                self._runner.forget()
            await self._runner.resume()
        await self._give_way("no member may be promoted")

    async def _give_way(self, reason: str) -> None:
        """Be in no hurry to try again; let others try first after several tries in vain."""
        self._in_vain.record_failure(self._members(), self._service.now())
        lease = self.lease.known
        if not self._in_vain.should_yield or lease is None or lease.unsettled is not None:
            return
        log_event(logger, FAILOVER_LEFT_TO_OTHERS, group=self._group, reason=reason)
        await self.lease.release()

    async def _reaches_replica(self) -> bool:
        leader = self._leader()
        return leader is not None and await self._runner.reaches_replica(leader)

    def _members(self) -> tuple[tuple[InstanceId, bool, bool], ...]:
        """Return what the directory tells of the members, as far as a change depends on it."""
        members = self._service.context.leader(self._group).members()
        return tuple(sorted((entry.instance, entry.lapsed, entry.leaving) for entry in members))

    async def _carry_out(
        self, lease: Lease, change: OrderedChange, leader: InstanceId | None
    ) -> ChangeOutcome:
        """Order a prepared change, once a leader that can be reached has stepped down."""
        if leader is not None and not await self._runner.step_down(leader, change):
            await self.lease.write(lease.last_change, None)
            await self._runner.resume()
            return ChangeOutcome(None, "the former leader may be in use")
        return await self._order(lease, change, False)

    async def _repeat(
        self, lease: Lease, change: OrderedChange, leader: InstanceId | None
    ) -> ChangeOutcome:
        """Order once more what was ordered and not answered."""
        if not await self._runner.cut_off(leader, lease.last_change):
            return ChangeOutcome(None, "the former leader may be in use")
        return await self._order(lease, change, True)

    def _history(self, lease: Lease) -> OrderedChange | None:
        """Return the last change; a group that was without a primary for long does without it."""
        since = self._service.context.leader(self._group).suspected_since
        settings = self._service.context.table.groups.get(self._group)
        synchronous = settings is not None and settings.synchronous_replicas > 0
        if since is None or synchronous:
            return lease.last_change
        is_long = self._service.now() - since > self._service.timing.any_member_after
        return None if is_long else lease.last_change

    async def _order(self, held: Lease, change: OrderedChange, is_repeated: bool) -> ChangeOutcome:
        """Order a change under a lease that tells of it, if the former leader stays cut off."""
        if not await self._runner.is_still_cut_off():
            if not is_repeated:
                await self.lease.write(held.last_change, None)
            return ChangeOutcome(None, "a member that was paused is not any more")
        lease = await self.lease.ensure_held()
        if lease is None:
            self._runner.forget()
            return ChangeOutcome(None, "the lease may be another node's by now")
        outcome = await self._runner.order(lease, change)
        if outcome.order is Order.ACCEPTED:
            await self.lease.write(change, None)
            return outcome
        if outcome.order is Order.REFUSED:
            self.lease.record_refused_token(lease.token)
        if outcome.order is Order.REFUSED or not (outcome.ordered or is_repeated):
            await self.lease.write(lease.last_change, None)
        return outcome

    async def _end_trouble(self) -> None:
        """Undo pauses and settle the order of a change that is over, if the lease is still ours."""
        self._ordered_at = None
        self._in_vain.reset()
        lease = self.lease.known
        if lease is None or not self.lease.is_own:
            self._runner.forget()
            return
        unsettled = lease.unsettled
        leader = self._leader()
        is_done = unsettled is not None and unsettled.is_led_by(leader)
        if not is_done and not self._runner.has_paused:
            return
        if unsettled is not None and not is_done:
            # The order may yet be carried out: nobody may go back to the former leader.
            return
        last_change = lease.last_change
        if unsettled is not None and leader is not None and is_done:
            last_change = replace(unsettled, target=leader)
        if await self.lease.write(last_change, None if is_done else unsettled) is None:
            self._runner.forget()
            return
        await self._runner.resume()

    def _has_restarted(self, instance: InstanceId) -> bool:
        registered = self._service.context.placement.instance_named(
            self._group, server_name(instance)
        )
        return incarnation_of(registered) > incarnation_of(instance)

    def _has_witness(self) -> bool:
        return self._service.context.leader(self._group).has_witness

    def _leader(self) -> InstanceId | None:
        return self._service.context.leader(self._group).leader
