"""Asyncio transports for streams and datagram sockets of the simulated network."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

from bramblebeam.lab.simulator.hosts import Host

if TYPE_CHECKING:
    from bramblebeam.lab.simulator.network import Network

RETRANSMISSION_SECONDS = 0.2


class Signal(Enum):
    """Control items of a stream: end of stream and connection reset."""

    END = 1
    RESET = 2


Item = bytes | Signal


class SocketInfo:
    """The socket interface that libraries use on a transport."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = 0

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address

    def getsockname(self) -> tuple[str, int]:
        """Return the local address."""
        return self.address

    def setsockopt(self, *options: Any) -> None:
        """Accept and ignore any option."""

    def close(self) -> None:
        """Do nothing: the transport is closed separately."""


class Server:
    """A listening socket, returned by `create_server`."""

    def __init__(self, address: tuple[str, int], close: Callable[[], None]) -> None:
        self.sockets = (SocketInfo(address),)
        self._close = close

    def close(self) -> None:
        """Stop accepting streams."""
        self._close()

    def is_serving(self) -> bool:
        """Return True."""
        return True

    async def wait_closed(self) -> None:
        """Return immediately: nothing has to be waited for."""


class _Sent(NamedTuple):
    item: Item


class Pipe:
    """One direction of a stream: reliable and in order, with the network's latency."""

    def __init__(self, network: Network, source: Endpoint, target: Endpoint) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._last_arrival = 0.0
        self._stalled: list[Item] = []

    def send(self, item: Item) -> None:
        """Send bytes, the end of the stream or a reset; a lost message arrives late instead."""
        network = self._network
        arrival = network.loop.now + network.delay(self._source.host, self._target.host)
        if network.draw_loss():
            arrival += RETRANSMISSION_SECONDS
        self._last_arrival = max(arrival, self._last_arrival)
        network.call_after(self._last_arrival - network.loop.now, self._arrive, item)

    def _arrive(self, item: Item) -> None:
        network = self._network
        cut = network.is_cut(self._source.host.address, self._target.host.address)
        if cut or self._stalled:
            self._stalled.append(item)
            network.register_stalled(self)
        else:
            self._deliver(item)

    def resume(self) -> None:
        """Deliver stalled items after a cut has healed, at the sender's next retransmission."""
        delay = self._network.delay(self._source.host, self._target.host)
        self._network.call_after(RETRANSMISSION_SECONDS + delay, self._flush)

    def _flush(self) -> None:
        network = self._network
        if network.is_cut(self._source.host.address, self._target.host.address):
            network.register_stalled(self)
            return
        stalled, self._stalled = self._stalled, []
        for item in stalled:
            self._deliver(item)

    def _deliver(self, item: Item) -> None:
        target = self._target
        if not target.host.alive:
            if item is not Signal.RESET:
                target.reset_peer()
            return
        context = target.host.context.copy()
        self._network.loop.call_soon(target.receive, item, context=context)


