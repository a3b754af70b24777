"""Runs one change of a group's primary.

Its steps: read the members' positions, cut off the former leader, choose the target, and order its
promotion.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.failover.roster import Roster
from bramblebeam.core.failover.target import (
    choose_target,
    may_promote_without_log,
    next_term,
)
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.leader_lease import SIGHTING_SECONDS, WAIT_SECONDS
from bramblebeam.core.identity import (
    GroupId,
    InstanceId,
    Position,
    server_name,
)
from bramblebeam.core.role import Role
from bramblebeam.services.failover.acknowledged_logs import AcknowledgedLogs
from bramblebeam.services.failover.cut_off import (
    LEASES_EXPIRED,
    NEVER,
    CutOff,
    LeaderCutOff,
    StepDownPeers,
)
from bramblebeam.services.failover.log_coverage import LogCoverage
from bramblebeam.services.failover.member_orders import MemberOrders, MemberUnreachableError
from bramblebeam.services.failover.paused_members import PausedMembers, Statuses
from bramblebeam.services.failover.ports import Order, Promoter
from bramblebeam.services.failover.untold import UnwrittenChangeDetector
from bramblebeam.services.gateway.context import GatewayContext

PROMOTION_TIMEOUT = 0.6
"""Timeout of one promotion order (seconds)."""
CATCH_UP_SECONDS = 0.5
"""How long a planned change waits for the target to receive the former leader's whole log."""
CATCH_UP_PAUSE = 0.03
UNKNOWN_LEADER_SECONDS = 8.0
"""How long a group waits for a leader that no node has ever seen: it may register late, as all
databases do after a store outage."""
UNKNOWN_SYNCHRONOUS_LEADER_SECONDS = 30.0
"""The same for a group with synchronous replicas. A crashed database is back within seconds."""
SIGHTING_CHECK_SECONDS = 0.5
"""Interval at which paused members are checked, and the lease is written again, in a long wait."""
RESUME_SECONDS = 2.0
"""How long to wait for an ordered change to complete before the paused members receive again."""


KeepLease = Callable[[], Awaitable[bool]]
"""Writes the lease again; returns False if it may be another node's."""


async def _keeps_no_lease() -> bool:
    return True


