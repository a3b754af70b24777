"""Watches one group: observes its primary, decides, and changes it."""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import replace
from typing import Protocol

from bramblebeam.core.failover.backoff import FailoverBackoff
from bramblebeam.core.failover.decision import Action, Cause, FailoverTiming, Situation, decide
from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.revision import FIRST_ERA
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    FAILOVER_COMPLETED,
    FAILOVER_DEFERRED,
    FAILOVER_STARTED,
    MEMBER_LIST_FAILED,
    MEMBERS_NOT_PAUSED,
)
from bramblebeam.services.failover.acknowledged_logs import AcknowledgedLogs
from bramblebeam.services.failover.change import ChangeOutcome, ChangeRunner
from bramblebeam.services.failover.cut_off import StepDownPeers
from bramblebeam.services.failover.group_lease import GroupLease
from bramblebeam.services.failover.log_coverage import LogCoverage
from bramblebeam.services.failover.member_orders import MemberOrders
from bramblebeam.services.failover.ports import (
    LeaseStore,
    MemberList,
    MemberListUnavailableError,
    Order,
    Promoter,
    RosterStore,
)
from bramblebeam.services.failover.roster_keeper import RosterKeeper
from bramblebeam.services.failover.situation import GroupObserver
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.waiting import pause

logger = logging.getLogger(__name__)

CYCLE_SECONDS = 0.1
"""Interval between checks while there is trouble (seconds)."""
QUIET_CYCLE_SECONDS = 5.0
"""Interval without trouble (seconds). A change of the leader or the databases ends it at once."""
MEMBER_LIST_TIMEOUT = 1.0
"""Timeout of the read of all registered databases before an order (seconds)."""
FLUSH_INTERVAL = 0.5
"""Interval at which the holder retries a failed lease write (seconds). It is shorter than the time
before another node takes the lease over (`FailoverTiming.takeover_delay`, `lease_observation`)."""
FIRST_DELAY = 1.0
"""Maximum random delay between a group's first statement and its watch (seconds): a node that has
just started finds the leader first, and not all groups query the store at once."""
LEASE_RETRY = 1.0
"""Mean delay before a first lease is requested again (seconds), with a jitter of 50 percent."""


class FailoverHost(Protocol):
    """The parts of the failover service that a watch uses."""

    node: NodeId
    context: GatewayContext
    leases: LeaseStore
    rosters: RosterStore
    member_list: MemberList
    promoter: Promoter
    peers: StepDownPeers
    timing: FailoverTiming
    fence_checked: bool

    @staticmethod
    def now() -> float:
        """Return the monotonic clock (seconds)."""


