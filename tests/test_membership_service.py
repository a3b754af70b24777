"""Membership over loopback sockets: a join through a seed, a node failure, a planned leave."""

import asyncio
from collections.abc import Callable
from typing import ClassVar

from bramblebeam.core.identity import Address, NodeId, ZoneId
from bramblebeam.core.membership.view import MembersChanged, MemberState, MembersView
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.services.membership.service import MembershipService
from bramblebeam.services.transport.service import TransportService
from bramblebeam.settings.model import NodeSettings, SeedSettings


class Watcher(Service):
    """Stores the latest view and notifies the tests that wait for one."""

    name: ClassVar[str] = "watcher"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.view = MembersView()
        self.changed = asyncio.Condition()

    async def start(self) -> None:
        self.kernel.subscribe(MembersChanged, self.name)

    async def handle(self, envelope: Envelope) -> None:
        async with self.changed:
            self.view = envelope.message.view
            self.changed.notify_all()

    async def until(self, wanted: Callable[[MembersView], bool]) -> None:
        async with self.changed:
            await asyncio.wait_for(self.changed.wait_for(lambda: wanted(self.view)), 9.0)


class Node:
    """A node with transport and membership only."""

    def __init__(self, name: str, seeds: tuple[SeedSettings, ...]) -> None:
        settings = NodeSettings(node=NodeId(name), zone=ZoneId("z"), region="r", seeds=seeds)
        self.kernel = Kernel()
        self.watcher = Watcher(self.kernel)
        self.kernel.register(
            TransportService(self.kernel, settings),
            self.watcher,
            MembershipService(self.kernel, settings),
        )

    async def start(self) -> Address:
        await self.kernel.start()
        address: Address = await self.kernel.call("transport", BoundAddressRequest())
        return address


def owners(*names: str) -> Callable[[MembersView], bool]:
    return lambda view: view.owners.get(ZoneId("z"), ()) == tuple(sorted(names))


def state_of(name: str, state: MemberState | None) -> Callable[[MembersView], bool]:
    def found(view: MembersView) -> bool:
        member = view.members.get(NodeId(name))
        return member is not None and member.state is state

    return found


async def test_join_death_and_leave() -> None:
    first = Node("n1", ())
    address = await first.start()
    seed = SeedSettings(node=NodeId("n1"), zone=ZoneId("z"), address=address)
    others = [Node(f"n{n}", (seed,)) for n in range(2, 6)]
    nodes = [first, *others]
    try:
        for node in others:
            await node.start()
        for node in nodes:
            await node.watcher.until(owners("n1", "n2", "n3", "n4", "n5"))
        await others[0].kernel.stop()
        for node in (first, *others[1:]):
            await node.watcher.until(state_of("n2", MemberState.DEAD))
        await others[1].kernel.drain()
        for node in (first, *others[2:]):
            await node.watcher.until(state_of("n3", MemberState.LEAVING))
            await node.watcher.until(owners("n1", "n4", "n5"))
        await others[1].kernel.stop()
        for node in (first, *others[2:]):
            await node.watcher.until(state_of("n3", MemberState.DEAD))
    finally:
        for node in nodes:
            await node.kernel.stop()
