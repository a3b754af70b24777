"""The transport over loopback: requests, failure reports, datagrams, misbehaving peers."""

import asyncio
import zlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, ClassVar

import pytest

from bramblebeam.core.identity import Address, InstanceId, NodeId, NodeSpec, Position, ZoneId
from bramblebeam.core.membership.view import Member, MembersChanged, MemberState, MembersView
from bramblebeam.core.statement import PositionReply, PositionRequest, SubscribeRequest
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.kernel.service import answer
from bramblebeam.services.transport.messages import (
    PeerDatagram,
    PeerDelivery,
    PeerFailure,
    PeerPost,
    PeerRequest,
    PeerRoute,
    TrafficRequest,
)
from bramblebeam.services.transport.service import TransportService, peer_codec
from bramblebeam.settings.model import NodeSettings
from bramblebeam.wire import messages
from bramblebeam.wire.codec import DecodeError
from bramblebeam.wire.frames import (
    COMPRESSED_FROM_BYTES,
    HEADER_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    compress,
    decompress,
    encode_frame,
)
from bramblebeam.wire.messages import COMPRESSION_PROTOCOL, Hello, highest_protocol
from bramblebeam.wire.stream_compression import StreamDeflater, StreamInflater

ASK = PositionRequest(InstanceId("db-1"))


class Echo(Service):
    """Answers a PositionRequest with its instance; never answers `hold`, and fails for `fail`."""

    name: ClassVar[str] = "echo"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.seen: list[PeerDelivery] = []
        self.arrived = asyncio.Event()

    async def handle(self, envelope: Envelope) -> None:
        self.seen.append(envelope.message)
        self.arrived.set()
        instance = getattr(envelope.message.message, "instance", "")
        if instance == "fail" and envelope.reply is not None:
            envelope.reply.set_exception(ValueError("broken"))
        elif instance != "hold":
            answer(envelope, PositionReply(instance, Position(1, len(self.seen))))


class Peer:
    """A kernel with the transport and an echo service."""

    def __init__(self, name: str) -> None:
        self.node = NodeId(name)
        self.kernel = Kernel()
        settings = NodeSettings(node=self.node, zone=ZoneId("z"), region="r")
        self.transport = TransportService(self.kernel, settings)
        self.echo = Echo(self.kernel)
        self.kernel.register(self.transport, self.echo)
        self.address = Address("", 0)

    async def start(self) -> None:
        await self.kernel.start()
        route = PeerRoute("echo", (PositionRequest,))
        await self.kernel.call("transport", route)
        self.address = await self.kernel.call("transport", BoundAddressRequest())

    async def ask(
        self, to: str, message: Any = ASK, timeout: float = 5.0, silence: float | None = None
    ) -> Any:
        request = PeerRequest(NodeId(to), message, timeout, silence)
        return await self.kernel.call("transport", request)


def member(peer: Peer, state: MemberState = MemberState.ALIVE) -> Member:
    address = peer.address
    spec = NodeSpec(peer.node, ZoneId("z"), "r", address, address, address)
    return Member(spec, 1, state)


def introduce(*peers: Peer) -> None:
    view = MembersView({peer.node: member(peer) for peer in peers})
    for peer in peers:
        peer.kernel.publish(MembersChanged(view))


@asynccontextmanager
async def started(*names: str) -> AsyncIterator[list[Peer]]:
    peers = [Peer(name) for name in names]
    for peer in peers:
        await peer.start()
    introduce(*peers)
    try:
        yield peers
    finally:
        for peer in peers:
            await peer.kernel.stop()


async def test_requests_are_answered_each_with_its_own_answer() -> None:
    async with started("a", "b") as (a, _b):
        asks = [a.ask("b", PositionRequest(InstanceId(f"db-{n}"))) for n in range(200)]
        replies = await asyncio.gather(*asks)
        assert [reply.instance for reply in replies] == [f"db-{n}" for n in range(200)]


async def test_both_directions_at_once() -> None:
    async with started("a", "b") as (a, b):
        first, second = await asyncio.gather(a.ask("b"), b.ask("a"))
        assert isinstance(first, PositionReply)
        assert isinstance(second, PositionReply)


async def test_traffic_counts_are_equal_at_both_ends() -> None:
    async with started("a", "b") as (a, b):
        await a.ask("b")
        at_a = await a.kernel.call("transport", TrafficRequest())
        at_b = await b.kernel.call("transport", TrafficRequest())
        assert at_a.sent[PositionRequest] == at_b.received[PositionRequest]
        assert at_b.sent[PositionReply] == at_a.received[PositionReply]
        assert at_a.sent[PositionRequest].messages == 1


