"""Pool services of one zone's nodes, connected without sockets, that share one back end."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar

from bramblebeam.core.configuration.rows import GroupSpec, LimitSpec, MemberSpec, WeightSpec
from bramblebeam.core.configuration.view import ConfigurationChanged, ConfigurationView
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, ServiceId, ZoneId
from bramblebeam.core.membership.view import MembersChanged, MembersView
from bramblebeam.core.statement import (
    ExecuteReply,
    ExecuteRequest,
    RequestId,
    StatementKind,
    SubscribeRequest,
)
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer
from bramblebeam.services.pool.service import PoolService
from bramblebeam.services.transport.messages import PeerDelivery, PeerFailure, PeerRequest
from bramblebeam.settings.model import NodeSettings
from pool_backend import FakeBackend

ZONE, GROUP, INSTANCE = ZoneId("z1"), GroupId("parcels"), InstanceId("db")
TRACKING = ServiceId("tracking")


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(8.0):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class LoopTransport(Service):
    """Delivers requests between the kernels of one test."""

    name = "transport"

    def __init__(self, kernel: Kernel, node: NodeId, nodes: dict[NodeId, Kernel]) -> None:
        super().__init__(kernel)
        self.node, self.nodes = node, nodes

    async def handle(self, envelope: Envelope) -> None:
        message = envelope.message
        if not isinstance(message, PeerRequest):
            answer(envelope, None)
            return
        peer = self.nodes.get(message.to)
        if peer is None:
            answer(envelope, PeerFailure(sent=False, detail="down"))
            return
        self.spawn(self._deliver(peer, message, envelope))

    async def _deliver(self, peer: Kernel, message: PeerRequest, envelope: Envelope) -> None:
        try:
            delivery = PeerDelivery(self.node, message.message)
            answer(envelope, await peer.call("pool", delivery, message.timeout))
        except TimeoutError:
            answer(envelope, PeerFailure(sent=True, detail="no answer"))


class Harness:
    """Nodes of one zone that share one back end."""

    drain_seconds = 10.0

    def __init__(self, port: int) -> None:
        self.port = port
        self.nodes: dict[NodeId, Kernel] = {}
        self.slots = 2
        self.sequence = itertools.count()

    def view(self, drain: bool = False, burst: int = 0, queue: int = 10) -> ConfigurationView:
        member = MemberSpec(instance=INSTANCE, zone=ZONE, host="127.0.0.1", port=self.port)
        limit = LimitSpec(service=TRACKING, group=GROUP, slots=self.slots, burst=burst, queue=queue)
        return ConfigurationView(
            1,
            {GROUP: GroupSpec(members=(member,))},
            {(TRACKING, GROUP): limit},
            {INSTANCE: WeightSpec(instance=INSTANCE, drain=drain)},
        )

    async def add(self, name: str) -> Kernel:
        node = NodeId(name)
        kernel = Kernel()
        settings = NodeSettings(node=node, zone=ZONE, region="r", drain_seconds=self.drain_seconds)
        kernel.register(LoopTransport(kernel, node, self.nodes), PoolService(kernel, settings))
        self.nodes[node] = kernel
        await kernel.start()
        kernel.publish(ConfigurationChanged(self.view()))
        return kernel

    def set_owners(self, *names: str, seen_by: str | None = None) -> None:
        owners = tuple(NodeId(name) for name in sorted(names))
        for node, kernel in self.nodes.items():
            if seen_by in (None, node):
                kernel.publish(MembersChanged(MembersView(owners={ZONE: owners})))

    def request(self, sql: str, kind: StatementKind, **fields: Any) -> ExecuteRequest:
        fields.setdefault("request", RequestId("s", next(self.sequence)))
        fields.setdefault("wait_ms", 1_000)
        fields.setdefault("deadline_ms", 5_000)
        return ExecuteRequest(
            instance=INSTANCE, service=TRACKING, kind=kind, sql=sql, database=GROUP, **fields
        )

    async def run(self, node: str, sql: str, kind: StatementKind, **fields: Any) -> ExecuteReply:
        request = self.request(sql, kind, **fields)
        return await self.call(node, request)

    async def call(self, node: str, message: Any) -> Any:
        return await self.nodes[NodeId(node)].call("pool", message, 10.0)

    async def read(self, node: str, sql: str = "SELECT 1", **fields: Any) -> ExecuteReply:
        return await self.run(node, sql, StatementKind.READ, **fields)

    async def write(self, node: str, sql: str = "INSERT 1", **fields: Any) -> ExecuteReply:
        return await self.run(node, sql, StatementKind.WRITE, **fields)

    async def wait_until_owned_by(self, node: str) -> None:
        await wait_for(lambda: self.owns(node))

    async def owns(self, node: str) -> bool:
        reply = await self.call(node, SubscribeRequest(INSTANCE))
        return bool(reply.owned)

    async def serves(self, node: str) -> bool:
        return (await self.read(node, "SELECT 1")).refusal is None


class BackendHarness(Harness):
    """Nodes that share one fake back end."""

    backend: FakeBackend


AnyHarness = TypeVar("AnyHarness", bound=BackendHarness)


@asynccontextmanager
async def running_harness(
    backend: FakeBackend, harness_class: type[AnyHarness]
) -> AsyncIterator[AnyHarness]:
    """Run a back end owned by node `a`; stop every node and the back end at the end."""
    address = await backend.start()
    harness = harness_class(address.port)
    harness.backend = backend
    await harness.add("a")
    harness.set_owners("a")
    await harness.wait_until_owned_by("a")
    yield harness
    for kernel in harness.nodes.values():
        await kernel.stop()
    await backend.server.stop()
