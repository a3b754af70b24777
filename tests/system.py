"""A complete system on one event loop, on loopback: platform, a group of three members, nodes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from bramblebeam.core.identity import Address, InstanceId, NodeId, ZoneId
from bramblebeam.kernel import Kernel
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.lab.database.member import DatabaseMember, MemberSettings
from bramblebeam.lab.load.client import Answer, CallerClient
from bramblebeam.lab.platform.server import PlatformServer
from bramblebeam.lab.platform.store import ObjectName
from bramblebeam.node import build_kernel
from bramblebeam.settings.model import (
    AdminSettings,
    AdminTokenSettings,
    NodeSettings,
    PlatformSettings,
    SeedSettings,
)

GROUP = "parcels"
SERVICE = "dispatch"
TOKEN = "operator-token"
ZONES = {"a1": "a", "b1": "b"}
MEMBER_ZONES = {"db-a": "a", "db-b": "b", "db-c": "a"}


@dataclass
class System:
    platform: PlatformServer
    members: dict[str, DatabaseMember]
    kernels: dict[str, Kernel] = field(default_factory=dict)
    clients: dict[str, tuple[str, int]] = field(default_factory=dict)
    admins: dict[str, tuple[str, int]] = field(default_factory=dict)

    async def caller(self, node: str, session: str = "") -> CallerClient:
        """Connect, waiting until the node accepts callers of the group."""
        client = CallerClient(session, SERVICE, GROUP, carries_token=True)
        outcome = await client.connect(node, self.clients[node])
        while outcome.outcome != "ok":
            await asyncio.sleep(0.05)
            outcome = await client.connect(node, self.clients[node])
        return client

    def primary(self) -> str:
        statuses = {name: member.status() for name, member in self.members.items()}
        return max(statuses, key=lambda name: (statuses[name].role, statuses[name].term))


async def until_ok(client: CallerClient, sql: str) -> Answer:
    """Run a statement; repeat it while it is refused as not run."""
    while True:
        answer = await client.execute(sql)
        if answer.outcome.outcome != "not_run":
            assert answer.ok, answer.outcome
            return answer
        await asyncio.sleep(0.05)


@asynccontextmanager
async def running_system(slots: int = 4) -> AsyncIterator[System]:
    async with AsyncExitStack() as stack:
        members = {}
        for name in MEMBER_ZONES:
            members[name] = DatabaseMember(MemberSettings(InstanceId(name)))
            await members[name].start()
            stack.push_async_callback(members[name].stop)
        platform = PlatformServer()
        _write_rows(platform, members, slots)
        url_address = await platform.start()
        stack.push_async_callback(platform.stop)
        system = System(platform, members)
        seeds: tuple[SeedSettings, ...] = ()
        for node, zone in ZONES.items():
            settings = _settings(node, zone, f"http://{url_address.host}:{url_address.port}", seeds)
            kernel = build_kernel(settings)
            await kernel.start()
            stack.push_async_callback(kernel.stop)
            peer: Address = await kernel.call("transport", BoundAddressRequest())
            seeds = (SeedSettings(node=NodeId(node), zone=ZoneId(zone), address=peer),)
            system.kernels[node] = kernel
            system.clients[node] = await kernel.call("edge", BoundAddressRequest())
            system.admins[node] = await kernel.call("admin", BoundAddressRequest())
        yield system


def _settings(node: str, zone: str, url: str, seeds: tuple[SeedSettings, ...]) -> NodeSettings:
    token = AdminTokenSettings(token=TOKEN, role="operate")
    return NodeSettings(
        node=NodeId(node),
        zone=ZoneId(zone),
        region="home",
        platform=PlatformSettings(url=url),
        admin=AdminSettings(tokens=(token,)),
        seeds=seeds,
        drain_seconds=3.0,
    )


def _write_rows(platform: PlatformServer, members: dict[str, DatabaseMember], slots: int) -> None:
    listed: list[dict[str, Any]] = []
    for name, member in members.items():
        host, port = member.address
        zone = MEMBER_ZONES[name]
        listed.append({"instance": name, "zone": zone, "host": host, "port": port})
    limit = {"service": SERVICE, "group": GROUP, "slots": slots}
    platform.store.create(ObjectName("group", GROUP), {"members": listed}, {})
    platform.store.create(ObjectName("limit", f"{SERVICE}.{GROUP}"), limit, {})
    for name in members:
        platform.store.create(ObjectName("weight", name), {"instance": name}, {})
