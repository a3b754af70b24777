"""TCP streams between the members of a group, with injected partitions and latency."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from bramblebeam.core.identity import Address
from bramblebeam.lab.database.messages import Append, AppendReply, MemberId
from bramblebeam.wire.codec import Codec, DecodeError
from bramblebeam.wire.frames import FrameKind, FrameReader, encode_frame

logger = logging.getLogger(__name__)

CODEC = Codec({1: Append, 2: AppendReply})
ALL_MEMBERS = "*"
RECONNECT_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 1.0
MAXIMUM_BUFFERED_BYTES = 32 * 1024 * 1024
"""Write buffer limit of a stream; messages to a member that does not read are then dropped."""

Deliver = Callable[[MemberId, Any], None]
Discover = Callable[[Address], Awaitable[Address]]


class PeerStream(asyncio.Protocol):
    """One stream. The connecting member first sends its name."""

    def __init__(self, links: "PeerLinks", peer: MemberId | None) -> None:
        self.peer = peer
        self._links = links
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the stream; on an outbound one send this member's name."""
        self._transport = transport  # type: ignore[assignment]
        self._links.streams.add(self)
        if self.peer is not None:
            self._write(encode_frame(FrameKind.HELLO, 0, self._links.me.encode()))

    def data_received(self, data: bytes) -> None:
        """Deliver the complete messages."""
        try:
            for frame in self._frames.feed(data):
                if frame.kind == FrameKind.HELLO:
                    self.peer = MemberId(frame.payload.decode())
                    self._links.inbound[self.peer] = self
                elif self.peer is not None:
                    self._links.received(self.peer, CODEC.decode(frame.payload))
        except (DecodeError, UnicodeDecodeError):
            logger.warning("invalid message on a peer stream; closing it")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister the stream."""
        self._transport = None
        self._links.streams.discard(self)
        if self.peer is not None and self._links.inbound.get(self.peer) is self:
            del self._links.inbound[self.peer]

    @property
    def usable(self) -> bool:
        """Whether the stream is open."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, message: Any) -> None:
        """Send a message; drop it if the write buffer is full or the stream closed."""
        transport = self._transport
        if transport is None or transport.get_write_buffer_size() > MAXIMUM_BUFFERED_BYTES:
            return
        self._write(encode_frame(FrameKind.POST, 0, CODEC.encode(message)))

    def close(self) -> None:
        """Close immediately."""
        if self._transport is not None:
            self._transport.abort()

    def _write(self, data: bytes) -> None:
        if self.usable and self._transport is not None:
            self._transport.write(data)


class PeerLinks:
    """All peer streams of one member.

    `discover` resolves a member's MySQL address to its peer address. `cut` names the members that
    are partitioned from this one in both directions; `latency` (seconds) delays every message sent.
    """

    def __init__(self, me: MemberId, deliver: Deliver, discover: Discover) -> None:
        self.me = me
        self.streams: set[PeerStream] = set()
        self.inbound: dict[MemberId, PeerStream] = {}
        self.cut: frozenset[str] = frozenset()
        self.latency = 0.0
        self._deliver = deliver
        self._discover = discover
        self._addresses: dict[MemberId, Address] = {}
        self._outbound: dict[MemberId, PeerStream] = {}
        self._connecting: dict[MemberId, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> Address:
        """Start listening and return the bound address. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: PeerStream(self, None), host, port)
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Close every stream."""
        tasks = list(self._connecting.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        for stream in list(self.streams):
            stream.close()

    def set_cut(self, members: Collection[str]) -> None:
        """Partition exactly these members from this one."""
        self.cut = frozenset(members)

    def set_address(self, member: MemberId, address: Address) -> None:
        """Store a member's MySQL address."""
        self._addresses[member] = address

    def send(self, to: MemberId, message: Any) -> None:
        """Send a message without a delivery guarantee.

        Replies use the stream that the receiver opened, so that they go to the member that sent the
        request.
        """
        if self._is_cut(to):
            return
        if self.latency:
            asyncio.get_running_loop().call_later(self.latency, self._send_now, to, message)
        else:
            self._send_now(to, message)

    def received(self, sender: MemberId, message: Any) -> None:
        """Deliver a message from a stream unless its sender is partitioned."""
        if not self._is_cut(sender):
            self._deliver(sender, message)

    def _is_cut(self, member: MemberId) -> bool:
        return member in self.cut or ALL_MEMBERS in self.cut

    def _send_now(self, to: MemberId, message: Any) -> None:
        if isinstance(message, AppendReply):
            stream = self.inbound.get(to)
        else:
            stream = self._outbound.get(to)
        if stream is not None and stream.usable:
            stream.send(message)
        elif isinstance(message, Append):
            self._connect(to)

    def _connect(self, member: MemberId) -> None:
        if member in self._connecting or member not in self._addresses:
            return
        task = asyncio.get_running_loop().create_task(self._open(member))
        self._connecting[member] = task
        task.add_done_callback(lambda _: self._connecting.pop(member, None))

    async def _open(self, member: MemberId) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                address = await self._discover(self._addresses[member])
                _, stream = await loop.create_connection(
                    lambda: PeerStream(self, member), address.host, address.port
                )
            self._outbound[member] = stream
        except (OSError, TimeoutError):
            await asyncio.sleep(RECONNECT_SECONDS)
