"""The failover service: watches the leaders of groups in use and replaces those that fail."""

from __future__ import annotations

import asyncio
from typing import ClassVar

from bramblebeam.core.failover.decision import FailoverTiming
from bramblebeam.core.failover.messages import StepDownRequest
from bramblebeam.core.gateway.directory import DirectoryChanged
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.revision import StoreEraBegan
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer
from bramblebeam.services.failover.change_lookups import ChangeLookups
from bramblebeam.services.failover.cut_off import StepDownPeers
from bramblebeam.services.failover.member_orders import MemberOrders
from bramblebeam.services.failover.peers import TransportStepDownPeers
from bramblebeam.services.failover.ports import LeaseStore, MemberList, Promoter, RosterStore
from bramblebeam.services.failover.watch import FailoverWatch
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.leader_news import (
    ChangeLookupRequested,
    FormerLeaderFound,
    LeaderProven,
    LeaderSuspected,
)
from bramblebeam.services.transport.messages import PeerDelivery, PeerRoute

SYNCHRONOUS_GROUPS_SECONDS = 1.0
"""Interval of the search for synchronous groups to watch (seconds)."""


class FailoverService(Service):
    """Runs one watch per group in use, and per synchronous group that this node serves."""

    name: ClassVar[str] = "failover"

    def __init__(
        self,
        kernel: Kernel,
        node: NodeId,
        context: GatewayContext,
        leases: LeaseStore,
        rosters: RosterStore,
        member_list: MemberList,
        promoter: Promoter,
        fence_checked: bool,
    ) -> None:
        super().__init__(kernel)
        self.peers: StepDownPeers = TransportStepDownPeers(kernel)
        self._orders = MemberOrders(context.placement)
        self.node = node
        self.context = context
        self.leases = leases
        self.rosters = rosters
        self.member_list = member_list
        self._lookups = ChangeLookups(context, leases)
        self.promoter = promoter
        self.fence_checked = fence_checked
        self.timing = FailoverTiming()
        self._watches: dict[GroupId, FailoverWatch] = {}

    async def start(self) -> None:
        """Subscribe to events, accept step-down requests, and start the watches again."""
        for message_type in (
            DirectoryChanged,
            LeaderSuspected,
            LeaderProven,
            FormerLeaderFound,
            ChangeLookupRequested,
            StoreEraBegan,
        ):
            self.kernel.subscribe(message_type, self.name)
        await self.kernel.call("transport", PeerRoute(self.name, (StepDownRequest,)))
        for watch in self._watches.values():
            self.spawn(watch.run())
        self.spawn(self._watch_synchronous_groups())

    async def drain(self) -> None:
        """Release the leases that this node holds."""
        await asyncio.gather(*(watch.lease.release() for watch in self._watches.values()))

    async def handle(self, envelope: Envelope) -> None:
        """Start watches of groups that this node serves, and wake them on events."""
        match envelope.message:
            case LeaderSuspected(group=group) | LeaderProven(group=group):
                self._watch(group)
                if group in self._watches:
                    self._watches[group].wake.set()
            case DirectoryChanged():
                for watch in self._watches.values():
                    watch.wake.set()
                    watch.roster.wake()
            case ChangeLookupRequested(group):
                self.spawn(self._lookups.run(group))
            case StoreEraBegan(era):
                self._lookups.record_era(era)
                for watch in self._watches.values():
                    watch.record_era(era)
            case FormerLeaderFound(instance=instance, newest_term=term):
                self.spawn(self._demote(instance, term))
            case PeerDelivery(message=StepDownRequest() as request):
                self.spawn(self._step_down(request, envelope))

    async def _demote(self, instance: InstanceId, term: int) -> None:
        """Make a database step down that was replaced but still considers itself the leader."""
        await self._orders.step_down(instance, term)

    async def _step_down(self, request: StepDownRequest, envelope: Envelope) -> None:
        """Stop using a database as leader, and make it step down if it can be reached."""
        self.context.stop_using_leader(request.group, request.name, request.term)
        instance = self.context.placement.instance_named(request.group, request.name)
        answer(envelope, await self._orders.step_down(instance, request.term))

    async def _watch_synchronous_groups(self) -> None:
        """Watch synchronous groups before their first statement: their rosters have to be kept."""
        while True:
            for group, settings in self.context.table.groups.items():
                if settings.synchronous_replicas and self.context.placement.members(group):
                    self._watch(group)
            await asyncio.sleep(SYNCHRONOUS_GROUPS_SECONDS)

    def _watch(self, group: GroupId) -> None:
        """Watch the group if this node serves it; other nodes observe it only indirectly."""
        if group not in self._watches and self.context.serves(group):
            self._watches[group] = FailoverWatch(self, group)
            self.spawn(self._watches[group].run())

    @staticmethod
    def now() -> float:
        """Return the monotonic clock (seconds)."""
        return asyncio.get_running_loop().time()
