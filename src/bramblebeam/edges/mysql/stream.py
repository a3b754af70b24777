"""MySQL packets over a transport: framing, sequence numbers, backpressure, size limits."""

import asyncio
import socket
import struct
from collections.abc import Callable
from ssl import SSLContext

from bramblebeam.edges.mysql.results import CallerError

HEADER_BYTES = 4
MAX_FRAME_BYTES = 0xFFFFFF
"""Maximum payload of a frame. A frame of this size means that the packet continues in the next one;
such packets from clients are refused as too large."""

MAX_HANDSHAKE_PACKET_BYTES = 64 * 1024
MAX_COMMAND_PACKET_BYTES = MAX_FRAME_BYTES - 1
READ_AHEAD_BYTES = 256 * 1024
"""Reading pauses when the buffer holds a complete packet and more than this many bytes."""

PACKET_TOO_LARGE = 1153
PACKETS_OUT_OF_ORDER = 1156

WRITE_BUFFER_BYTES = 64 * 1024
SCRATCH_BYTES = 64 * 1024

KEEPALIVE_IDLE_SECONDS = 30
KEEPALIVE_INTERVAL_SECONDS = 10
KEEPALIVE_PROBES = 3

_header = struct.Struct("<I")


class StreamClosedError(Exception):
    """The client closed the connection."""


def frame(packet: bytes, sequence: int) -> bytes:
    """Return a packet with its header. `sequence` is taken modulo 256."""
    return _header.pack(len(packet) | (sequence & 0xFF) << 24) + packet