class _NoRoster:
    """A group without a roster in the store."""

    def __init__(self, group: GroupId) -> None:
        self._group = group

    async def read(self) -> Roster:
        return Roster(self._group)


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Result of a change. `order` is None if nothing was ordered."""

    order: Order | None
    detail: str

    @property
    def ordered(self) -> bool:
        """Whether the order was accepted, or may still be carried out."""
        return self.order in (Order.ACCEPTED, Order.UNKNOWN)


class ChangeRunner:
    """Runs changes of a group's primary: `prepare`, then `order`.

    Paused members stay paused until the change is over, or until `resume` is called.
    """

    def __init__(
        self,
        context: GatewayContext,
        promoter: Promoter,
        peers: StepDownPeers,
        group: GroupId,
        may_be_unwritten: bool = False,
        keep_lease: KeepLease = _keeps_no_lease,
        acknowledged: AcknowledgedLogs | None = None,
    ) -> None:
        """`may_be_unwritten`: the lease may lack the last change (`UnwrittenChangeDetector`).

        `keep_lease`: writes the lease again in a long wait, so that no other node takes it over.
        `acknowledged`: decides whether a synchronous group's commits are in the target's log; by
        default without the group's roster.
        """
        self._keep_lease = keep_lease
        self._context = context
        self._unwritten = UnwrittenChangeDetector(context, group, may_be_unwritten)
        self._promoter = promoter
        self._group = group
        self._orders = MemberOrders(context.placement)
        self._acknowledged = acknowledged or AcknowledgedLogs(
            context, group, LogCoverage(context, self._orders, group), _NoRoster(group)
        )
        self._cut_off = LeaderCutOff(group, self._orders, peers)
        self._paused = PausedMembers(group, self._orders)
        self._relies_on_pauses = False
        self._former_leader: InstanceId | None = None

    def expect_unwritten_change(self) -> None:
        """Record that the lease may lack the last change, because the store was restored."""
        self._unwritten.expect_unwritten()

    async def prepare(
        self,
        leader: InstanceId | None,
        newest_change: OrderedChange | None,
        recorded_change: OrderedChange | None,
    ) -> OrderedChange | None:
        """Return the change to order, or None if no member may be promoted now.

        `leader`: the reachable leader to replace, which keeps leading until `step_down`. None if
        the leader is lost; it is then cut off here. `newest_change`: the last change recorded in
        the lease. `recorded_change`: the same, or None if it no longer limits the choice of target.
        """
        members = self._context.leader(self._group).members()
        former = self._former(members, newest_change)
        if leader is not None and leader != former:
            # Another node has replaced it, which this node has not observed yet.
            return None
        if leader is None and not self.may_begin(newest_change):
            return None
        if self._synchronous:
            self._acknowledged.begin()
        statuses = await self._replicas(members, leader)
        last_change = self._last_change(former, recorded_change, statuses)
        if not statuses or not self._may_follow(leader, statuses, recorded_change, last_change):
            return None
        term = max(next_term(statuses, last_change), self._newest_term() + 1)
        if leader is None:
            cut_off, statuses = await self._cut_off_former(leader, former, statuses, term)
            if not cut_off.is_done:
                return None
        elif self._synchronous:
            statuses = await self._paused.pause(statuses, term)
        target = await self._target(leader, former, statuses, last_change)
        if target is None:
            if leader is not None:
                await self.resume()
            return None
        return OrderedChange(target, term, statuses[target].received)

    def may_begin(self, newest_change: OrderedChange | None) -> bool:
        """Whether a lost primary may be replaced: it is known here, or was waited for long enough.

        `newest_change`: the last change recorded in the lease.
        """
        members = self._context.leader(self._group).members()
        return self._former(members, newest_change) is not None or not self._may_still_appear()

    async def _target(
        self,
        leader: InstanceId | None,
        former: InstanceId | None,
        statuses: Statuses,
        last_change: OrderedChange | None,
    ) -> InstanceId | None:
        """Return the member to promote; None if only other logs may have acknowledged commits."""
        members = self._context.leader(self._group).members()
        target = self._choose(leader, statuses, last_change)
        if target is None or not self._may_lead(target, members, statuses, last_change):
            return None
        has_all = await self._acknowledged.are_in(target, statuses, former)
        return target if has_all else None

    def _last_change(
        self, former: InstanceId | None, recorded: OrderedChange | None, statuses: Statuses
    ) -> OrderedChange | None:
        """Return the last change, which limits the choice of target: the recorded or a later one.

        After the full wait, changes that the lease does not record are ignored.
        """
        return (
            self._unwritten.change_to_follow(recorded, former, statuses)
            if self._may_still_appear()
            else recorded
        )

    def _may_follow(
        self,
        leader: InstanceId | None,
        statuses: Statuses,
        recorded: OrderedChange | None,
        last_change: OrderedChange | None,
    ) -> bool:
        """Whether there is no unrecorded change, or a reachable member may be promoted after it."""
        if last_change == recorded or self._choose(leader, statuses, last_change) is not None:
            return True
        self._unwritten.log_found(recorded, last_change)
        return False

    def _choose(
        self, leader: InstanceId | None, statuses: Statuses, last_change: OrderedChange | None
    ) -> InstanceId | None:
        members = self._context.leader(self._group).members()
        return choose_target(members, statuses, leader, last_change, self._synchronous > 0)

    def _may_lead(
        self,
        target: InstanceId,
        members: list[DatabaseEntry],
        statuses: Statuses,
        last_change: OrderedChange | None,
    ) -> bool:
        """Whether the target has a log, or the group need not wait for a member that has one."""
        leaders = self._context.leader(self._group)
        known = [leaders.last_commit, leaders.watermarks.newest.position]
        if last_change is not None:
            known.append(last_change.cut)
        had_log = any(position.offset > 0 for position in known)
        wait_expired = self._has_waited(UNKNOWN_LEADER_SECONDS)
        return may_promote_without_log(target, members, statuses, had_log, wait_expired)

    def _has_waited(self, seconds: float) -> bool:
        """Whether the group has been without a leader for `seconds`."""
        since = self._context.leader(self._group).suspected_since
        return since is not None and self._context.now() - since >= seconds

    def _may_still_appear(self) -> bool:
        """Whether an unknown leader or a missing log may still appear."""
        bound = UNKNOWN_SYNCHRONOUS_LEADER_SECONDS if self._synchronous else UNKNOWN_LEADER_SECONDS
        return not self._has_waited(bound)

    async def step_down(self, leader: InstanceId, change: OrderedChange) -> bool:
        """Make a reachable leader step down for a prepared change.

        If no member is paused, then wait a limited time for the target to receive the leader's
        whole log. False: the leader may still lead.
        """
        self._stop_using(leader, change.term)
        nodes, nodes_are_all = self._context.leader_users(self._group)
        cut_off = await self._cut_off.run(leader, change.term, nodes, NEVER, nodes_are_all)
        self._record_cut_off(leader, cut_off)
        if cut_off.is_done and not self._paused:
            await self._wait_caught_up(change.target, cut_off.position)
        return cut_off.is_done

    async def cut_off(self, leader: InstanceId | None, newest_change: OrderedChange | None) -> bool:
        """Cut the former leader off again before an order is repeated.

        `newest_change`: the last change before that order.
        """
        members = self._context.leader(self._group).members()
        former = self._former(members, newest_change)
        statuses = await self._statuses(members, leader)
        term = max(next_term(statuses, None), self._newest_term() + 1)
        cut_off, _ = await self._cut_off_former(leader, leader or former, statuses, term)
        return cut_off.is_done

    async def is_still_cut_off(self) -> bool:
        """Whether the former leader is still cut off, right before an order.

        If the cut-off relies on paused members, none of them may have restarted or reappeared
        since: it may have renewed leases, and their expiry has to be awaited again.
        """
        if not self._relies_on_pauses:
            return True
        members = self._context.leader(self._group).members()
        return await self._paused.all_still_paused(members, self._former_leader)

    async def order(self, lease: Lease, change: OrderedChange) -> ChangeOutcome:
        """Order the prepared change."""
        order = await self._promoter.promote(lease, change.target, PROMOTION_TIMEOUT)
        outcome = ChangeOutcome(order, order.value)
        if self._paused:
            await self._resume_after(change.target, outcome.ordered)
        return outcome

    @property
    def relies_on_pauses(self) -> bool:
        """Whether every other member has to be paused until the order.

        The former leader is cut off only as long as they are, or each of them may have received an
        acknowledged commit alone.
        """
        return self._relies_on_pauses or self._synchronous > 0

    @property
    def has_paused(self) -> bool:
        """Whether members were paused and not resumed."""
        return bool(self._paused)

    async def reaches_replica(self, leader: InstanceId) -> bool:
        """Whether any member other than the leader responds."""
        members = self._context.leader(self._group).members()
        return bool(await self._statuses(members, leader))

    async def resume(self) -> None:
        """Let the paused members receive again. Only the lease holder may call this."""
        await self._paused.resume()

    async def resume_abandoned(self, leader: InstanceId) -> None:
        """Resume members that a node paused for a change that was never completed."""
        members = self._context.leader(self._group).members()
        await self._paused.resume_abandoned(await self._statuses(members, leader))

    def forget(self) -> None:
        """Leave the paused members to the new lease holder."""
        self._paused.forget()

    # The former leader.

    @property
    def _synchronous(self) -> int:
        return self._context.placement.synchronous_replicas(self._group)

    def _newest_term(self) -> int:
        return self._context.leader(self._group).highest_term

    def _former(
        self, members: list[DatabaseEntry], newest_change: OrderedChange | None
    ) -> InstanceId | None:
        """Return the primary to replace, in its registered incarnation.

        This is the leader of the newest term: the target of the last change, which this node may
        have missed while it was cut off, or the last leader that this node found. If neither is
        known, it is the registered primary. A restarted one no longer leads, and reports so when
        it is ordered to step down.
        """
        leaders = self._context.leader(self._group)
        former = leaders.last_leader
        if newest_change is not None and newest_change.term >= leaders.last_term:
            former = newest_change.target
        if former is not None:
            return self._context.placement.newest_incarnation(self._group, former)
        primaries = (entry.instance for entry in members if entry.role is Role.PRIMARY)
        return next(primaries, None)

    async def _cut_off_former(
        self,
        leader: InstanceId | None,
        former: InstanceId | None,
        statuses: Statuses,
        term: int,
    ) -> tuple[CutOff, Statuses]:
        """Make sure that no node uses the former leader.

        Return the result with the replicas' statuses.

        A reachable leader steps down, and the replicas keep receiving what it has sent. If the
        leader is lost, the replicas are paused so that leases on it expire. With asynchronous
        replicas, none is paused while any member is unresponsive: it may still confirm leases, so
        they would not expire anyway, and the others should keep confirming them.
        """
        members = self._context.leader(self._group).members()
        leases_end = NEVER
        unresponsive = self._paused.unresponsive(members, former, statuses)
        if leader is None and (self._synchronous or not unresponsive):
            statuses = await self._paused.pause(statuses, term)
            is_waiting_useful = not self._paused.unpaused(members, former, statuses)
            if is_waiting_useful and await self._ignores_members(members, former, statuses, term):
                cut_off = await self._await_cut_off(former, term, NEVER)
                if cut_off.is_done or not await self._outwait_sightings(members, former):
                    self._stop_using(former, term)
                    self._record_cut_off(former, cut_off)
                    return cut_off, statuses
                statuses = await self._paused.statuses(list(statuses))
                statuses = await self._paused.pause(statuses, term)
        if leader is None:
            self._paused.log(members, former, statuses, term)
            if not self._paused.unpaused(members, former, statuses):
                leases_end = self._paused.paused_at + WAIT_SECONDS
        self._stop_using(former, term)
        cut_off = await self._await_cut_off(former, term, leases_end)
        self._record_cut_off(former, cut_off)
        return cut_off, statuses

    async def _ignores_members(
        self,
        members: list[DatabaseEntry],
        former: InstanceId | None,
        statuses: Statuses,
        term: int,
    ) -> bool:
        """Whether a member that may still run is neither paused nor waited for.

        Its registration has lapsed, or it left the directory a short while ago.
        """
        if self._paused.ignored(members, former, statuses):
            return True
        departed = [
            entry
            for entry in self._context.placement.departed(self._group)
            if entry.instance != former
        ]
        stopped = await asyncio.gather(*(self._is_stopped(entry, term) for entry in departed))
        return not all(stopped)

    async def _is_stopped(self, entry: DatabaseEntry, term: int) -> bool:
        """Whether a departed database is paused now, or has ended."""
        try:
            status = await self._orders.pause_departed(entry, term)
        except MemberUnreachableError as error:
            return error.is_gone
        return status is not None and status.held_term >= term

    async def _outwait_sightings(
        self, members: list[DatabaseEntry], former: InstanceId | None
    ) -> bool:
        """Wait until no node has seen the paused members unpaused recently.

        Until then a node that still reaches the former leader and an ignored member may use that
        leader. Return False if a member is not paused any more, or the lease may be lost.
        """
        end = self._context.now() + SIGHTING_SECONDS
        while True:
            if not await self._keep_lease():
                return False
            self._paused.renew_survey()
            if not await self._paused.all_still_paused(members, former):
                return False
            if self._context.now() >= end:
                return True
            await asyncio.sleep(SIGHTING_CHECK_SECONDS)

    async def _await_cut_off(
        self, former: InstanceId | None, term: int, leases_end: float
    ) -> CutOff:
        """Cut the former leader off, or wait until no lease on it is left if it is unknown."""
        if former is None:
            await asyncio.sleep(max(0.0, min(WAIT_SECONDS, leases_end - self._context.now())))
            return LEASES_EXPIRED if leases_end != NEVER else CutOff(False)
        nodes, nodes_are_all = self._context.leader_users(self._group)
        return await self._cut_off.run(former, term, nodes, leases_end, nodes_are_all)

    def _stop_using(self, former: InstanceId | None, term: int) -> None:
        """Stop using the former leader on this node, as peers do on a step-down request."""
        name = None if former is None else server_name(former)
        self._context.stop_using_leader(self._group, name, term)

    def _record_cut_off(self, former: InstanceId | None, cut_off: CutOff) -> None:
        self._former_leader = former
        self._relies_on_pauses = cut_off.relies_on_pauses
        if cut_off.position is not None:
            self._unwritten.record_step_down()

    async def _wait_caught_up(self, target: InstanceId, position: Position | None) -> None:
        """Wait up to CATCH_UP_SECONDS until the target has the former leader's whole log."""
        deadline = self._context.now() + CATCH_UP_SECONDS
        while position is not None and self._context.now() < deadline:
            statuses = await self._paused.statuses([target])
            if target in statuses and statuses[target].received >= position:
                return
            await asyncio.sleep(CATCH_UP_PAUSE)

    # Members.

    async def _replicas(self, members: list[DatabaseEntry], leader: InstanceId | None) -> Statuses:
        """Return the replicas' statuses, or nothing if one of them already leads the newest term.

        A member that reports leading a former term counts neither as a replica nor as a leader.
        """
        statuses = await self._statuses(members, leader)
        newest = self._newest_term()
        if any(status.is_primary and status.term >= newest for status in statuses.values()):
            return {}
        return {name: status for name, status in statuses.items() if not status.is_primary}

    async def _statuses(self, members: list[DatabaseEntry], leader: InstanceId | None) -> Statuses:
        others = [entry.instance for entry in members if entry.instance != leader]
        return await self._paused.statuses([name for name in others if not self._is_silent(name)])

    def _is_silent(self, instance: InstanceId) -> bool:
        """Whether the member recently failed to respond, so that another query only costs time.

        One at whose address nothing listened may have started since, and replies at once.
        """
        pool = self._context.placement.pools.get(instance)
        return pool is None or (pool.unresponsive and not pool.is_gone)

    async def _resume_after(self, target: InstanceId, ordered: bool) -> None:
        """Let the replicas receive again once the target leads.

        If it does not within RESUME_SECONDS, they stay paused.
        """
        leaders = self._context.leader(self._group)
        deadline = self._context.now() + RESUME_SECONDS
        while ordered and leaders.leader != target and self._context.now() < deadline:
            await leaders.wait_change(deadline)
        if leaders.leader == target:
            await self.resume()