class FailoverWatch:
    """Runs the loop of one group: observe, decide, act. Setting `wake` ends the current wait."""

    def __init__(self, service: FailoverHost, group: GroupId) -> None:
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
        self._backoff = FailoverBackoff()
        self._lease_invalidated = asyncio.Event()
        self._observer = GroupObserver(service.context, service.node, group, service.now)
        context = service.context
        coverage = LogCoverage(context, MemberOrders(context.placement), group)
        self.roster = RosterKeeper(context, service.rosters, coverage, service.node, group)
        self._runner = ChangeRunner(
            service.context,
            service.promoter,
            service.peers,
            group,
            may_be_unwritten=service.fence_checked,
            keep_lease=self._keep_claimed,
            acknowledged=AcknowledgedLogs(context, group, coverage, self.roster),
        )

    async def run(self) -> None:
        """Watch the group until cancelled.

        The roster is kept from the start: commits may be acknowledged from now on.
        """
        await asyncio.gather(self.roster.run(), self._run_later())

    async def _run_later(self) -> None:
        await asyncio.sleep(random.uniform(0.0, FIRST_DELAY))
        await asyncio.gather(self._keep_lease(), self._watch())

    def record_era(self, era: int) -> None:
        """Record that the store was restored from a copy: the lease has to be read again."""
        self.lease.record_era(era)
        self.roster.record_era(era)
        self._lease_invalidated.set()
        self.wake.set()

    async def _watch(self) -> None:
        while True:
            situation = self._observe()
            if situation.cause is None:
                await self._settle_change()
                await self.lease.reclaim()
                await self.lease.flush()
                await pause(self.wake, self._quiet_pause())
                continue
            if self._backoff.must_wait(self._members(), self._service.now()):
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
        """Make sure that the lease exists before it is needed, in each era of the store."""
        while True:
            self._lease_invalidated.clear()
            await self._first_lease()
            await self._lease_invalidated.wait()

    async def _first_lease(self) -> None:
        """Read or create the lease.

        Only the group's first owners and the last holder of a former era do so. Other nodes read
        the lease only if there is trouble.
        """
        while not self.lease.is_current:
            if self.lease.must_reclaim or self._service.context.is_first_owner(self._group):
                await self.lease.create_or_read()
            if not self.lease.is_current:
                await asyncio.sleep(LEASE_RETRY * random.uniform(0.5, 1.5))

    # The change.

    async def _act(self) -> None:
        """Change the primary if this node is to do so now.

        Not if its configuration lacks the group: how many replicas must acknowledge is unknown.
        """
        if self._group not in self._service.context.table.groups:
            await self._back_off("the group is not configured here")
            return
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
            await self._back_off("only the leader can be reached")
            return
        if not self.lease.is_own and not self._may_take_over(situation, self.lease.known):
            await self._back_off("the former primary is not known here")
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
        is_deferred = situation.leader is not None and outcome.order is None
        if outcome.ordered or is_deferred:
            self._ordered_at = self._service.now()

    def _may_take_over(self, situation: Situation, lease: Lease) -> bool:
        """Whether a change by this node could begin.

        Else its lease writes would only hold back a node that has met the lost primary.
        """
        if situation.leader is not None or self._is_repeatable(lease.unsettled):
            return True
        return self._runner.may_begin(lease.last_change)

    async def _change(
        self, leader: InstanceId | None, cause: Cause
    ) -> tuple[OrderedChange | None, ChangeOutcome]:
        """Claim the lease, prepare the change, write it into the lease, and order it.

        Members are paused only under a claimed lease that says so: two nodes that prepare changes
        at the same time would undo each other's pauses, and nodes that use the leader must not rely
        on members that restart meanwhile. An order without a reply is repeated with a new token
        until it is answered: it may still be carried out, and no other log may lead then. It is
        not repeated if the target has restarted since: its log is no longer the one chosen. If all
        members have restarted since the leader's promotion, none may confirm a lease on it any
        more. The leader is then replaced by a planned change, as they may confirm its successor.
        """
        known = self.lease.known
        assert known is not None
        unsettled = known.unsettled
        is_repeat = self._is_repeatable(unsettled)
        only_resumes = not is_repeat and cause is Cause.UNCONFIRMED and self._has_witness()
        claimed = await self.lease.write(known.last_change, unsettled, preparing=not only_resumes)
        if claimed is None:
            return None, ChangeOutcome(None, "the lease is another node's")
        if claimed.token.era > FIRST_ERA:
            self._runner.expect_unwritten_change()
        if unsettled is not None and is_repeat:
            return unsettled, await self._repeat(claimed, unsettled, leader)
        if only_resumes and leader is not None:
            await self._runner.resume_abandoned(leader)
            return None, ChangeOutcome(None, "members that were left paused receive again")
        newest, history = claimed.last_change, self._history(claimed)
        change = await self._runner.prepare(leader, newest, history)
        if change is None:
            await self._abort_attempt()
            return None, ChangeOutcome(None, "no member may be promoted now")
        lease = await self.lease.write(claimed.last_change, change)
        if lease is None:
            self._runner.forget()
            return change, ChangeOutcome(None, "the lease is another node's")
        return change, await self._carry_out(lease, change, leader)

    async def _keep_claimed(self) -> bool:
        """Write the lease again in the middle of a change; False: it may be another node's."""
        known = self.lease.known
        if known is None or not self.lease.is_own:
            return False
        written = await self.lease.write(known.last_change, known.unsettled, preparing=True)
        return written is not None

    async def _abort_attempt(self) -> None:
        """Resume the members paused by a failed attempt; a present leader may keep leading."""
        if self._runner.has_paused:
            if await self.lease.ensure_held() is None:
                self._runner.forget()
            await self._runner.resume()
        known = self.lease.known
        if known is not None and self.lease.is_own and known.preparing:
            await self.lease.write(known.last_change, known.unsettled)
        await self._back_off("no member may be promoted")

    async def _back_off(self, reason: str) -> None:
        """Delay the next attempt; release the lease after several failed ones."""
        self._backoff.record_failure(self._members(), self._service.now())
        lease = self.lease.known
        if not self._backoff.should_yield or lease is None or lease.unsettled is not None:
            return
        log_event(logger, FAILOVER_DEFERRED, group=self._group, reason=reason)
        await self.lease.release()

    async def _reaches_replica(self) -> bool:
        leader = self._leader()
        return leader is not None and await self._runner.reaches_replica(leader)

    def _members(self) -> tuple[tuple[InstanceId, bool, bool], ...]:
        """Return the members' directory state, as far as it affects a change."""
        members = self._service.context.leader(self._group).members()
        return tuple(sorted((entry.instance, entry.lapsed, entry.leaving) for entry in members))

    async def _carry_out(
        self, lease: Lease, change: OrderedChange, leader: InstanceId | None
    ) -> ChangeOutcome:
        """Order a prepared change, after a reachable leader has stepped down."""
        if leader is not None and not await self._runner.step_down(leader, change):
            await self.lease.write(lease.last_change, None)
            await self._runner.resume()
            return ChangeOutcome(None, "the former leader may be in use")
        return await self._order(lease, change, False)

    async def _repeat(
        self, lease: Lease, change: OrderedChange, leader: InstanceId | None
    ) -> ChangeOutcome:
        """Repeat an order that was not answered."""
        if not await self._runner.cut_off(leader, lease.last_change):
            return ChangeOutcome(None, "the former leader may be in use")
        return await self._order(lease, change, True)

    def _history(self, lease: Lease) -> OrderedChange | None:
        """Return the last change, or None if it no longer limits the choice of target.

        That is so in an asynchronous group after `any_member_after` without a primary.
        """
        since = self._service.context.leader(self._group).suspected_since
        if since is None or self._service.context.placement.synchronous_replicas(self._group):
            return lease.last_change
        is_long = self._service.now() - since > self._service.timing.any_member_after
        return None if is_long else lease.last_change

    async def _order(self, held: Lease, change: OrderedChange, is_repeated: bool) -> ChangeOutcome:
        """Order a change that the lease records, if the former leader is still cut off."""
        if self._runner.relies_on_pauses and not await self._knows_all_members():
            if not is_repeated:
                await self._drop_change(held)
            return ChangeOutcome(None, "a registered member is not known here")
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

    async def _drop_change(self, held: Lease) -> None:
        """Let the paused members go on: the recorded change was not ordered, and will not be."""
        if await self.lease.write(held.last_change, None) is None:
            self._runner.forget()
        await self._runner.resume()
        await self._back_off("a registered member is not known here")

    async def _knows_all_members(self) -> bool:
        """Whether this node knows each member that is registered, so that none was left unpaused.

        Its list may be old. The store is asked after the change was recorded there: a node that
        meets a member which registers later can read of the change.
        """
        try:
            listed = await self._service.member_list.registered(self._group, MEMBER_LIST_TIMEOUT)
        except MemberListUnavailableError as error:
            log_event(logger, MEMBER_LIST_FAILED, group=self._group, error=str(error))
            # Where tokens are checked, changes go on without the store.
            return self._service.fence_checked
        members = self._service.context.leader(self._group).members()
        unknown = listed - {entry.instance for entry in members}
        if unknown:
            names = ", ".join(sorted(unknown))
            log_event(logger, MEMBERS_NOT_PAUSED, group=self._group, members=names)
        return not unknown

    async def _settle_change(self) -> None:
        """Resume members and settle a completed change, if this node still holds the lease."""
        self._ordered_at = None
        self._backoff.reset()
        lease = self.lease.known
        if lease is None or not self.lease.is_own:
            self._runner.forget()
            return
        unsettled = lease.unsettled
        leader = self._leader()
        is_done = unsettled is not None and unsettled.is_led_by(leader)
        if not is_done and not self._runner.has_paused and not lease.preparing:
            return
        if unsettled is not None and not is_done:
            # The order may still be carried out, so no node may use the former leader again.
            return
        last_change = lease.last_change
        if unsettled is not None and leader is not None and is_done:
            last_change = replace(unsettled, target=leader)
        if await self.lease.write(last_change, None if is_done else unsettled) is None:
            self._runner.forget()
            return
        await self._runner.resume()

    def _is_repeatable(self, unsettled: OrderedChange | None) -> bool:
        placement = self._service.context.placement
        return unsettled is not None and not placement.has_restarted(self._group, unsettled.target)

    def _has_witness(self) -> bool:
        return self._service.context.leader(self._group).has_witness

    def _leader(self) -> InstanceId | None:
        return self._service.context.leader(self._group).leader