@pytest.mark.parametrize(
    ("protocol", "is_smaller"),
    [
        pytest.param(COMPRESSION_PROTOCOL, True, id="new peer"),
        pytest.param(COMPRESSION_PROTOCOL - 1, False, id="older peer"),
    ],
)
async def test_a_large_reply_is_compressed_for_peers_that_know_it(
    protocol: int, is_smaller: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against slow transfers: 1,400 routes took five seconds over links of 5 Mbit/s.

    Found on a simulated day (CONFIG).
    """
    monkeypatch.setattr(messages, "MAXIMUM_PROTOCOL", protocol)
    name = InstanceId("db-" + 100 * "1234567890" * COMPRESSED_FROM_BYTES)
    async with started("a", "b") as (a, b):
        reply = await a.ask("b", PositionRequest(name))
        assert reply.instance == name
        sent = (await b.kernel.call("transport", TrafficRequest())).sent[PositionReply]
        taken = (await a.kernel.call("transport", TrafficRequest())).received[PositionReply]
        assert sent == taken
        assert (sent.octets < len(name) / 10) is is_smaller


@pytest.mark.parametrize(
    ("payload", "maximum", "is_valid"),
    [
        pytest.param(compress(b"y" * 1000), 1000, True, id="whole"),
        pytest.param(compress(b"y" * 1000), 999, False, id="over the bound"),
        pytest.param(compress(b"y" * 1000)[:-1], 1000, False, id="cut short"),
        pytest.param(b"not compressed", 1000, False, id="not compressed"),
    ],
)
def test_a_compressed_payload_is_checked(payload: bytes, maximum: int, is_valid: bool) -> None:
    if is_valid:
        assert decompress(payload, maximum) == b"y" * 1000
    else:
        with pytest.raises(DecodeError):
            decompress(payload, maximum)


async def test_request_to_own_node_needs_no_socket() -> None:
    async with started("a") as (a,):
        reply = await a.ask("a")
        assert reply == PositionReply(InstanceId("db-1"), Position(1, 1))
        assert a.echo.seen[0].sender == "a"


async def test_request_to_an_unknown_node_is_not_sent() -> None:
    async with started("a") as (a,):
        assert (await a.ask("nobody")).sent is False


async def test_request_to_a_closed_address_is_not_sent() -> None:
    async with started("a", "b") as (a, b):
        await b.kernel.stop()
        failure = await a.ask("b")
        assert isinstance(failure, PeerFailure)
        assert failure.sent is False


async def test_message_without_a_service_is_reported_as_not_sent() -> None:
    async with started("a", "b") as (a, b):
        failure = await a.ask("b", SubscribeRequest(InstanceId("db-1")))
        assert failure.sent is False
        assert b.echo.seen == []


async def test_failure_of_a_service_is_reported_as_sent() -> None:
    async with started("a", "b") as (a, _b):
        failure = await a.ask("b", PositionRequest(InstanceId("fail")))
        assert failure.sent is True


async def test_timeout_after_sending_is_reported_as_sent() -> None:
    async with started("a", "b") as (a, b):
        failure = await a.ask("b", PositionRequest(InstanceId("hold")), timeout=0.2)
        assert failure.sent is True
        assert len(b.echo.seen) == 1


async def test_loss_of_a_peer_with_a_request_in_flight_is_reported_as_sent() -> None:
    async with started("a", "b") as (a, b):
        ask = asyncio.create_task(a.ask("b", PositionRequest(InstanceId("hold"))))
        await b.echo.arrived.wait()
        await b.kernel.stop()
        assert (await ask).sent is True


async def test_dead_member_fails_requests_in_flight() -> None:
    async with started("a", "b") as (a, b):
        ask = asyncio.create_task(a.ask("b", PositionRequest(InstanceId("hold")), timeout=60))
        await b.echo.arrived.wait()
        dead = MembersView({b.node: member(b, MemberState.DEAD)})
        a.kernel.publish(MembersChanged(dead))
        assert (await ask).sent is True


async def test_death_that_is_refuted_at_once_fails_no_requests() -> None:
    async with started("a", "b") as (a, b):
        ask = asyncio.create_task(a.ask("b", PositionRequest(InstanceId("hold")), timeout=1.5))
        await b.echo.arrived.wait()
        connection = a.transport._connections[b.node]
        a.kernel.publish(MembersChanged(MembersView({b.node: member(b, MemberState.DEAD)})))
        a.kernel.publish(MembersChanged(MembersView({b.node: member(b)})))
        assert (await ask).detail == "timed out"
        assert a.transport._connections[b.node] is connection


async def test_another_node_at_the_address_receives_nothing() -> None:
    async with started("a", "b") as (a, b):
        wrong = Member(member(b).spec._replace(node=NodeId("c")), 1, MemberState.ALIVE)
        a.kernel.publish(MembersChanged(MembersView({NodeId("c"): wrong})))
        failure = await a.ask("c")
        assert failure.sent is False
        assert b.echo.seen == []


async def test_datagram_and_post_arrive_with_their_sender() -> None:
    async with started("a", "b") as (a, b):
        a.kernel.post("transport", PeerDatagram(b.address, ASK))
        await b.echo.arrived.wait()
        b.echo.arrived.clear()
        a.kernel.post("transport", PeerPost(b.node, ASK))
        await b.echo.arrived.wait()
        datagram = PeerDelivery(a.node, ASK, source=a.address)
        assert b.echo.seen == [datagram, PeerDelivery(a.node, ASK)]


async def test_message_that_cannot_be_encoded_is_reported_as_not_sent() -> None:
    async with started("a", "b") as (a, _b):
        assert (await a.ask("b", object())).sent is False
        unencodable = PositionRequest(object())  # type: ignore[arg-type]
        assert (await a.ask("b", unencodable)).sent is False
        assert isinstance(await a.ask("b"), PositionReply)


async def test_retired_stream_answers_what_is_in_flight_and_is_replaced() -> None:
    async with started("a", "b") as (a, b):
        await a.ask("b")
        old = a.transport._connections[b.node]
        b.transport._connections[a.node].retire()
        assert isinstance(await a.ask("b"), PositionReply)
        assert not old.usable
        assert isinstance(await a.ask("b"), PositionReply)
        assert a.transport._connections[b.node] is not old


def hello_frame(peer: Peer, hello: Hello) -> bytes:
    return encode_frame(FrameKind.HELLO, 0, peer.transport.codec.encode(hello))


@pytest.mark.parametrize(
    "bytes_after_hello",
    [
        b"\xff\xff\xff\xff\x02\x00\x00\x00\x01",
        encode_frame(FrameKind.POST, 1, b"no cbor"),
        encode_frame(FrameKind.HELLO, 1, b""),
        b"\x00\x00\x00\x00\x63\x00\x00\x00\x01",
    ],
)
async def test_broken_peer_is_closed(
    bytes_after_hello: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async with started("a") as (a,):
        reader, writer = await asyncio.open_connection(*a.address)
        writer.write(hello_frame(a, Hello(NodeId("x"))) + bytes_after_hello)
        await asyncio.wait_for(reader.read(), 5)
        writer.close()
        assert "[1401]" in caplog.text


async def test_unknown_protocol_version_is_refused(caplog: pytest.LogCaptureFixture) -> None:
    async with started("a") as (a,):
        reader, writer = await asyncio.open_connection(*a.address)
        hello = replace(Hello(NodeId("x")), minimum_protocol=99, maximum_protocol=99)
        writer.write(hello_frame(a, hello))
        await asyncio.wait_for(reader.read(), 5)
        writer.close()
        assert "no common protocol" in caplog.text


async def test_message_of_an_unknown_tag_is_refused_and_the_stream_stays() -> None:
    async with started("a") as (a,):
        reader, writer = await asyncio.open_connection(*a.address)
        unknown = b"\x81\x19\x27\x0f"
        post = encode_frame(FrameKind.POST, 6, unknown)
        request = encode_frame(FrameKind.REQUEST, 7, unknown)
        writer.write(hello_frame(a, Hello(NodeId("x"))) + post + request)
        frames = FrameReader()
        taken = []
        while len(taken) < 2:
            taken += frames.feed(await asyncio.wait_for(reader.read(4096), 5))
        writer.close()
        assert taken[1].kind == FrameKind.REFUSED
        assert taken[1].request_id == 7


def test_frames_split_at_any_byte_are_reassembled() -> None:
    payloads = [b"", b"x", b"y" * 1000, b"z" * 3]
    stream = b"".join(encode_frame(FrameKind.POST, n, p) for n, p in enumerate(payloads))
    for size in (1, 2, HEADER_BYTES, HEADER_BYTES + 1, 100, len(stream)):
        reader = FrameReader()
        frames = []
        for start in range(0, len(stream), size):
            frames += reader.feed(stream[start : start + size])
        assert [frame.payload for frame in frames] == payloads
        assert [frame.request_id for frame in frames] == [0, 1, 2, 3]


@asynccontextmanager
async def unresponsive_peer(beginning: bytes) -> AsyncIterator[Peer]:
    """A node that sends `beginning` and nothing else."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(beginning)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    peer = Peer("silent")
    peer.address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
    async with server:
        yield peer


async def test_silence_timeout_fails_a_request_to_an_unresponsive_peer() -> None:
    hello = peer_codec().encode(Hello(NodeId("silent")))
    hello_bytes = encode_frame(FrameKind.HELLO, 0, hello)
    async with started("a") as (a,), unresponsive_peer(hello_bytes) as silent:
        introduce_to(a, silent)
        failure = await a.ask("silent", timeout=30.0, silence=0.2)
        assert failure == PeerFailure(sent=True, detail="the peer is silent")


async def test_request_to_a_peer_without_hello_is_reported_as_not_sent() -> None:
    async with started("a") as (a,), unresponsive_peer(b"") as silent:
        introduce_to(a, silent)
        failure = await a.ask("silent", timeout=30.0, silence=0.2)
        assert failure == PeerFailure(sent=False, detail="the peer is silent")


async def test_slow_answer_of_a_live_peer_is_awaited() -> None:
    async with started("a", "b") as (a, _b):
        hold = PositionRequest(InstanceId("hold"))
        failure = await a.ask("b", hold, timeout=1.0, silence=0.3)
        assert failure == PeerFailure(sent=True, detail="timed out")


def introduce_to(peer: Peer, other: Peer) -> None:
    view = MembersView({one.node: member(one) for one in (peer, other)})
    peer.kernel.publish(MembersChanged(view))


@pytest.mark.parametrize(
    ("compressing", "is_smaller"),
    [
        pytest.param((True, True), True, id="both ends"),
        pytest.param((True, False), False, id="an end that does not"),
        pytest.param((False, True), False, id="the other end does not"),
        pytest.param((False, False), False, id="neither end"),
    ],
)
async def test_a_stream_is_compressed_where_both_ends_do_so(
    compressing: tuple[bool, bool], is_smaller: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Forwarded statements are similar, so compression of the stream halves their size."""
    sizes: list[int] = []
    compress_data = StreamDeflater.compress

    def compress_counted(deflater: StreamDeflater, data: bytes) -> bytes:
        found = compress_data(deflater, data)
        sizes.append(len(found) - len(data))
        return found

    monkeypatch.setattr(StreamDeflater, "compress", compress_counted)
    async with started("a", "b") as (a, b):
        for node, compresses in zip((a, b), compressing, strict=True):
            node.transport.highest_protocol = highest_protocol(compresses)
        for number in range(20):
            name = InstanceId(f"db-{number}-of-a-long-name-that-comes-again-and-again")
            assert (await a.ask("b", PositionRequest(name))).instance == name
    assert (sum(sizes) < 0) is is_smaller


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"not compressed", id="not compressed"),
        pytest.param(zlib.compressobj(wbits=-12).flush(), id="ended"),
        pytest.param(StreamDeflater().compress(b"y" * 1_001), id="over the bound"),
    ],
)
def test_a_stream_that_is_not_compressed_as_agreed_is_refused(data: bytes) -> None:
    with pytest.raises(DecodeError):
        StreamInflater(maximum=1_000).feed(data)


@pytest.mark.parametrize("cut", range(len(encode_frame(FrameKind.HELLO, 0, b"hello")) + 4))
def test_a_hello_is_read_separately_from_what_follows_it(cut: int) -> None:
    """Compressed bytes may arrive together with the hello and must not be parsed as frames."""
    hello = Frame(FrameKind.HELLO, 0, b"hello")
    reader = FrameReader()
    data = encode_frame(FrameKind.HELLO, 0, b"hello") + b"rest"
    found = reader.feed_first(data[:cut])
    rest = reader.take_rest() if found else b""
    if found is None:
        found = reader.feed_first(data[cut:])
        rest = reader.take_rest()
    else:
        rest += data[cut:]
    assert (found, rest) == (hello, b"rest")
