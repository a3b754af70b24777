"""The simulated network: latency by zone, one-way cuts, message loss and refused connections."""

from __future__ import annotations

import asyncio
import contextvars
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from bramblebeam.lab.scenario import Topology
from bramblebeam.lab.simulator.hosts import CURRENT_HOST, Host
from bramblebeam.lab.simulator.loop import VirtualLoop
from bramblebeam.lab.simulator.transports import (
    DatagramSocket,
    Endpoint,
    Pipe,
    Server,
    SocketInfo,
)

CLIENT_ZONE = "callers"
PLATFORM_ZONE = "platform"
LOOPBACK_SECONDS = 0.00002
RETRANSMISSION_SECONDS = 0.2
FIRST_PORT = 40_000
MILLISECONDS = 1_000

SocketAddress = tuple[str, int]

_NO_HOST_CONTEXT = contextvars.Context()


class Network:
    """All hosts, listeners and sockets, and the network faults in effect."""

    def __init__(self, loop: VirtualLoop, topology: Topology, random: Random) -> None:
        self.loop = loop
        self.random = random
        self.loss = 0.0
        self.hosts: dict[str, Host] = {}
        """Current incarnation of each host, by address."""
        self.databases: set[str] = set()
        """Addresses of database servers, which take longer to connect to."""
        self._topology = topology
        self._latency = topology.latency
        self._cuts: Counter[tuple[str, str]] = Counter()
        self._listeners: dict[SocketAddress, tuple[Server, Callable[[], Any], Host]] = {}
        self._datagrams: dict[SocketAddress, DatagramSocket] = {}
        self._endpoints: dict[Host, list[Endpoint]] = {}
        self._stalled: dict[Pipe, None] = {}
        self._last_port = FIRST_PORT
        self._cut_healed = asyncio.Event()

    # Faults

    def cut(self, sources: Iterable[str], targets: Iterable[str]) -> Callable[[], None]:
        """Block all messages from `sources` to `targets`; return the function that ends the cut."""
        pairs = [(one, other) for one in sources for other in targets if one != other]
        self._cuts.update(pairs)

        def heal() -> None:
            self._cuts.subtract(pairs)
            self._flush_stalled()

        return heal

    def cut_off(self, addresses: Iterable[str]) -> Callable[[], None]:
        """Partition `addresses` from all other hosts; return the function that ends it."""
        inside = set(addresses)
        outside = {address for address in self.hosts if address not in inside}
        heals = [self.cut(inside, outside), self.cut(outside, inside)]

        def heal() -> None:
            for heal_cut in heals:
                heal_cut()

        return heal

    def is_cut(self, source: str, target: str) -> bool:
        """Whether messages from `source` to `target` are currently blocked."""
        return self._cuts[source, target] > 0

    def kill(self, host: Host) -> None:
        """Kill a host: its code no longer runs and its connections are reset."""
        host.alive = False
        host.deferred.clear()
        self._listeners = {at: kept for at, kept in self._listeners.items() if kept[2] is not host}
        self._datagrams = {
            at: kept for at, kept in self._datagrams.items() if kept.host is not host
        }
        for endpoint in self._endpoints.pop(host, []):
            endpoint.host_killed()

    def _flush_stalled(self) -> None:
        stalled, self._stalled = self._stalled, {}
        for pipe in stalled:
            pipe.resume()
        self._cut_healed.set()
        self._cut_healed = asyncio.Event()

    # Latency and loss

    def delay(self, source: Host, target: Host) -> float:
        """Draw the latency of one message (seconds)."""
        return self._base_delay(source, target) * self.random.uniform(1.0, 1.2)

    def _base_delay(self, source: Host, target: Host) -> float:
        latency = self._latency
        if source.address == target.address:
            return LOOPBACK_SECONDS
        if CLIENT_ZONE in (source.zone, target.zone):
            return latency.client_ms / MILLISECONDS
        if source.zone == target.zone:
            return latency.local_ms / MILLISECONDS
        if PLATFORM_ZONE in (source.zone, target.zone):
            return latency.zone_ms / MILLISECONDS
        region_of = self._topology.region_of
        near = region_of(source.zone) == region_of(target.zone)
        return (latency.zone_ms if near else latency.region_ms) / MILLISECONDS

    def draw_loss(self) -> bool:
        """Draw whether one message is lost."""
        return self.loss > 0 and self.random.random() < self.loss

    def register_stalled(self, pipe: Pipe) -> None:
        """Register a stream that is blocked by a cut; it is retried when a cut heals."""
        self._stalled[pipe] = None

    # Operations of the event loop

    def listen(
        self, factory: Callable[[], Any], host: str | None = None, port: int = 0, **options: Any
    ) -> Server:
        """Listen for streams. Raises OSError if the address is in use."""
        owner = _current_host()
        address = (host or owner.address, port or self._next_port())
        if address in self._listeners:
            raise OSError(98, f"{address} is in use")
        server = Server(address, lambda: self._stop_listening(address))
        self._listeners[address] = (server, factory, owner)
        return server

    def _stop_listening(self, address: SocketAddress) -> None:
        self._listeners.pop(address, None)

    async def connect(
        self,
        factory: Callable[[], Any],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: SocketInfo | None = None,
        **options: Any,
    ) -> tuple[Endpoint, Any]:
        """Open a stream. Raises ConnectionRefusedError; does not return while a cut lasts."""
        if sock is not None:
            host, port = sock.address
        assert host is not None and port is not None
        source = _current_host()
        target = (host, port)
        listener = await self._reach(source, target)
        protocol = factory()
        here = (source.address, self._next_port())
        near = Endpoint(self, source, listener[2], here, target)
        accepted = Endpoint(self, listener[2], source, target, here)
        near.connect_to(accepted)
        for endpoint in (near, accepted):
            self._endpoints.setdefault(endpoint.host, []).append(endpoint)
        accepted.accept(listener[1])
        near.start(protocol)
        return near, protocol

    async def _reach(
        self, source: Host, target: SocketAddress
    ) -> tuple[Server, Callable[[], Any], Host]:
        """Wait for the duration of the handshake; return the listener."""
        host = self._host_at(target[0])
        delay = self.delay(source, host) + self.delay(host, source)
        if target[0] in self.databases:
            delay += self._latency.connect_ms / MILLISECONDS
        await asyncio.sleep(delay)
        while self.is_cut(source.address, target[0]) or self.is_cut(target[0], source.address):
            await self._cut_healed.wait()
            await asyncio.sleep(RETRANSMISSION_SECONDS)
        listener = self._listeners.get(target)
        if listener is None:
            raise ConnectionRefusedError(111, f"{target} refused")
        return listener

    def _host_at(self, address: str) -> Host:
        host = self.hosts.get(address)
        if host is None:
            raise OSError(113, f"no route to {address}")
        return host

    def open_datagrams(
        self, factory: Callable[[], Any], local_addr: SocketAddress | None = None, **options: Any
    ) -> tuple[DatagramSocket, Any]:
        """Open a datagram socket. Raises OSError if the address is in use."""
        owner = _current_host()
        host, port = local_addr or (owner.address, 0)
        address = (host, port or self._next_port())
        if address in self._datagrams:
            raise OSError(98, f"{address} is in use")
        protocol = factory()
        socket = DatagramSocket(self, owner, address, protocol)
        self._datagrams[address] = socket
        self.loop.call_soon(protocol.connection_made, socket)
        return socket, protocol

    def send_datagram(self, source: DatagramSocket, data: bytes, target: SocketAddress) -> None:
        """Send a datagram, which may be delayed, duplicated, reordered or lost."""
        host = self.hosts.get(target[0])
        if host is None or self.draw_loss():
            return
        copies = 2 if self.loss and self.random.random() < self.loss else 1
        for _ in range(copies):
            delay = self.delay(source.host, host)
            if self.loss:
                delay *= self.random.uniform(1.0, 4.0)
            self.call_after(delay, self._deliver_datagram, source, data, target)

    def _deliver_datagram(self, source: DatagramSocket, data: bytes, target: SocketAddress) -> None:
        socket = self._datagrams.get(target)
        if socket is None or self.is_cut(source.host.address, target[0]):
            return
        context = socket.host.context.copy()
        receive = socket.protocol.datagram_received
        self.loop.call_soon(receive, data, source.address, context=context)

    def close_datagrams(self, socket: DatagramSocket) -> None:
        """Unregister a datagram socket."""
        if self._datagrams.get(socket.address) is socket:
            del self._datagrams[socket.address]

    def unregister_endpoint(self, endpoint: Endpoint) -> None:
        """Unregister a closed endpoint."""
        endpoints = self._endpoints.get(endpoint.host)
        if endpoints is not None and endpoint in endpoints:
            endpoints.remove(endpoint)

    def call_after(self, delay: float, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call after `delay` seconds, outside any host's context."""
        _NO_HOST_CONTEXT.run(self.loop.call_later, delay, call, *arguments)

    def _next_port(self) -> int:
        self._last_port += 1
        return self._last_port


def _current_host() -> Host:
    host = CURRENT_HOST.get()
    if host is None:
        raise RuntimeError("the simulated network was used outside a host's context")
    return host
