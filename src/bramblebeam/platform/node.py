"""Assembles a node from the product's services and this package's adapters."""

from __future__ import annotations

from dataclasses import dataclass

from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.identity import Address
from bramblebeam.core.membership.timing import MembershipTiming
from bramblebeam.kernel import Kernel
from bramblebeam.platform.caller_listener import CallerListener
from bramblebeam.platform.database_connection import LineDatabaseConnector
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.http import HttpAnswer, HttpServer
from bramblebeam.platform.leases import ObjectLeaseStore
from bramblebeam.platform.member_list import StoreMemberList
from bramblebeam.platform.promotions import PromotionClient
from bramblebeam.platform.rosters import ObjectRosterStore
from bramblebeam.platform.settings import PlatformNodeSettings
from bramblebeam.platform.sources import database_source, route_source
from bramblebeam.platform.store import StoreClient
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.failover.service import FailoverService
from bramblebeam.services.feed.service import FeedService
from bramblebeam.services.gateway.queue_view import queues_as_json
from bramblebeam.services.gateway.service import GatewayService
from bramblebeam.services.gateway.tenant_view import tenants_as_json
from bramblebeam.services.membership.service import MembershipService
from bramblebeam.services.transport.service import TransportService
from bramblebeam.wire.codec import Codec
from bramblebeam.wire.gateway_registry import GATEWAY_NODE_MESSAGES

READINESS_PATH = "/bramblebeam/readiness"
METRICS_PATH = "/metrics"
QUEUES_PATH = "/queues"
TENANTS_PATH = "/tenants"
FAST_JOIN_TIMING = MembershipTiming(join_period=0.25, dead_probe_period=1.5, fast_sync_seconds=2.5)
"""Faster than the default: a node that serves callers must know the others soon after its start and
after a network partition. In virtual time, 198 nodes that start within 0.6 s know each other
after 1.7 s (p50), previously over 8 s (docs/design/0015-hundreds-of-machines.md)."""
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


@dataclass(slots=True)
class PlatformNode:
    """One node with its HTTP servers and its listener."""

    kernel: Kernel
    gateway: GatewayService
    store_calls: StoreCallCounter
    readiness: HttpServer
    metrics: HttpServer | None
    listener: CallerListener

    @property
    def callers(self) -> Address:
        """Return the address at which callers are accepted; the port is known after the start."""
        return self.listener.address

    async def start(self) -> None:
        """Start every service, then the readiness probe and the metrics. Raises OSError."""
        await self.kernel.start()
        await self.readiness.start()
        if self.metrics is not None:
            await self.metrics.start()

    async def stop(self) -> None:
        """Stop without a drain."""
        self.readiness.close()
        await self.kernel.stop()


def build_node(settings: PlatformNodeSettings) -> PlatformNode:
    """Return a node whose services are registered but not started."""
    kernel = Kernel()
    calls = StoreCallCounter()
    eras = StoreEras()
    codec = Codec(GATEWAY_NODE_MESSAGES)
    compresses = settings.overload.enabled
    kernel.register(TransportService(kernel, settings, codec, compresses))
    location = NodeLocation(settings.node, settings.zone, settings.region)
    gateway = GatewayService(
        kernel, location, LineDatabaseConnector(), settings.grace_period, settings.overload
    )
    expects_others = any(seed.address != settings.peer for seed in settings.seeds)
    gateway.context.expects_others = expects_others
    listener = CallerListener(gateway, settings.callers)
    gateway.listener = listener
    kernel.register(gateway, MembershipService(kernel, settings, FAST_JOIN_TIMING))
    if settings.store is not None:
        routes = route_source(StoreClient(settings.store, calls, eras))
        databases = database_source(StoreClient(settings.store, calls, eras))
        feed = FeedService(kernel, location, routes, databases, settings.drain, expects_others)
        gateway.context.metrics.store_state = feed.store_state
        gateway.context.placement.list_confirmed_at = feed.databases_confirmed_at
        kernel.register(feed)
    if settings.store is not None and settings.promotions is not None:
        kernel.register(
            FailoverService(
                kernel,
                settings.node,
                gateway.context,
                ObjectLeaseStore(settings.store, calls, eras),
                ObjectRosterStore(settings.store, calls, eras),
                StoreMemberList(settings.store, calls, eras),
                PromotionClient(settings.promotions),
                settings.fence_checked,
            )
        )
    readiness = HttpServer(
        settings.readiness, lambda method, path: _handle_readiness(gateway, path)
    )
    metrics = None
    if settings.metrics is not None:
        metrics = HttpServer(settings.metrics, lambda method, path: _handle_metrics(gateway, path))
    return PlatformNode(kernel, gateway, calls, readiness, metrics, listener)


async def _handle_readiness(gateway: GatewayService, path: str) -> HttpAnswer:
    if path != READINESS_PATH:
        return HttpAnswer(_NOT_FOUND, b"")
    return HttpAnswer(_OK if gateway.ready else _UNAVAILABLE, b"")


async def _handle_metrics(gateway: GatewayService, path: str) -> HttpAnswer:
    if path == QUEUES_PATH:
        return HttpAnswer(_OK, queues_as_json(gateway.context.placement.pools.values()))
    if path == TENANTS_PATH:
        return HttpAnswer(_OK, tenants_as_json(gateway.context.limits))
    if path != METRICS_PATH:
        return HttpAnswer(_NOT_FOUND, b"")
    return HttpAnswer(_OK, gateway.context.metrics.text())
