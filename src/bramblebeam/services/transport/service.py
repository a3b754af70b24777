"""The transport service: streams and datagrams to peers, and routes to the node's services."""

from __future__ import annotations

import asyncio
import functools
import logging
import weakref
from typing import Any, ClassVar

from cbor2 import CBOREncodeError

from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.membership.view import MembersChanged, MemberState, MembersView
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    MESSAGE_NOT_ENCODED,
    PEER_DATAGRAM_UNREADABLE,
    PEER_PROTOCOL_ERROR,
    PEER_STREAM_UNRESPONSIVE,
)
from bramblebeam.kernel import Kernel, MailboxFullError, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.kernel.service import answer
from bramblebeam.services.transport.connection import PeerConnection, Reply
from bramblebeam.services.transport.datagrams import DatagramEndpoint
from bramblebeam.services.transport.messages import (
    PeerDatagram,
    PeerDelivery,
    PeerFailure,
    PeerPost,
    PeerRequest,
    PeerRoute,
    TrafficRequest,
)
from bramblebeam.services.transport.settings import PeerSettings
from bramblebeam.services.transport.traffic import PeerTraffic
from bramblebeam.wire.codec import Codec
from bramblebeam.wire.frames import HEADER_BYTES
from bramblebeam.wire.messages import highest_protocol

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT = 2.0
IDLE_SECONDS = 60.0
IDLE_CHECK_SECONDS = 15.0
SILENCE_CHECK_SECONDS = 0.1
STALL_SECONDS = 0.1
"""A check delayed by more than this shows that the process was suspended. It is skipped, because
data received meanwhile has not been read yet."""
BIND_ATTEMPTS = 20
DEAD_GRACE_SECONDS = 1.0
"""How long a stream to a node that was declared dead is kept, as the node may refute its death."""


@functools.cache
def peer_codec() -> Codec:
    """Return the codec of every message between nodes."""
    from bramblebeam.wire.registry import MESSAGES

    return Codec(MESSAGES)


