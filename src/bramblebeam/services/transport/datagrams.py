"""The UDP socket of a node."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, Protocol, cast

from bramblebeam.core.identity import Address, NodeId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import MESSAGE_NOT_ENCODED
from bramblebeam.services.transport.traffic import IP_AND_UDP_HEADER_BYTES, PeerTraffic
from bramblebeam.wire.codec import Codec, DecodeError
from bramblebeam.wire.frames import decode_datagram, encode_datagram

logger = logging.getLogger(__name__)

_MAX_ERROR_CHARS = 200
"""Characters of an error that are logged: it quotes an address that another node sent."""


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
        try:
            self._transport.sendto(data, (to.host, to.port))
        except (ValueError, OverflowError, TypeError) as error:
            # The address, which another node sent, cannot be encoded or needs a name look-up.
            detail = repr(error)[:_MAX_ERROR_CHARS]
            log_event(logger, MESSAGE_NOT_ENCODED, message=message_type.__name__, error=detail)

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
