"""Drives the membership state machine with datagrams, streams and the event loop's clock."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import Any, ClassVar

from bramblebeam.core.identity import Address, NodeSpec
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.membership import messages as wire_messages
from bramblebeam.core.membership.events import (
    DatagramReceived,
    LeaveFinished,
    LeaveStarted,
    Publish,
    SeedsHinted,
    SendDatagram,
)
from bramblebeam.core.membership.machine import DEFAULT_TIMING, MembershipMachine
from bramblebeam.core.membership.messages import MemberUpdate, Seed
from bramblebeam.core.membership.timing import MembershipTiming
from bramblebeam.core.membership.view import MembersChanged, MembersView
from bramblebeam.kernel import Kernel, MailboxFullError, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.kernel.service import answer
from bramblebeam.services.membership.changes import log_changes
from bramblebeam.services.membership.messages import LeaveRequest, MachineHint, MembersRequest
from bramblebeam.services.transport.messages import (
    PeerDatagram,
    PeerDelivery,
    PeerPost,
    PeerRoute,
)
from bramblebeam.services.transport.settings import PeerSettings

logger = logging.getLogger(__name__)

LEAVE_NOTICE_SECONDS = 0.5
"""How long a drain waits for peers to receive that this node is leaving."""
LEAVE_ANNOUNCEMENT_SECONDS = 0.05
"""How long a stop after a drain waits for the leave announcement to be sent."""
NO_ADDRESS = Address("", 0)

MESSAGE_TYPES: tuple[type, ...] = (
    wire_messages.Ping,
    wire_messages.Ack,
    wire_messages.IndirectPing,
    wire_messages.Gossip,
    wire_messages.JoinRequest,
    wire_messages.JoinReply,
    wire_messages.DigestRequest,
    wire_messages.DigestReply,
    wire_messages.SyncRequest,
    wire_messages.SyncOffer,
    wire_messages.SyncDelta,
)


class MembershipService(Service):
    """Maintains the member table of a node and publishes `MembersChanged`."""

    name: ClassVar[str] = "membership"

    def __init__(
        self,
        kernel: Kernel,
        settings: PeerSettings,
        timing: MembershipTiming = DEFAULT_TIMING,
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._timing = timing
        self._view = MembersView()
        self._machine: MembershipMachine | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._leaving = False

    async def start(self) -> None:
        """Get the addresses of the listening services and start joining."""
        await self.kernel.call("transport", PeerRoute(self.name, MESSAGE_TYPES))
        spec = await self._own_spec()
        known = [
            MemberUpdate(node, member.incarnation, member.state, member.spec)
            for node, member in self._view.members.items()
            if node != spec.node
        ]
        self._machine = MembershipMachine(
            spec,
            incarnation=time.time_ns() // 1_000_000,
            seeds=[Seed(seed.node, seed.address) for seed in self._settings.seeds],
            random=random.Random(),
            timing=self._timing,
            members=known,
            now=self._now(),
        )
        self._step(Wakeup())

    async def stop(self) -> None:
        """Cancel the timer; after a drain, announce to peers that the node has left."""
        if self._leaving:
            self._step(LeaveFinished())
            await asyncio.sleep(LEAVE_ANNOUNCEMENT_SECONDS)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._machine = None

    async def drain(self) -> None:
        """Announce to peers that this node is leaving, and wait for the updates to be sent."""
        self._leaving = True
        self._step(LeaveStarted())
        await asyncio.sleep(LEAVE_NOTICE_SECONDS)

    async def handle(self, envelope: Envelope) -> None:
        """Handle a peer's message or a request of the node's own services."""
        message = envelope.message
        if isinstance(message, PeerDelivery):
            self._handle_delivery(message)
        elif isinstance(message, MachineHint):
            self._handle_hint(message)
        elif isinstance(message, LeaveRequest):
            self.spawn(self._leave(envelope))
        elif isinstance(message, MembersRequest):
            answer(envelope, self._view)

    def _handle_delivery(self, delivery: PeerDelivery) -> None:
        if delivery.source is None:
            self._step(Received(delivery.sender, delivery.message))
        else:
            self._step(DatagramReceived(delivery.sender, delivery.source, delivery.message))

    def _handle_hint(self, hint: MachineHint) -> None:
        staying = [machine for machine in hint.machines if not machine.leaving]
        seeds = tuple(Seed(machine.node, machine.address) for machine in staying)
        self._step(SeedsHinted(seeds))

    async def _leave(self, envelope: Envelope) -> None:
        await self.drain()
        answer(envelope, None)

    def _step(self, event: Any) -> None:
        if self._machine is None:
            return
        for effect in self._machine.handle(event, self._now()):
            self._run_effect(effect)
        self._set_timer()

    def _run_effect(self, effect: Any) -> None:
        if isinstance(effect, SendDatagram):
            self._post_to_transport(PeerDatagram(effect.to, effect.message))
        elif isinstance(effect, Send):
            self._post_to_transport(PeerPost(effect.to, effect.message))
        elif isinstance(effect, Publish):
            self._publish(effect.view)

    def _post_to_transport(self, message: Any) -> None:
        try:
            self.kernel.post("transport", message)
        except MailboxFullError:
            return

    def _publish(self, view: MembersView) -> None:
        log_changes(self._view, view)
        self._view = view
        self.kernel.publish(MembersChanged(view))

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wakeup_at = self._machine.next_wakeup() if self._machine is not None else None
        if wakeup_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(wakeup_at, self._step, Wakeup())

    async def _own_spec(self) -> NodeSpec:
        return NodeSpec(
            node=self._settings.node,
            zone=self._settings.zone,
            region=self._settings.region,
            peer_address=await self._bound_address("transport"),
            client_address=await self._bound_address("edge"),
            admin_address=await self._bound_address("admin"),
        )

    async def _bound_address(self, service: str) -> Address:
        if not self.kernel.has(service):
            return NO_ADDRESS
        address: Address = await self.kernel.call(service, BoundAddressRequest(), timeout=5.0)
        return address

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