def set_keepalive(transport: asyncio.BaseTransport) -> None:
    """Enable TCP keepalive, which detects a vanished peer within about a minute."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class PacketStream(asyncio.BufferedProtocol):
    """The packet stream of one connection.

    Bytes are received into a scratch buffer shared by all connections, so idle connections need
    no receive buffer. During the handshake (`exact_reads`) no byte beyond the expected packet is
    read, because the bytes after a TLS request belong to the TLS layer.
    """

    _scratch = memoryview(bytearray(SCRATCH_BYTES))

    __slots__ = (
        "_buffer",
        "_drain_waiter",
        "_failure",
        "_on_connected",
        "_output",
        "_read_waiter",
        "_reading_paused",
        "_sequence",
        "_write_paused",
        "closed",
        "exact_reads",
        "maximum_packet",
        "on_lost",
        "transport",
    )

    def __init__(self, on_connected: Callable[["PacketStream"], None]) -> None:
        self._on_connected = on_connected
        self.on_lost: Callable[[], None] | None = None
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.exact_reads = True
        self.maximum_packet = MAX_HANDSHAKE_PACKET_BYTES
        self._buffer = bytearray()
        self._output = bytearray()
        self._sequence = 0
        self._failure: CallerError | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._write_paused = False

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport. Some event loops call this again on a TLS upgrade."""
        first = self.transport is None
        self.transport = transport  # type: ignore[assignment]
        if first:
            set_keepalive(transport)
            self._on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the receive buffer, limited to the missing bytes during the handshake."""
        if self.exact_reads:
            return self._scratch[: min(self._missing_bytes(), SCRATCH_BYTES)]
        return self._scratch

    def buffer_updated(self, nbytes: int) -> None:
        """Append the received bytes. Pause reading if the client is too far ahead."""
        self._buffer += self._scratch[:nbytes]
        if self._missing_bytes() > 0:
            return
        self._wake_reader()
        if self.exact_reads or len(self._buffer) > READ_AHEAD_BYTES:
            self._pause_reading()

    def eof_received(self) -> bool:
        """Treat a half-close by the client as the end of the connection."""
        self._mark_closed()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection closed and wake all waiters."""
        self._mark_closed()

    def pause_writing(self) -> None:
        """Make `drain` wait until the client has read more."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Wake a waiting `drain`."""
        self._write_paused = False
        self._wake(self._drain_waiter)

    # Reading

    async def read(self) -> bytes:
        """Return the next packet.

        Raises StreamClosedError, and CallerError for a packet that is too large or out of order.
        """
        while True:
            packet = self._next_packet()
            if packet is not None:
                return packet
            if self._failure is not None:
                raise self._failure
            if self.closed:
                raise StreamClosedError
            if self._reading_paused:
                self._resume_reading()
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None

    def skip_packet(self) -> None:
        """Discard the next packet if it was received, so that what is written now responds to it.

        For a stream that reads no more.
        """
        self._next_packet()

    def _missing_bytes(self) -> int:
        """Return how many bytes of the first packet are not yet buffered."""
        buffer = self._buffer
        buffered = len(buffer)
        if buffered < HEADER_BYTES:
            return HEADER_BYTES - buffered
        length = buffer[0] | buffer[1] << 8 | buffer[2] << 16
        if length > self.maximum_packet:
            self._fail(
                CallerError(
                    PACKET_TOO_LARGE, "08S01", "Got a packet bigger than 'max_allowed_packet'"
                )
            )
            return 0
        return HEADER_BYTES + length - buffered

    def _next_packet(self) -> bytes | None:
        buffer = self._buffer
        if self._missing_bytes() > 0 or self._failure is not None:
            return None
        length = buffer[0] | buffer[1] << 8 | buffer[2] << 16
        if buffer[3] != self._sequence:
            self._fail(CallerError(PACKETS_OUT_OF_ORDER, "08S01", "Got packets out of order"))
            return None
        self._sequence = (self._sequence + 1) & 0xFF
        end = HEADER_BYTES + length
        packet = bytes(memoryview(buffer)[HEADER_BYTES:end])
        if len(buffer) == end:
            self._buffer = bytearray()
        else:
            del buffer[:end]
        return packet

    def _fail(self, error: CallerError) -> None:
        if self._failure is None:
            self._failure = error
            self._pause_reading()
            self._wake_reader()

    # Writing

    def write(self, packet: bytes) -> None:
        """Append one packet to the output buffer."""
        output = self._output
        if len(packet) >= MAX_FRAME_BYTES:
            self._write_large(packet)
            return
        output += _header.pack(len(packet) | self._sequence << 24)
        output += packet
        self._sequence = (self._sequence + 1) & 0xFF

    def write_frames(self, frames: bytes, count: int) -> None:
        """Append `count` already framed packets, numbered from the current sequence number."""
        self._output += frames
        self._sequence = (self._sequence + count) & 0xFF

    def _write_large(self, packet: bytes) -> None:
        for start in range(0, len(packet) + 1, MAX_FRAME_BYTES):
            part = packet[start : start + MAX_FRAME_BYTES]
            self._output += _header.pack(len(part) | self._sequence << 24)
            self._output += part
            self._sequence = (self._sequence + 1) & 0xFF

    @property
    def output_full(self) -> bool:
        """Whether enough output is buffered to make a `drain` worthwhile."""
        return len(self._output) >= WRITE_BUFFER_BYTES

    def flush(self) -> None:
        """Write the output buffer to the transport."""
        if self._output and self.transport is not None and not self.closed:
            self.transport.write(self._output)
        self._output = bytearray()

    @property
    def has_unsent(self) -> bool:
        """Whether this process still holds output that the client has not read."""
        return not self.closed and (
            self.transport is not None and self.transport.get_write_buffer_size() > 0
        )

    async def drain(self) -> None:
        """Flush, and wait while the transport's write buffer is full.

        Raises StreamClosedError.
        """
        self.flush()
        while self._write_paused and not self.closed:
            self._drain_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._drain_waiter
            finally:
                self._drain_waiter = None
        if self.closed:
            raise StreamClosedError

    def reset_sequence(self) -> None:
        """Reset the sequence number to 0, as both sides do for each command."""
        self._sequence = 0

    # Connection

    async def start_tls(self, context: SSLContext) -> None:
        """Upgrade the connection to TLS as the server. Raises ssl.SSLError, OSError."""
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        self._reading_paused = False
        transport = await loop.start_tls(self.transport, self, context, server_side=True)
        if transport is None:
            raise StreamClosedError
        self.transport = transport

    def close(self) -> None:
        """Flush and close."""
        if self.transport is not None:
            self.flush()
            self.transport.close()

    def abort(self) -> None:
        """Close at once and discard unsent output."""
        if self.transport is not None:
            self.transport.abort()

    def remote(self) -> str:
        """Return the client's IP address, or an empty string if it is unknown."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return str(peer[0]) if peer else ""

    def _mark_closed(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._wake_reader()
        self._wake(self._drain_waiter)
        if self.on_lost is not None:
            self.on_lost()

    def _wake_reader(self) -> None:
        self._wake(self._read_waiter)

    def _pause_reading(self) -> None:
        if not self._reading_paused and self.transport is not None and not self.closed:
            self._reading_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        self._reading_paused = False
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    @staticmethod
    def _wake(waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
