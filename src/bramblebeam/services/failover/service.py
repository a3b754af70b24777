"""The failover service: watches the leaders of groups in use and changes those that are lost."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import random
from dataclasses import replace
from typing import ClassVar

from bramblebeam.core.failover.decision import (
    Action,
    Cause,
    FailoverTiming,
    Situation,
    decide,
    quiet_time,
)
from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.failover.messages import StepDownRequest
from bramblebeam.core.gateway.directory import DirectoryChanged
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    FAILOVER_COMPLETED,
    FAILOVER_STARTED,
    LEASE_RELEASED,
    LEASE_STORE_FAILED,
    LEASE_TAKEN,
)
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer
from bramblebeam.services.failover.change import ChangeOutcome, ChangeRunner
from bramblebeam.services.failover.member_orders import MemberOrders
from bramblebeam.services.failover.peers import TransportStepDownPeers
from bramblebeam.services.failover.ports import (
    LeaseStore,
    LeaseStoreUnavailableError,
    Order,
    Promoter,
)
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.leaders import (
    UNCONFIRMED_SECONDS,
    FormerLeaderFound,
    LeaderProven,
    LeaderSuspected,
    LeaderTracker,
)
from bramblebeam.services.transport.messages import PeerDelivery, PeerRoute

logger = logging.getLogger(__name__)

CYCLE_SECONDS = 0.1
QUIET_CYCLE_SECONDS = 5.0
"""News of the leader or of the databases ends a quiet wait at once."""
LEASE_TIMEOUT = 0.4
FIRST_LEASE_DELAY = 1.0
LEASE_RETRY = 1.0
NO_HOLDER = NodeId("")
RANKS = 6
"""Nodes spread over so many places in the order of those that take a lease over."""


class GroupWatch:
    """One group's loop: observe, decide, act."""

    def __init__(self, service: FailoverService, group: GroupId) -> None:
        self._service = service
        self._group = group
        self._lease: Lease | None = None
        self._quiet_until = float("-inf")
        self._leaving_since: float | None = None
        self._ordered_at: float | None = None
        self._lease_read_for: float | None = None
        self._refused_token: int | None = None
        self._rank = _rank(service.node, group)
        self._runner = ChangeRunner(service.context, service.promoter, service.peers, group)
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Watch the group until cancelled."""
        await asyncio.sleep(random.uniform(0.0, FIRST_LEASE_DELAY))
        self._service.spawn(self._first_lease())
        while True:
            situation = self._observe()
            if situation.cause is None:
                await self._end_trouble()
                await self._pause(QUIET_CYCLE_SECONDS)
                continue
            known = await self._know_lease(situation)
            action = decide(self._observe(), self._service.now(), self._service.timing)
            if known and action is not Action.NONE:
                await self._act(action)
            await self._pause(CYCLE_SECONDS)

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.wake.wait()
        except TimeoutError:
            pass
        self.wake.clear()

    def _observe(self) -> Situation:
        leaders = self._service.context.leader(self._group)
        cause: Cause | None = None
        since: float | None = None
        if not leaders.in_use:
            self._leaving_since = None
        elif leaders.leader is None:
            self._leaving_since = None
            cause, since = Cause.LOST, leaders.suspected_since
        elif self._leader_leaves():
            if self._leaving_since is None:
                self._leaving_since = self._service.now()
            cause, since = self._leaving_cause(leaders.leader), self._leaving_since
        else:
            self._leaving_since = None
            cause, since = self._quiet_trouble(leaders)
        return Situation(
            node=self._service.node,
            rank=self._rank,
            leader=leaders.leader,
            cause=cause if since is not None else None,
            trouble_since=since,
            lease=self._lease,
            quiet_until=self._quiet_until,
            ordered_at=self._ordered_at,
        )

    def _quiet_trouble(self, leaders: LeaderTracker) -> tuple[Cause | None, float | None]:
        """Return what is wrong with a leader that answers and stays, and since when."""
        if self._awaits_other_leader(leaders.leader):
            return Cause.UNSETTLED, self._service.now()
        if leaders.stalled_since is not None:
            return Cause.STALLED, leaders.stalled_since
        unconfirmed = leaders.unconfirmed_since
        if unconfirmed is not None and self._service.now() - unconfirmed >= UNCONFIRMED_SECONDS:
            return Cause.UNCONFIRMED, unconfirmed
        return None, None

    def _awaits_other_leader(self, leader: InstanceId | None) -> bool:
        """Whether this node has ordered another leader and does not know what became of it."""
        lease = self._lease
        if lease is None or lease.holder != self._service.node or lease.unsettled is None:
            return False
        return lease.unsettled.target != leader

    def _leader_leaves(self) -> bool:
        leaders = self._service.context.leader(self._group)
        if leaders.leader is None:
            return False
        pool = self._service.context.placement.pools.get(leaders.leader)
        return pool is not None and pool.entry.leaving

    def _leaving_cause(self, leader: InstanceId) -> Cause:
        pool = self._service.context.placement.pools.get(leader)
        is_lapsed = pool is not None and pool.entry.lapsed
        return Cause.LAPSED if is_lapsed else Cause.LEAVING

    # The lease.

    async def release(self) -> None:
        """Give the lease up before the node stops, so that nobody has to wait for it."""
        held = self._lease
        if held is None or held.holder != self._service.node:
            return
        try:
            released = replace(held, holder=NO_HOLDER)
            written = await self._service.leases.write(held, released, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            log_event(logger, LEASE_STORE_FAILED, group=self._group, error=str(error))
            return
        if written is not None:
            self._lease = written
            log_event(logger, LEASE_RELEASED, group=self._group, token=written.token)

    async def _first_lease(self) -> None:
        """Make sure that somebody has the lease before it is needed."""
        while self._lease is None:
            await self._create_or_read()
            if self._lease is None:
                await asyncio.sleep(LEASE_RETRY * random.uniform(0.5, 1.5))

    async def _create_or_read(self) -> None:
        store = self._service.leases
        try:
            found = await store.read(self._group, LEASE_TIMEOUT)
            if found is None:
                found = await store.create(self._group, self._service.node, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            log_event(logger, LEASE_STORE_FAILED, group=self._group, error=str(error))
            return
        if found is not None:
            self._lease = found

    async def _know_lease(self, situation: Situation) -> bool:
        """Read another node's lease; False: it can't be read, so it can't be taken over."""
        if self._lease is not None and self._lease.holder == self._service.node:
            return True
        try:
            found = await self._service.leases.read(self._group, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            log_event(logger, LEASE_STORE_FAILED, group=self._group, error=str(error))
            return False
        if found is not None:
            is_first = self._lease_read_for != situation.trouble_since
            quiet = quiet_time(self._lease, found, is_first, self._service.timing)
            self._lease_read_for = situation.trouble_since
            self._lease = found
            self._quiet_until = max(self._quiet_until, self._service.now() + quiet)
        return True

    async def _write_lease(
        self, last_change: OrderedChange | None, unsettled: OrderedChange | None
    ) -> Lease | None:
        """Write the lease as this node's, with a new token; None: it is another node's.

        Where the store gives no answer, a holder's present token serves, if the outside service
        checks tokens: a newer holder's would be higher. One that was refused is not used again.
        """
        store = self._service.leases
        held = self._lease
        assert held is not None
        node = self._service.node
        content = replace(held, holder=node, last_change=last_change, unsettled=unsettled)
        try:
            written = await store.write(held, content, LEASE_TIMEOUT)
            if written is None:
                found = await store.read(self._group, LEASE_TIMEOUT)
                if found is not None:
                    self._lease = found
                    self._quiet_until = self._service.now() + self._service.timing.attempt
                return None
        except LeaseStoreUnavailableError as error:
            log_event(logger, LEASE_STORE_FAILED, group=self._group, error=str(error))
            may_reuse = self._service.fence_checked and held.token != self._refused_token
            if held.holder != node or not may_reuse:
                return None
            self._lease = content
            return content
        self._lease = written
        log_event(logger, LEASE_TAKEN, group=self._group, token=written.token)
        return written

    # The change.

    async def _act(self, action: Action) -> None:
        situation = self._observe()
        if self._lease is None:
            await self._create_or_read()
        if situation.cause is None or self._lease is None:
            return
        began = self._service.now()
        log_event(
            logger,
            FAILOVER_STARTED,
            group=self._group,
            cause=situation.cause.value,
            leader=situation.leader,
            token=self._lease.token,
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
            token=self._lease.token,
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
        token until it is answered: it may yet be carried out, and then no other log may lead.
        """
        assert self._lease is not None
        claimed = await self._write_lease(self._lease.last_change, self._lease.unsettled)
        if claimed is None:
            return None, ChangeOutcome(None, "the lease is another node's")
        if claimed.unsettled is not None:
            return claimed.unsettled, await self._repeat(claimed, claimed.unsettled, leader)
        if cause is Cause.UNCONFIRMED and leader is not None:
            await self._runner.resume_abandoned(leader)
            return None, ChangeOutcome(None, "members that were left paused receive again")
        newest, history = claimed.last_change, self._history(claimed)
        change = await self._runner.prepare(leader, newest, history)
        if change is None:
            return None, ChangeOutcome(None, "no member may be promoted now")
        lease = await self._write_lease(claimed.last_change, change)
        if lease is None:
            self._runner.forget()
            return change, ChangeOutcome(None, "the lease is another node's")
        return change, await self._carry_out(lease, change, leader)

    async def _carry_out(
        self, lease: Lease, change: OrderedChange, leader: InstanceId | None
    ) -> ChangeOutcome:
        """Order a prepared change, once a leader that can be reached has stepped down."""
        if leader is not None and not await self._runner.step_down(leader, change):
            await self._write_lease(lease.last_change, None)
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
        is_long = self._service.now() - since > self._service.timing.resignation
        return None if is_long else lease.last_change

    async def _order(self, lease: Lease, change: OrderedChange, is_repeated: bool) -> ChangeOutcome:
        outcome = await self._runner.order(lease, change)
        if outcome.order is Order.ACCEPTED:
            await self._write_lease(change, None)
            return outcome
        if outcome.order is Order.REFUSED:
            self._refused_token = lease.token
        if outcome.order is Order.REFUSED or not (outcome.ordered or is_repeated):
            await self._write_lease(lease.last_change, None)
        return outcome

    async def _end_trouble(self) -> None:
        """Undo pauses and settle the order of a change that is over, if the lease is still ours."""
        self._ordered_at = None
        lease = self._lease
        if lease is None or lease.holder != self._service.node:
            self._runner.forget()
            return
        unsettled = lease.unsettled
        is_done = unsettled is not None and self._leader() == unsettled.target
        if not is_done and not self._runner.has_paused:
            return
        if unsettled is not None and not is_done:
            # The order may yet be carried out: nobody may go back to the former leader.
            return
        last_change = unsettled if is_done else lease.last_change
        if await self._write_lease(last_change, None if is_done else unsettled) is None:
            self._runner.forget()
            return
        await self._runner.resume()

    def _leader(self) -> InstanceId | None:
        return self._service.context.leader(self._group).leader


class FailoverService(Service):
    """Runs one watch a group in use."""

    name: ClassVar[str] = "failover"

    def __init__(
        self,
        kernel: Kernel,
        node: NodeId,
        context: GatewayContext,
        leases: LeaseStore,
        promoter: Promoter,
        fence_checked: bool,
    ) -> None:
        super().__init__(kernel)
        self.peers = TransportStepDownPeers(kernel)
        self._orders = MemberOrders(context.placement)
        self.node = node
        self.context = context
        self.leases = leases
        self.promoter = promoter
        self.fence_checked = fence_checked
        self.timing = FailoverTiming()
        self._watches: dict[GroupId, GroupWatch] = {}

    async def start(self) -> None:
        """Follow databases and the leaders of groups in use."""
        for message_type in (DirectoryChanged, LeaderSuspected, LeaderProven, FormerLeaderFound):
            self.kernel.subscribe(message_type, self.name)
        await self.kernel.call("transport", PeerRoute(self.name, (StepDownRequest,)))
        for watch in self._watches.values():
            self.spawn(watch.run())

    async def drain(self) -> None:
        """Give up the leases that this node holds."""
        await asyncio.gather(*(watch.release() for watch in self._watches.values()))

    async def handle(self, envelope: Envelope) -> None:
        """Watch the groups that this node uses; look again at news."""
        match envelope.message:
            case LeaderSuspected(group=group) | LeaderProven(group=group):
                self._watch(group)
                if group in self._watches:
                    self._watches[group].wake.set()
            case DirectoryChanged():
                for watch in self._watches.values():
                    watch.wake.set()
            case FormerLeaderFound(instance=instance, newest_term=term):
                self.spawn(self._demote(instance, term))
            case PeerDelivery(message=StepDownRequest() as request):
                self.spawn(self._step_down(request, envelope))

    async def _demote(self, instance: InstanceId, term: int) -> None:
        """Take the lead from a database that was replaced and does not know it."""
        await self._orders.step_down(instance, term)

    async def _step_down(self, request: StepDownRequest, envelope: Envelope) -> None:
        """Use the database no more, and take the lead from it if it can be reached."""
        self.context.give_up(request.group, request.instance)
        answer(envelope, await self._orders.step_down(request.instance, request.term))

    def _watch(self, group: GroupId) -> None:
        """Watch a group that this node serves: the others' view of it is second-hand."""
        if group not in self._watches and self.context.serves(group):
            self._watches[group] = GroupWatch(self, group)
            self.spawn(self._watches[group].run())

    @staticmethod
    def now() -> float:
        """Return the steady clock (seconds)."""
        return asyncio.get_running_loop().time()


def _rank(node: NodeId, group: GroupId) -> int:
    digest = hashlib.blake2b(f"{group}/{node}".encode(), digest_size=2).digest()
    return int.from_bytes(digest) % RANKS
