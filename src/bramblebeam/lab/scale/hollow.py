"""A hollow node: a node's real transport, membership and configuration, without any load."""

import time
from typing import ClassVar

from bramblebeam.core.configuration.view import ConfigurationChanged
from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.membership.view import MembersChanged, MemberState, MembersView
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.services.configuration.service import ConfigurationService
from bramblebeam.services.membership.service import MembershipService
from bramblebeam.services.transport.messages import TrafficRequest
from bramblebeam.services.transport.service import TransportService
from bramblebeam.services.transport.traffic import PeerTraffic
from bramblebeam.settings.model import NodeSettings


class Recorder(Service):
    """Keeps the views and the wall-clock times (seconds) at which things were first seen."""

    name: ClassVar[str] = "recorder"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.members = MembersView()
        self.version = 0
        self.dead_at: dict[NodeId, float] = {}
        self.version_at: dict[int, float] = {}

    async def start(self) -> None:
        """Subscribe to the views."""
        self.kernel.subscribe(MembersChanged, self.name)
        self.kernel.subscribe(ConfigurationChanged, self.name)

    async def handle(self, envelope: Envelope) -> None:
        """Keep a view."""
        message = envelope.message
        if isinstance(message, MembersChanged):
            self._take_members(message.view)
        elif isinstance(message, ConfigurationChanged):
            self.version = message.view.version
            self.version_at.setdefault(self.version, time.time())

    def present(self) -> int:
        """Return how many members are not dead."""
        return sum(m.state is not MemberState.DEAD for m in self.members.members.values())

    def _take_members(self, view: MembersView) -> None:
        self.members = view
        for node, member in view.members.items():
            if member.state is MemberState.DEAD:
                self.dead_at.setdefault(node, time.time())
            elif node in self.dead_at:
                del self.dead_at[node]


class HollowNode:
    """One hollow node."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.kernel = Kernel()
        self.recorder = Recorder(self.kernel)
        self.kernel.register(
            TransportService(self.kernel, settings),
            self.recorder,
            ConfigurationService(self.kernel, settings),
            MembershipService(self.kernel, settings),
        )

    async def start(self) -> Address:
        """Start; return the peer address."""
        await self.kernel.start()
        address: Address = await self.kernel.call("transport", BoundAddressRequest())
        return address

    async def stop(self) -> None:
        """End without a word to the peers."""
        await self.kernel.stop()

    async def traffic(self) -> PeerTraffic:
        """Return the traffic with peers so far."""
        traffic: PeerTraffic = await self.kernel.call("transport", TrafficRequest())
        return traffic
