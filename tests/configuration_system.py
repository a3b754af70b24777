"""A few nodes with transport, configuration and administration, on one stand-in platform."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from bramblebeam.core.configuration.messages import EditReply, EditRow
from bramblebeam.core.configuration.rows import RowKey
from bramblebeam.core.configuration.view import ConfigurationChanged, ConfigurationView
from bramblebeam.core.identity import Address, NodeId, NodeSpec, ZoneId
from bramblebeam.core.membership.view import Member, MembersChanged, MemberState, MembersView
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.lab.platform.server import PlatformServer
from bramblebeam.lab.platform.store import ObjectName
from bramblebeam.services.admin.service import AdminService
from bramblebeam.services.configuration.service import ConfigurationService
from bramblebeam.services.transport.service import TransportService
from bramblebeam.settings.model import NodeSettings

ZONE = ZoneId("zone-a")
WEIGHT = RowKey("weight", "quito-1")


class Subscriber(Service):
    """Keeps the last view published."""

    name = "subscriber"
    view: ConfigurationView | None = None

    async def start(self) -> None:
        self.kernel.subscribe(ConfigurationChanged, self.name)

    async def handle(self, envelope: Envelope) -> None:
        self.view = envelope.message.view


class Node:
    """A kernel with transport, administration and configuration only."""

    def __init__(self, name: str, url: str, tokens: tuple[dict, ...]) -> None:
        settings = NodeSettings.model_validate(
            {
                "node": name,
                "zone": ZONE,
                "region": "r",
                "platform": {"url": url, "timeout_ms": 500},
                "admin": {"tokens": tokens},
            }
        )
        self.kernel = Kernel()
        self.configuration = ConfigurationService(self.kernel, settings)
        self.subscriber = Subscriber(self.kernel)
        self.kernel.register(
            TransportService(self.kernel, settings),
            AdminService(self.kernel, settings),
            self.subscriber,
            self.configuration,
        )
        self.name = NodeId(name)

    async def admin_url(self) -> str:
        address = await self.kernel.call("admin", BoundAddressRequest())
        return f"http://{address.host}:{address.port}"

    @property
    def view(self) -> ConfigurationView:
        return self.subscriber.view or ConfigurationView()

    async def edit(self, key: RowKey, expected: int, spec: dict, change: str) -> EditReply:
        edit = EditRow(key, expected, json.dumps(spec), change, "operator")
        return await self.kernel.call("configuration", edit, timeout=20)


@asynccontextmanager
async def system(count: int, *tokens: dict) -> AsyncIterator[tuple[PlatformServer, list[Node]]]:
    server = PlatformServer()
    address = await server.start()
    server.store.create(ObjectName(*WEIGHT), weight(100), {})
    nodes = [
        Node(f"n{number}", f"http://127.0.0.1:{address.port}", tokens) for number in range(count)
    ]
    try:
        members = {}
        for node in nodes:
            await node.kernel.start()
            peer = await node.kernel.call("transport", BoundAddressRequest())
            spec = NodeSpec(node.name, ZONE, "r", peer, Address("", 0), Address("", 0))
            members[node.name] = Member(spec, 1, MemberState.ALIVE)
        view = MembersView(members, {ZONE: tuple(sorted(members))})
        for node in nodes:
            node.kernel.publish(MembersChanged(view))
        await until(lambda: all(node.configuration.relay.ready for node in nodes))
        yield server, nodes
    finally:
        for node in nodes:
            await node.kernel.stop()
        await server.stop()


async def until(condition: Callable[[], bool], seconds: float = 8.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - it waits for sockets
            await asyncio.sleep(0.02)


def weight(value: int) -> dict:
    return {"instance": "quito-1", "read_weight": value}
