"""One change of primary: positions, the former leader's end, target, order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.failover.target import (
    CandidateStatus,
    choose_target,
    covers_acknowledged,
    may_promote_without_log,
    next_term,
)
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.leader_lease import WAIT_SECONDS
from bramblebeam.core.identity import (
    ZERO_POSITION,
    GroupId,
    InstanceId,
    Position,
    incarnation_of,
    server_name,
)
from bramblebeam.core.role import Role
from bramblebeam.services.failover.cut_off import (
    LEASES_EXPIRED,
    NEVER,
    CutOff,
    LeaderCutOff,
    StepDownPeers,
)
from bramblebeam.services.failover.member_orders import MemberOrders, MemberUnreachableError
from bramblebeam.services.failover.paused_members import PausedMembers, Statuses
from bramblebeam.services.failover.ports import Order, Promoter
from bramblebeam.services.failover.untold import UnwrittenChangeDetector
from bramblebeam.services.gateway.context import GatewayContext

PROMOTION_TIMEOUT = 0.6
CATCH_UP_SECONDS = 0.5
"""For how long a planned change waits for a replica to receive what the old leader has."""
CATCH_UP_PAUSE = 0.03
UNKNOWN_LEADER_SECONDS = 8.0
"""So long a group waits whose leader no node ever knew: its registration may be late, as that of
every database is after the store was out of order. Synchronous groups wait LOST_LOG_SECONDS."""
LOST_LOG_SECONDS = 30.0
"""A synchronous group waits for so long for a log that has what was acknowledged. A database that
crashed is back within some seconds; one that is not is taken for lost, and the group goes on."""
RESUME_SECONDS = 2.0
"""For how long the end of a change is waited for before members receive again."""


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """What became of a change. `order` None: nothing was ordered."""

    order: Order | None
    detail: str

    @property
    def ordered(self) -> bool:
        """Whether the order was accepted or may be carried out."""
        return self.order in (Order.ACCEPTED, Order.UNKNOWN)


class ChangeRunner:
    """Carries out changes of a group's primary: `prepare`, then `order`.

    Members that were paused stay so until the change is over, or until `resume`.
    """

    def __init__(
        self,
        context: GatewayContext,
        promoter: Promoter,
        peers: StepDownPeers,
        group: GroupId,
        may_be_untold: bool = False,
    ) -> None:
        """`may_be_untold`: the lease may lack the last change (see `UntoldChanges`)."""
        self._context = context
        self._untold = UnwrittenChangeDetector(context, group, may_be_untold)
        self._promoter = promoter
        self._group = group
        self._orders = MemberOrders(context.placement)
        self._cut_off = LeaderCutOff(group, self._orders, peers)
        self._paused = PausedMembers(group, self._orders)
        self._relies_on_pauses = False
        self._former_leader: InstanceId | None = None

    def expect_unwritten_change(self) -> None:
        """Note that the lease may lack the last change: the store came back from a copy once."""
        self._untold.expect_unwritten()

    async def prepare(
        self,
        leader: InstanceId | None,
        newest_change: OrderedChange | None,
        told_change: OrderedChange | None,
    ) -> OrderedChange | None:
        """Return the change to order, None where no member may be promoted now.

        `leader`: the one that can be reached and is to be replaced. It leads on until `step_down`;
        None: it is lost, and is cut off here. `newest_change`: the last one that was ordered.
        `told_change`: the same, or None where its target need not be followed.
        """
        members = self._context.leader(self._group).members()
        former = self._former(members, newest_change)
        if leader is not None and leader != former:
            # Another node has replaced it, and this one has not heard of that yet.
            return None
        if leader is None and former is None and self._may_come_late():
            return None
        statuses = await self._replicas(members, leader)
        last_change = self._last_change(former, told_change, statuses)
        if not statuses or not self._may_follow(leader, statuses, told_change, last_change):
            return None
        term = max(next_term(statuses, last_change), self._newest_term() + 1)
        if leader is None:
            cut_off, statuses = await self._end_former(leader, former, statuses, term)
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

    async def _target(
        self,
        leader: InstanceId | None,
        former: InstanceId | None,
        statuses: Statuses,
        last_change: OrderedChange | None,
    ) -> InstanceId | None:
        """Return the member to promote, None where acknowledged commits may be elsewhere only."""
        members = self._context.leader(self._group).members()
        is_synchronous = self._synchronous > 0
        if is_synchronous and not await self._departed_are_covered(former, statuses):
            return None
        forgetful = self._forgetful(statuses)
        if not covers_acknowledged(members, statuses, former, self._synchronous, forgetful):
            return None
        target = self._choose(leader, statuses, last_change)
        if target is not None and not self._may_lead(target, members, statuses, last_change):
            return None
        if is_synchronous and target is not None and self._lacks_commits(statuses[target]):
            return None
        return target

    def _last_change(
        self, former: InstanceId | None, told: OrderedChange | None, statuses: Statuses
    ) -> OrderedChange | None:
        """Return the change that a target must follow: the one that was told, or a later one.

        A group that has waited for long goes on without what it was not told.
        """
        return (
            self._untold.change_to_follow(told, former, statuses) if self._may_come_late() else told
        )

    def _may_follow(
        self,
        leader: InstanceId | None,
        statuses: Statuses,
        told: OrderedChange | None,
        last_change: OrderedChange | None,
    ) -> bool:
        """Whether a member that answers follows a change that was not told, if there was one."""
        if last_change == told or self._choose(leader, statuses, last_change) is not None:
            return True
        self._untold.log_found(told, last_change)
        return False

    def _choose(
        self, leader: InstanceId | None, statuses: Statuses, last_change: OrderedChange | None
    ) -> InstanceId | None:
        members = self._context.leader(self._group).members()
        return choose_target(members, statuses, leader, last_change, self._synchronous > 0)

    def _forgetful(self, statuses: Statuses) -> list[InstanceId]:
        """Return the replicas that started again and may lack what they had received.

        After LOST_LOG_SECONDS what they lost is taken for lost, as a lost log is.
        """
        leaders = self._context.leader(self._group)
        if self._has_waited(LOST_LOG_SECONDS):
            return []
        return [
            instance
            for instance, status in statuses.items()
            if not leaders.has_caught_up(instance, status.received)
        ]

    def _may_lead(
        self,
        target: InstanceId,
        members: list[DatabaseEntry],
        statuses: Statuses,
        last_change: OrderedChange | None,
    ) -> bool:
        """Whether the target has a log, or no other member can be waited for that has one."""
        leaders = self._context.leader(self._group)
        known = [leaders.last_commit, leaders.watermarks.newest.position]
        if last_change is not None:
            known.append(last_change.cut)
        had_log = any(position.offset > 0 for position in known)
        waited_in_vain = self._has_waited(UNKNOWN_LEADER_SECONDS)
        return may_promote_without_log(target, members, statuses, had_log, waited_in_vain)

    def _has_waited(self, seconds: float) -> bool:
        """Whether the group has had no leader for so long."""
        since = self._context.leader(self._group).suspected_since
        return since is not None and self._context.now() - since >= seconds

    def _may_come_late(self) -> bool:
        """Whether a leader that is not known here, or logs, may yet be met."""
        bound = LOST_LOG_SECONDS if self._synchronous else UNKNOWN_LEADER_SECONDS
        return not self._has_waited(bound)

    def _lacks_commits(self, longest: CandidateStatus) -> bool:
        """Whether the longest log within reach lacks a commit that this node saw acknowledged.

        The former leader has it, or a replica that left: its log goes to its successor. Either is
        waited for, as nothing else can keep the promise of a synchronous group.
        """
        leaders = self._context.leader(self._group)
        if longest.received >= leaders.last_commit:
            return False
        return not self._has_waited(LOST_LOG_SECONDS)

    async def step_down(self, leader: InstanceId, change: OrderedChange) -> bool:
        """Take the lead from a leader that can be reached, for a change that is prepared.

        Its target then receives what the leader has sent, for a while at most. False: the leader
        may lead on.
        """
        self._promise(leader, change.term)
        nodes, nodes_are_all = self._context.users(self._group)
        cut_off = await self._cut_off.run(leader, change.term, nodes, NEVER, nodes_are_all)
        self._note_ended(leader, cut_off)
        if cut_off.is_done and not self._paused:
            await self._caught_up(change.target, cut_off.position)
        return cut_off.is_done

    async def cut_off(self, leader: InstanceId | None, newest_change: OrderedChange | None) -> bool:
        """Cut the former leader off once more, before an order is repeated.

        `newest_change`: the last one before the order.
        """
        members = self._context.leader(self._group).members()
        former = self._former(members, newest_change)
        statuses = await self._statuses(members, leader)
        term = max(next_term(statuses, None), self._newest_term() + 1)
        cut_off, _ = await self._end_former(leader, leader or former, statuses, term)
        return cut_off.is_done

    async def is_still_cut_off(self) -> bool:
        """Whether the former leader is still cut off, right before an order.

        Where that relies on pauses, no member may have started again, or come back, since: leases
        may have been renewed by it, and have to be waited for once more.
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
    def has_paused(self) -> bool:
        """Whether members were paused and not let go on."""
        return bool(self._paused)

    async def reaches_replica(self, leader: InstanceId) -> bool:
        """Whether any member beside the leader answers."""
        members = self._context.leader(self._group).members()
        return bool(await self._statuses(members, leader))

    async def resume(self) -> None:
        """Let the paused members receive again. Call it only as the lease's holder."""
        await self._paused.resume()

    async def resume_abandoned(self, leader: InstanceId) -> None:
        """Let members receive again that somebody paused for a change which never came."""
        members = self._context.leader(self._group).members()
        await self._paused.resume_abandoned(await self._statuses(members, leader))

    def forget(self) -> None:
        """Leave the paused members to the lease's new holder."""
        self._paused.forget()

    # The former leader.

    @property
    def _synchronous(self) -> int:
        settings = self._context.table.groups.get(self._group)
        return settings.synchronous_replicas if settings is not None else 0

    def _newest_term(self) -> int:
        return self._context.leader(self._group).highest_term

    def _former(
        self, members: list[DatabaseEntry], newest_change: OrderedChange | None
    ) -> InstanceId | None:
        """Return the primary that is replaced, as it is registered now.

        One that started again leads no more, and says so when it is asked to step down. It is the
        one of the newest term: the target of the last change, which this node may not
        have heard of while it was cut off, or the last leader that it found; else the registered
        primary.
        """
        leaders = self._context.leader(self._group)
        former = leaders.last_leader
        if newest_change is not None and newest_change.term >= leaders.last_term:
            former = newest_change.target
        if former is not None:
            return self._registered(former)
        primaries = (entry.instance for entry in members if entry.role is Role.PRIMARY)
        return next(primaries, None)

    def _registered(self, instance: InstanceId) -> InstanceId:
        """Return the later start of a database, if it is registered with one."""
        name = server_name(instance)
        registered = self._context.placement.instance_named(self._group, name)
        return registered if incarnation_of(registered) > incarnation_of(instance) else instance

    async def _end_former(
        self,
        leader: InstanceId | None,
        former: InstanceId | None,
        statuses: Statuses,
        term: int,
    ) -> tuple[CutOff, Statuses]:
        """Make sure that nobody uses the former leader; return it with the replicas' statuses.

        One that can be reached steps down, and the replicas go on receiving what it has sent. Of
        one that is lost the replicas are paused, so that leases on it end. None is paused where one
        does not answer that may confirm leases all the same: the others go on confirming them.
        """
        members = self._context.leader(self._group).members()
        leases_end = NEVER
        silent = self._paused.unresponsive(members, former, statuses)
        if leader is None and (self._synchronous or not silent):
            statuses = await self._paused.pause(statuses, term)
        if leader is None:
            self._paused.log(members, former, statuses, term)
            if not self._paused.unpaused(members, former, statuses):
                leases_end = self._paused.paused_at + WAIT_SECONDS
        self._promise(former, term)
        cut_off = await self._cut_off_lost(former, term, leases_end)
        self._note_ended(former, cut_off)
        return cut_off, statuses

    async def _cut_off_lost(
        self, former: InstanceId | None, term: int, leases_end: float
    ) -> CutOff:
        """Cut a former leader off, which nobody may know, until no lease on it is left."""
        if former is None:
            await asyncio.sleep(max(0.0, min(WAIT_SECONDS, leases_end - self._context.now())))
            return LEASES_EXPIRED if leases_end != NEVER else CutOff(False)
        nodes, nodes_are_all = self._context.users(self._group)
        return await self._cut_off.run(former, term, nodes, leases_end, nodes_are_all)

    def _promise(self, former: InstanceId | None, term: int) -> None:
        """Have this node promise, as those that are asked do, to use no former leader."""
        name = None if former is None else server_name(former)
        self._context.give_up(self._group, name, term)

    def _note_ended(self, former: InstanceId | None, cut_off: CutOff) -> None:
        self._former_leader = former
        self._relies_on_pauses = cut_off.relies_on_pauses
        if cut_off.position is not None:
            self._untold.record_step_down()

    async def _caught_up(self, target: InstanceId, position: Position | None) -> None:
        """Wait until the target has all that the former leader has, for a while at most."""
        deadline = self._context.now() + CATCH_UP_SECONDS
        while position is not None and self._context.now() < deadline:
            statuses = await self._paused.statuses([target])
            if target in statuses and statuses[target].received >= position:
                return
            await asyncio.sleep(CATCH_UP_PAUSE)

    # Members.

    async def _replicas(self, members: list[DatabaseEntry], leader: InstanceId | None) -> Statuses:
        """Return what the members but the leader say; nothing where one of them leads already.

        A member that says that it leads a former term is no replica, and no leader.
        """
        statuses = await self._statuses(members, leader)
        newest = self._newest_term()
        if any(status.is_primary and status.term >= newest for status in statuses.values()):
            return {}
        return {name: status for name, status in statuses.items() if not status.is_primary}

    async def _statuses(self, members: list[DatabaseEntry], leader: InstanceId | None) -> Statuses:
        others = [entry.instance for entry in members if entry.instance != leader]
        silent = [instance for instance in others if self._is_silent(instance)]
        self._paused.record_gone([instance for instance in silent if self._is_gone(instance)])
        return await self._paused.statuses([name for name in others if name not in silent])

    def _is_silent(self, instance: InstanceId) -> bool:
        """Whether the member did not answer a moment ago: to ask it again only costs time."""
        pool = self._context.placement.pools.get(instance)
        return pool is None or pool.unresponsive

    def _is_gone(self, instance: InstanceId) -> bool:
        """Whether nothing listened there a moment ago."""
        pool = self._context.placement.pools.get(instance)
        return pool is not None and pool.is_gone

    async def _departed_are_covered(self, former: InstanceId | None, statuses: Statuses) -> bool:
        """Whether no database that left can have, or receive, more than a reachable member has.

        It is not known here any more, but counts for acknowledgements for as long as it runs.
        """
        longest = max((status.received for status in statuses.values()), default=ZERO_POSITION)
        term = next_term(statuses, None)
        departed = self._context.placement.departed(self._group)
        others = [entry for entry in departed if entry.instance != former]
        covered = await asyncio.gather(
            *(self._is_covered(entry, term, longest) for entry in others)
        )
        return all(covered)

    async def _is_covered(self, entry: DatabaseEntry, term: int, longest: Position) -> bool:
        try:
            status = await self._orders.pause_departed(entry, term)
        except MemberUnreachableError as error:
            return error.is_gone
        return status is not None and status.received <= longest

    async def _resume_after(self, target: InstanceId, ordered: bool) -> None:
        """Let the replicas receive again once the target leads, or the order came to nothing."""
        leaders = self._context.leader(self._group)
        deadline = self._context.now() + RESUME_SECONDS
        while ordered and leaders.leader != target and self._context.now() < deadline:
            await leaders.wait_change(deadline)
        if leaders.leader == target:
            await self.resume()
