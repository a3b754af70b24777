"""The UDP socket of a node."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast

from bramblebeam.core.identity import Address, NodeId
from bramblebeam.services.transport.traffic import IP_AND_UDP_HEADER_BYTES, PeerTraffic
from bramblebeam.wire.codec import Codec, DecodeError
from bramblebeam.wire.frames import decode_datagram, encode_datagram


class DatagramOwner(Protocol):
    """What the datagram socket needs of the transport service."""

    node: NodeId
    codec: Codec
    traffic: PeerTraffic

    def deliver_post(self, sender: NodeId, message: Any, source: Address | None = None) -> None:
        """Pass a message without an answer to its service, or drop it."""

    def datagram_error(self, source: Address, detail: str) -> None:
        """Report a datagram that could not be decoded."""


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams."""

    def __init__(self, owner: DatagramOwner) -> None:
        self.owner = owner
        self._transport: asyncio.DatagramTransport | None = None

    def send(self, to: Address, message_type: type, encoded: bytes) -> None:
        """Send an encoded message without any guarantee; one too large for a datagram is lost."""
        if self._transport is None:
            return
        data = encode_datagram(self.owner.node, encoded)
        self.owner.traffic.count_sent(message_type, len(data) + IP_AND_UDP_HEADER_BYTES)
        self._transport.sendto(data, (to.host, to.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Decode a datagram and deliver its message."""
        source = Address(addr[0], addr[1])
        try:
            sender, encoded = decode_datagram(data)
            message = self.owner.codec.decode(encoded)
        except DecodeError as error:
            self.owner.datagram_error(source, str(error))
            return
        self.owner.traffic.count_received(type(message), len(data) + IP_AND_UDP_HEADER_BYTES)
        self.owner.deliver_post(sender, message, source)

    def error_received(self, exc: Exception) -> None:
        """Ignore network errors of earlier datagrams; the failure detector handles lost peers."""