class Endpoint(asyncio.Transport):
    """One endpoint of a stream."""

    def __init__(
        self,
        network: Network,
        host: Host,
        peer: Host,
        address: tuple[str, int],
        peer_address: tuple[str, int],
    ) -> None:
        super().__init__({"peername": peer_address, "sockname": address})
        self._extra["socket"] = SocketInfo(address)  # type: ignore[attr-defined]
        self.host = host
        self._network = network
        self._peer_host = peer
        self._protocol: Any = None
        self._out: Pipe | None = None
        self._closed = False
        self._paused = False
        self._buffered: list[Item] = []

    def connect_to(self, other: Endpoint) -> None:
        """Connect two endpoints in both directions."""
        self._out = Pipe(self._network, self, other)
        other._out = Pipe(self._network, other, self)

    def start(self, protocol: Any) -> None:
        """Attach the protocol and notify it of the connection."""
        self._protocol = protocol
        protocol.connection_made(self)

    def accept(self, factory: Callable[[], Any]) -> None:
        """Accept the stream at the listening endpoint, as soon as its process runs."""
        context = self.host.context.copy()
        self._network.loop.call_soon(lambda: self.start(factory()), context=context)

    def receive(self, item: Item) -> None:
        """Handle bytes, the end of the stream or a reset from the peer."""
        if self._closed:
            if item is not Signal.RESET:
                self.reset_peer()
        elif self._paused and item is not Signal.RESET:
            self._buffered.append(item)
        elif item is Signal.RESET:
            self._lost(ConnectionResetError(104, "connection reset by peer"))
        elif item is Signal.END:
            if not self._protocol.eof_received():
                self.close()
        elif isinstance(item, bytes):
            self._feed(item)

    def _feed(self, data: bytes) -> None:
        protocol = self._protocol
        if not isinstance(protocol, asyncio.BufferedProtocol):
            protocol.data_received(data)
            return
        while data:
            buffer = memoryview(protocol.get_buffer(len(data))).cast("B")
            taken = min(len(buffer), len(data))
            buffer[:taken] = data[:taken]
            protocol.buffer_updated(taken)
            data = data[taken:]

    def reset_peer(self) -> None:
        """Send a reset to the peer."""
        if self._out is not None:
            self._out.send(Signal.RESET)

    def host_killed(self) -> None:
        """Close because the host was killed; its operating system resets the stream."""
        if not self._closed:
            self._closed = True
            self.reset_peer()

    def _lost(self, error: Exception | None) -> None:
        if self._closed:
            return
        self._closed = True
        self._network.unregister_endpoint(self)
        context = self.host.context.copy()
        self._network.loop.call_soon(self._protocol.connection_lost, error, context=context)

    # asyncio.Transport

    def write(self, data: Any) -> None:
        """Send data, unless the endpoint is closed."""
        if not self._closed and self._out is not None and data:
            self._out.send(bytes(data))

    def write_eof(self) -> None:
        """Send the end of the stream."""
        if not self._closed and self._out is not None:
            self._out.send(Signal.END)

    def can_write_eof(self) -> bool:
        """Return True."""
        return True

    def close(self) -> None:
        """Close; data written before is still delivered."""
        if not self._closed and self._out is not None:
            self._out.send(Signal.END)
            self._lost(None)

    def abort(self) -> None:
        """Reset the stream and close."""
        if not self._closed:
            self.reset_peer()
            self._lost(None)

    def is_closing(self) -> bool:
        """Whether this endpoint is closed."""
        return self._closed

    def is_reading(self) -> bool:
        """Whether received data is passed to the protocol."""
        return not self._paused

    def pause_reading(self) -> None:
        """Buffer received data."""
        self._paused = True

    def resume_reading(self) -> None:
        """Pass buffered data to the protocol."""
        if self._paused:
            self._paused = False
            buffered, self._buffered = self._buffered, []
            for item in buffered:
                context = self.host.context.copy()
                self._network.loop.call_soon(self.receive, item, context=context)

    def get_write_buffer_size(self) -> int:
        """Return 0: the network accepts all data at once."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Accept and ignore any limits."""

    def set_protocol(self, protocol: Any) -> None:
        """Replace the protocol."""
        self._protocol = protocol

    def get_protocol(self) -> Any:
        """Return the protocol."""
        return self._protocol


class DatagramSocket(asyncio.DatagramTransport):
    """Transport of a simulated datagram socket."""

    def __init__(
        self, network: Network, host: Host, address: tuple[str, int], protocol: Any
    ) -> None:
        super().__init__({"sockname": address, "socket": SocketInfo(address)})
        self.host = host
        self.address = address
        self.protocol = protocol
        self._network = network
        self._closed = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send one datagram."""
        if not self._closed and addr is not None:
            self._network.send_datagram(self, bytes(data), (addr[0], addr[1]))

    def close(self) -> None:
        """Close the socket and release its address."""
        if not self._closed:
            self._closed = True
            self._network.close_datagrams(self)

    def abort(self) -> None:
        """Close the socket."""
        self.close()

    def is_closing(self) -> bool:
        """Whether the socket is closed."""
        return self._closed