class TransportService(Service):
    """Owns the peer sockets of a node and routes messages to its services."""

    name: ClassVar[str] = "transport"

    def __init__(
        self,
        kernel: Kernel,
        settings: PeerSettings,
        codec: Codec | None = None,
        compresses_streams: bool = False,
    ) -> None:
        super().__init__(kernel)
        self.node = settings.node
        self.highest_protocol = highest_protocol(compresses_streams)
        self.codec = codec or peer_codec()
        self.traffic = PeerTraffic()
        self._settings = settings
        self._address = Address(settings.peer.host, settings.peer.port)
        self._seeds = {seed.node: seed.address for seed in settings.seeds}
        self._members = MembersView()
        self._presumed_dead: set[NodeId] = set()
        self._routes: dict[type, str] = {}
        self._connections: dict[NodeId, PeerConnection] = {}
        self._all: weakref.WeakSet[PeerConnection] = weakref.WeakSet()
        self._server: asyncio.Server | None = None
        self._datagrams = DatagramEndpoint(self)
        self._handlers = {
            PeerRequest: self._handle_request,
            PeerPost: self._handle_post,
            PeerDatagram: self._handle_datagram,
            PeerRoute: self._handle_route,
            MembersChanged: self._handle_members,
            BoundAddressRequest: self._handle_address,
            TrafficRequest: self._handle_traffic,
        }

    async def start(self) -> None:
        """Listen for streams and datagrams on the same port number. Raises OSError."""
        self.kernel.subscribe(MembersChanged, self.name)
        await self._bind()
        self.spawn(self._retire_idle())
        self.spawn(self._check_silence())

    async def stop(self) -> None:
        """Close every socket."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._datagrams.close()
        for connection in list(self._all):
            connection.abort("the node is stopping")

    async def handle(self, envelope: Envelope) -> None:
        """Handle one request of another service."""
        self._handlers[type(envelope.message)](envelope)

    # Requests from the node's own services.

    def _handle_request(self, envelope: Envelope) -> None:
        request: PeerRequest = envelope.message
        reply = envelope.reply
        if reply is None or reply.done():
            return
        if request.to == self.node:
            self._deliver_locally(request, envelope)
            return
        payload = self._encode(request.message)
        if payload is None:
            name = type(request.message).__name__
            reply.set_result(PeerFailure(sent=False, detail=f"{name} could not be encoded"))
            return
        connection = self._connection_to(request.to)
        if connection is None:
            detail = f"the address of node {request.to} is unknown"
            reply.set_result(PeerFailure(sent=False, detail=detail))
            return
        self.traffic.count_sent(type(request.message), len(payload) + HEADER_BYTES)
        connection.request(
            payload, reply, request.timeout, request.silence_timeout, request.repeatable
        )

    def _deliver_locally(self, request: PeerRequest, envelope: Envelope) -> None:
        refusal = self._route_to_service(self.node, request.message, envelope.reply)
        if refusal is not None:
            answer(envelope, PeerFailure(sent=False, detail=refusal))

    def _handle_post(self, envelope: Envelope) -> None:
        post: PeerPost = envelope.message
        if post.to == self.node:
            self.deliver_post(self.node, post.message)
            return
        payload = self._encode(post.message)
        connection = self._connection_to(post.to)
        if connection is not None and payload is not None:
            self.traffic.count_sent(type(post.message), len(payload) + HEADER_BYTES)
            connection.post(payload)

    def _handle_datagram(self, envelope: Envelope) -> None:
        datagram: PeerDatagram = envelope.message
        payload = self._encode(datagram.message)
        if payload is not None:
            self._datagrams.send(datagram.to, type(datagram.message), payload)

    def _encode(self, message: Any) -> bytes | None:
        try:
            return self.codec.encode(message)
        except (KeyError, ValueError, CBOREncodeError) as error:
            name = type(message).__name__
            log_event(logger, MESSAGE_NOT_ENCODED, message=name, error=repr(error))
            return None

    def _handle_route(self, envelope: Envelope) -> None:
        route: PeerRoute = envelope.message
        for message_type in route.types:
            self._routes[message_type] = route.name
        answer(envelope, None)

    def _handle_members(self, envelope: Envelope) -> None:
        changed: MembersChanged = envelope.message
        self._members = changed.view
        loop = asyncio.get_running_loop()
        for node in self._connections:
            if self._is_dead(node) and node not in self._presumed_dead:
                self._presumed_dead.add(node)
                loop.call_later(DEAD_GRACE_SECONDS, self._close_if_dead, node)

    def _close_if_dead(self, node: NodeId) -> None:
        """Fail the requests to a dead node; a node that is alive has refuted its death by now."""
        self._presumed_dead.discard(node)
        connection = self._connections.get(node)
        if connection is not None and self._is_dead(node):
            connection.abort(f"node {node} is dead")

    def _is_dead(self, node: NodeId) -> bool:
        member = self._members.members.get(node)
        return member is not None and member.state is MemberState.DEAD

    def _handle_address(self, envelope: Envelope) -> None:
        answer(envelope, self._address)

    def _handle_traffic(self, envelope: Envelope) -> None:
        answer(envelope, self.traffic)

    # Called by connections and the datagram socket.

    def opened(self, connection: PeerConnection) -> None:
        """Use the newest stream to a peer: an older one may lead to its former incarnation."""
        if connection.peer is not None and connection.usable:
            self._connections[connection.peer] = connection

    def closed(self, connection: PeerConnection) -> None:
        """Assign no new requests to this stream."""
        if connection.peer is not None and self._connections.get(connection.peer) is connection:
            del self._connections[connection.peer]

    def silence_detected(self, connection: PeerConnection, since: float) -> None:
        """Replace an unresponsive stream and all others that received nothing after `since`.

        The same failure may have broken them. If its handshake was never completed, only this
        stream is replaced: its node is unreachable, which says nothing about other streams.
        """
        if not connection.retire_if_silent(since):
            return
        related = list(self._all) if connection.is_handshake_complete else []
        others = sum(other.retire_if_silent(since) for other in related)
        log_event(logger, PEER_STREAM_UNRESPONSIVE, peer=connection.peer or "?", others=others)

    def protocol_error(self, connection: PeerConnection, detail: str) -> None:
        """Log the protocol violation for which a stream is closed."""
        log_event(logger, PEER_PROTOCOL_ERROR, peer=connection.peer or "?", error=detail)

    def datagram_error(self, source: Address, detail: str) -> None:
        """Log a datagram that was dropped."""
        log_event(
            logger, PEER_DATAGRAM_UNREADABLE, source=f"{source.host}:{source.port}", error=detail
        )

    def deliver(self, sender: NodeId, message: Any) -> Reply | str:
        """Pass a request to its service; return the future of the answer, or why it was refused."""
        reply = asyncio.get_running_loop().create_future()
        return self._route_to_service(sender, message, reply) or reply

    def deliver_post(self, sender: NodeId, message: Any, source: Address | None = None) -> None:
        """Pass a message to its service; drop it if there is none or its mailbox is full."""
        self._route_to_service(sender, message, None, source)

    def _route_to_service(
        self, sender: NodeId, message: Any, reply: Reply | None, source: Address | None = None
    ) -> str | None:
        name = self._routes.get(type(message))
        if name is None:
            return f"no service takes {type(message).__name__}"
        try:
            self.kernel.forward(name, Envelope(PeerDelivery(sender, message, source), reply))
        except MailboxFullError:
            return f"service {name} has too many messages waiting"
        return None

    # Sockets.

    def _connection_to(self, node: NodeId) -> PeerConnection | None:
        connection = self._connections.get(node)
        if connection is not None and connection.usable:
            return connection
        address = self._address_of(node)
        if address is None:
            return None
        connection = PeerConnection(self, node)
        self._connections[node] = connection
        self._all.add(connection)
        self.spawn(self._connect(connection, address))
        return connection

    def _address_of(self, node: NodeId) -> Address | None:
        member = self._members.members.get(node)
        if member is not None:
            return member.spec.peer_address
        return self._seeds.get(node)

    async def _connect(self, connection: PeerConnection, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(lambda: connection, address.host, address.port)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # The last two: another node sent an address that cannot be encoded or has no port.
            connection.abort(f"no connection to {address.host}:{address.port}: {error!r}")

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(self, None)
        self._all.add(connection)
        return connection

    async def _bind(self) -> None:
        for attempt in range(BIND_ATTEMPTS):
            try:
                await self._bind_once()
                return
            except OSError:
                if self._settings.peer.port != 0 or attempt == BIND_ATTEMPTS - 1:
                    raise

    async def _bind_once(self) -> None:
        loop = asyncio.get_running_loop()
        peer = self._settings.peer
        server = await loop.create_server(self._accept, peer.host, peer.port)
        host, port = server.sockets[0].getsockname()[:2]
        self._datagrams = DatagramEndpoint(self)
        try:
            await loop.create_datagram_endpoint(lambda: self._datagrams, local_addr=(host, port))
        except OSError:
            server.close()
            raise
        self._server = server
        self._address = Address(host, port)

    async def _check_silence(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + SILENCE_CHECK_SECONDS
            await asyncio.sleep(SILENCE_CHECK_SECONDS)
            if loop.time() - due > STALL_SECONDS:
                continue
            for connection in list(self._all):
                connection.check_silence()

    async def _retire_idle(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            for connection in list(self._all):
                idle = loop.time() - connection.last_used
                if connection.busy or idle < IDLE_SECONDS:
                    continue
                if connection.usable:
                    connection.retire()
                elif idle > 2 * IDLE_SECONDS:
                    connection.abort("the peer did not close a retired stream")
