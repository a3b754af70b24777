"""The node's metrics in the Prometheus text format.

Gauges are read from the other services at each scrape; counters and histograms that services update
themselves are in `bramblebeam.metrics`.
"""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Gauge, Metric, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from bramblebeam import metrics
from bramblebeam.core.administration.messages import PoolStatus, PoolStatusRequest
from bramblebeam.core.membership.view import MemberState
from bramblebeam.core.role import Role
from bramblebeam.kernel import Kernel
from bramblebeam.services.admin.peers import ask_service
from bramblebeam.services.admin.traffic import TrafficCounters
from bramblebeam.services.admin.views import Views
from bramblebeam.services.configuration.messages import (
    ConfigurationStatus,
    ConfigurationStatusQuery,
)
from bramblebeam.services.edge.messages import EdgeStatus, EdgeStatusRequest
from bramblebeam.services.transport.messages import TrafficRequest
from bramblebeam.services.transport.traffic import PeerTraffic
from bramblebeam.settings.model import NodeSettings


class EdgeCounters(Collector):
    """Exposes the counters that the edge keeps."""

    def __init__(self) -> None:
        self.latest: EdgeStatus | None = None

    def collect(self) -> Iterator[Metric]:
        """Yield the counters as last read."""
        if self.latest is None:
            return
        yield CounterMetricFamily(
            "bramblebeam_statements", "Statements of callers.", value=self.latest.statements
        )
        refusals = CounterMetricFamily(
            "bramblebeam_refusals", "Statements and connections refused.", labels=["reason"]
        )
        for reason, count in sorted(self.latest.refusals.items()):
            refusals.add_metric([reason], count)
        yield refusals


class NodeMetrics:
    """The gauges of one node; label values are states, zones and the node's own back ends."""

    def __init__(self, kernel: Kernel, settings: NodeSettings, views: Views) -> None:
        self._kernel = kernel
        self._settings = settings
        self._views = views
        self._registry = CollectorRegistry()
        self._ready = self._gauge("ready", "1 if the node may take traffic.")
        self._complete = self._gauge(
            "configuration_version", "Store version that is in force at least."
        )
        self._watching = self._gauge("store_watching", "1 if the node watches the store.")
        self._rows = self._gauge("configuration_rows", "Rows in force.")
        self._members = self._gauge("members", "Nodes known, by state.", "state")
        self._connections = self._gauge("client_connections", "Connections of callers.")
        self._in_flight = self._gauge("statements_in_flight", "Statements not answered yet.")
        self._counters = EdgeCounters()
        self._registry.register(self._counters)
        self._traffic = TrafficCounters()
        self._registry.register(self._traffic)
        self._slots = self._gauge("slots", "Slots of an owned back end.", "instance")
        self._slots_used = self._gauge("slots_used", "Slots in use.", "instance")
        self._queued = self._gauge("queued_statements", "Statements that wait.", "instance")
        self._lag = self._gauge(
            "instance_lag_seconds", "Lag of a back end that this node owns.", "instance"
        )
        self._primary = self._gauge(
            "instance_primary", "1 if the owned back end is a primary.", "instance"
        )
        self._reachable = self._gauge(
            "instance_reachable", "1 if the owned back end answers.", "instance"
        )

    async def render(self) -> bytes:
        """Read the gauges and return everything as text."""
        await self._read_services()
        self._read_views()
        return generate_latest(self._registry) + generate_latest(metrics.REGISTRY)

    async def _read_services(self) -> None:
        rows = await ask_service(
            self._kernel, "configuration", ConfigurationStatusQuery(), ConfigurationStatus
        )
        if rows is not None:
            self._ready.set(rows.ready)
            self._complete.set(rows.complete)
            self._watching.set(rows.watching)
            self._rows.set(rows.rows)
        edge = await ask_service(self._kernel, "edge", EdgeStatusRequest(), EdgeStatus)
        if edge is not None:
            self._connections.set(edge.connections)
            self._in_flight.set(edge.in_flight)
            self._counters.latest = edge
        self._traffic.latest = await ask_service(
            self._kernel, "transport", TrafficRequest(), PeerTraffic
        )
        await self._read_pools()

    async def _read_pools(self) -> None:
        for gauge in (self._slots, self._slots_used, self._queued):
            gauge.clear()
        found = await ask_service(self._kernel, "pool", PoolStatusRequest(), PoolStatus)
        for pool in found.pools if found else ():
            self._slots.labels(pool.instance).set(pool.limit)
            self._slots_used.labels(pool.instance).set(pool.used)
            self._queued.labels(pool.instance).set(pool.queued)

    def _read_views(self) -> None:
        states = [member.state for member in self._views.members.members.values()]
        for state in MemberState:
            self._members.labels(state.name.lower()).set(states.count(state))
        for gauge in (self._lag, self._primary, self._reachable):
            gauge.clear()
        for status in self._views.owned_statuses(self._settings.node).values():
            self._lag.labels(status.instance).set(status.lag_ms / 1000)
            self._primary.labels(status.instance).set(status.role is Role.PRIMARY)
            self._reachable.labels(status.instance).set(status.reachable)

    def _gauge(self, name: str, documentation: str, *labels: str) -> Gauge:
        return Gauge(f"bramblebeam_{name}", documentation, labels, registry=self._registry)
