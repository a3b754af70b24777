"""One stream between two nodes: handshake, multiplexed requests, bounded queue, batched writes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, Protocol, cast

from bramblebeam.core.identity import NodeId
from bramblebeam.services.far_end import PEER_STREAM, set_keepalive
from bramblebeam.services.transport.messages import TIMED_OUT, PeerFailure
from bramblebeam.services.transport.traffic import PeerTraffic
from bramblebeam.wire.codec import Codec, DecodeError, UnknownTagError
from bramblebeam.wire.frames import (
    COMPRESSED_FROM_BYTES,
    HEADER_BYTES,
    REQUEST_ID_MODULUS,
    Frame,
    FrameKind,
    FrameReader,
    compress,
    decompress,
    encode_frame,
)
from bramblebeam.wire.messages import (
    COMPRESSION_PROTOCOL,
    STREAM_COMPRESSION_PROTOCOL,
    Hello,
    StreamProbe,
    common_protocol,
)
from bramblebeam.wire.stream_compression import StreamDeflater, StreamInflater

MAXIMUM_QUEUED_FRAMES = 10_000
MAXIMUM_QUEUED_BYTES = 64 * 1024 * 1024
PROBE_FRACTION = 0.5
"""The peer is probed after this fraction of a request's silence timeout."""
UNRESPONSIVE_GRACE_SECONDS = 2.0
"""How long an unresponsive stream is kept after it was replaced. If the peer was only suspended for
a shorter time, it receives the retire frame, and its requests in flight are still answered."""

Reply = asyncio.Future[Any]


@dataclass(slots=True)
class _Pending:
    reply: Reply
    timer: asyncio.TimerHandle
    requested_at: float = 0.0
    silence_timeout: float | None = None
    repeatable: bool = False


class ConnectionOwner(Protocol):
    """What a connection needs of the transport service."""

    node: NodeId
    codec: Codec
    traffic: PeerTraffic
    highest_protocol: int
    """The highest version of the protocol that this node speaks."""

    def opened(self, connection: PeerConnection) -> None:
        """Handle an accepted handshake: `connection.peer` is known."""

    def closed(self, connection: PeerConnection) -> None:
        """Handle a connection that accepts no new requests: it is retired or closed."""

    def silence_detected(self, connection: PeerConnection, since: float) -> None:
        """Replace a connection over which nothing was received after `since`."""

    def protocol_error(self, connection: PeerConnection, detail: str) -> None:
        """Report a protocol violation by the peer; the connection is being closed."""

    def deliver(self, sender: NodeId, message: Any) -> Reply | str:
        """Pass a request to its service; return the future of the answer, or why it was refused."""

    def deliver_post(self, sender: NodeId, message: Any) -> None:
        """Pass a message without an answer to its service, or drop it."""


class PeerConnection(asyncio.Protocol):
    """A stream to a peer.

    Requests are kept in `_unsent` until they are written; a failure before that is `sent=False`.
    """

    def __init__(self, owner: ConnectionOwner, expected: NodeId | None) -> None:
        self.owner = owner
        self.peer = expected
        self.last_used = 0.0
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._ready = False
        self._compresses_replies = False
        self._deflater: StreamDeflater | None = None
        self._inflater: StreamInflater | None = None
        self._paused = False
        self._retired = False
        self._peer_retired = False
        self._closed = False
        self._flush_scheduled = False
        self._next_id = 0
        self._unsent: dict[int, bytes] = {}
        self._unsent_bytes = 0
        self._answers: list[bytes] = []
        self._answer_bytes = 0
        self._pending: dict[int, _Pending] = {}
        self._serving = 0
        self._received_at = self._loop.time()
        self._probed_at = self._received_at

    # Called by the transport service.

    @property
    def usable(self) -> bool:
        """Whether this connection accepts new requests."""
        return not (self._retired or self._closed)

    @property
    def is_handshake_complete(self) -> bool:
        """Whether the peer's hello was accepted."""
        return self._ready

    @property
    def busy(self) -> bool:
        """Whether anything is in flight, in either direction."""
        return bool(self._pending or self._unsent or self._answers or self._serving)

    def request(
        self,
        payload: bytes,
        reply: Reply,
        timeout: float,
        silence_timeout: float | None = None,
        repeatable: bool = False,
    ) -> None:
        """Queue a request; `reply` gets the peer's message or a PeerFailure within `timeout` s.

        `silence_timeout`, `repeatable`: as in `PeerRequest`.
        """
        if self._queue_full(payload):
            _settle(reply, PeerFailure(sent=False, detail="the queue to the peer is full"))
            return
        request_id = self._next_request_id()
        timer = self._loop.call_later(timeout, self._on_timeout, request_id)
        self._pending[request_id] = _Pending(
            reply, timer, self._loop.time(), silence_timeout, repeatable
        )
        self._enqueue(request_id, encode_frame(FrameKind.REQUEST, request_id, payload))

    def post(self, payload: bytes) -> bool:
        """Queue a message without an answer; False if the queue is full."""
        if self._queue_full(payload):
            return False
        request_id = self._next_request_id()
        self._enqueue(request_id, encode_frame(FrameKind.POST, request_id, payload))
        return True

    def retire(self) -> None:
        """Accept no new request; the peer closes the stream once nothing is in flight."""
        if self.usable:
            self._retired = True
            self._queue_answer(FrameKind.RETIRE, 0, b"")
            self.owner.closed(self)

    def abort(self, detail: str) -> None:
        """Close immediately. Written requests fail as sent, the others as not sent."""
        self._fail_all(detail)
        if self._transport is not None:
            self._transport.abort()

    def check_silence(self) -> None:
        """Probe an unresponsive peer; fail the requests whose silence timeout has expired.

        The fault may be in the stream rather than in the peer, so the next request opens another.
        """
        now = self._loop.time()
        for request_id, pending in list(self._pending.items()):
            if pending.silence_timeout is None or request_id not in self._pending:
                continue
            unresponsive_since = max(self._received_at, pending.requested_at)
            unresponsive_for = now - unresponsive_since
            if unresponsive_for >= pending.silence_timeout:
                self.owner.silence_detected(self, unresponsive_since)
                self._fail_unresponsive(request_id)
            elif unresponsive_for >= pending.silence_timeout * PROBE_FRACTION and self._ready:
                self._probe(now, pending.silence_timeout * PROBE_FRACTION)

    def _fail_unresponsive(self, request_id: int) -> None:
        """Fail a request whose silence timeout expired, and all repeatable ones with it."""
        repeatable = [other for other, pending in self._pending.items() if pending.repeatable]
        for failed in {request_id, *repeatable}:
            pending = self._pending.get(failed)
            if pending is not None:
                pending.timer.cancel()
                self._fail_request(failed, "the peer is silent")

    def retire_if_silent(self, since: float) -> bool:
        """Retire this stream if nothing was received over it after `since`.

        It is aborted later unless data is received again. Return whether it was retired.
        """
        if not self.usable or self._received_at > since:
            return False
        self.retire()
        self._loop.call_later(
            UNRESPONSIVE_GRACE_SECONDS, self._abort_if_unresponsive, self._received_at
        )
        return True

    def _abort_if_unresponsive(self, received_at: float) -> None:
        if self._received_at == received_at:
            self.abort("the peer is silent")

    def _probe(self, now: float, interval: float) -> None:
        if now - self._probed_at < interval:
            return
        self._probed_at = now
        probe = self.owner.codec.encode(StreamProbe())
        request_id = self._next_request_id()
        self._enqueue(request_id, encode_frame(FrameKind.REQUEST, request_id, probe))

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello."""
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:
            self._transport.abort()
            return
        set_keepalive(transport, PEER_STREAM)
        self.last_used = self._loop.time()
        protocol = self.owner.highest_protocol
        hello = self.owner.codec.encode(Hello(self.owner.node, maximum_protocol=protocol))
        self._transport.write(encode_frame(FrameKind.HELLO, 0, hello))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; a frame that violates the protocol closes the connection."""
        self.last_used = self._loop.time()
        self._received_at = self.last_used
        try:
            if not self._ready:
                data = self._handle_handshake(data)
            if data and self._inflater is not None:
                data = self._inflater.feed(data)
            for frame in self._reader.feed(data):
                self._handle_frame(frame)
        except DecodeError as error:
            self.owner.protocol_error(self, str(error))
            self.abort(f"protocol error: {error}")

    def pause_writing(self) -> None:
        """Stop writing because the peer reads too slowly."""
        self._paused = True

    def resume_writing(self) -> None:
        """Resume writing the queued frames."""
        self._paused = False
        self._schedule_flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the requests in flight."""
        self._fail_all(f"connection lost: {exc or 'closed by the peer'}")

    # Incoming frames.

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind in (FrameKind.REPLY, FrameKind.COMPRESSED_REPLY):
            self._handle_reply(frame)
        elif frame.kind == FrameKind.REQUEST:
            self._handle_request(frame)
        elif frame.kind == FrameKind.POST:
            self._handle_post(frame)
        elif frame.kind == FrameKind.REFUSED:
            self._handle_failure(frame, sent=False)
        elif frame.kind == FrameKind.FAILED:
            self._handle_failure(frame, sent=True)
        elif frame.kind == FrameKind.RETIRE:
            self._handle_retire()
        else:
            raise DecodeError(f"frame kind {frame.kind} is unknown")

    def _handle_handshake(self, data: bytes) -> bytes:
        """Handle the peer's hello once it is complete; return the bytes that follow it."""
        frame = self._reader.feed_first(data)
        if frame is None:
            return b""
        self._handle_hello(frame)
        return self._reader.take_rest()

    def _handle_hello(self, frame: Frame) -> None:
        if frame.kind != FrameKind.HELLO:
            raise DecodeError("the first frame is not a hello")
        hello = self.owner.codec.decode(frame.payload)
        if not isinstance(hello, Hello):
            raise DecodeError("the first message is not a hello")
        if self.peer is not None and hello.node != self.peer:
            raise DecodeError(f"node {hello.node} answers in place of {self.peer}")
        protocol = common_protocol(hello, self.owner.highest_protocol)
        if protocol is None:
            raise DecodeError(f"node {hello.node} speaks no common protocol version")
        if protocol >= STREAM_COMPRESSION_PROTOCOL:
            self._deflater, self._inflater = StreamDeflater(), StreamInflater()
        self._compresses_replies = protocol >= COMPRESSION_PROTOCOL and self._deflater is None
        self.peer = hello.node
        self._ready = True
        self.owner.opened(self)
        self._schedule_flush()

    def _handle_post(self, frame: Frame) -> None:
        assert self.peer is not None
        try:
            message = self._decode(frame)
        except UnknownTagError:
            return
        self.owner.deliver_post(self.peer, message)

    def _handle_request(self, frame: Frame) -> None:
        assert self.peer is not None
        request_id = frame.request_id
        try:
            message = self._decode(frame)
        except DecodeError as error:
            self._queue_answer(FrameKind.REFUSED, request_id, str(error)[:1000].encode())
            return
        if isinstance(message, StreamProbe):
            self._queue_answer(FrameKind.REPLY, request_id, self.owner.codec.encode(message))
            return
        outcome = self.owner.deliver(self.peer, message)
        if isinstance(outcome, str):
            self._queue_answer(FrameKind.REFUSED, request_id, outcome.encode())
            return
        self._serving += 1
        outcome.add_done_callback(lambda done: self._on_served(request_id, done))

    def _on_served(self, request_id: int, outcome: Reply) -> None:
        self._serving -= 1
        if self._closed:
            if not outcome.cancelled():
                outcome.exception()
            return
        if outcome.cancelled():
            self._queue_answer(FrameKind.FAILED, request_id, b"the service was stopped")
            return
        error = outcome.exception()
        if error is not None:
            self._queue_answer(FrameKind.FAILED, request_id, repr(error)[:1000].encode())
            return
        try:
            payload = self.owner.codec.encode(outcome.result())
        except Exception as encode_error:
            text = f"the answer could not be encoded: {encode_error!r}"
            self._queue_answer(FrameKind.FAILED, request_id, text[:1000].encode())
            return
        kind = FrameKind.REPLY
        if self._compresses_replies and len(payload) >= COMPRESSED_FROM_BYTES:
            kind, payload = FrameKind.COMPRESSED_REPLY, compress(payload)
        self.owner.traffic.count_sent(type(outcome.result()), len(payload) + HEADER_BYTES)
        self._queue_answer(kind, request_id, payload)

    def _decode(self, frame: Frame) -> Any:
        is_compressed = frame.kind == FrameKind.COMPRESSED_REPLY
        payload = decompress(frame.payload) if is_compressed else frame.payload
        message = self.owner.codec.decode(payload)
        self.owner.traffic.count_received(type(message), len(frame.payload) + HEADER_BYTES)
        return message

    def _handle_reply(self, frame: Frame) -> None:
        pending = self._pending.pop(frame.request_id, None)
        if pending is None:
            return
        pending.timer.cancel()
        try:
            _settle(pending.reply, self._decode(frame))
        except DecodeError as error:
            _settle(pending.reply, PeerFailure(sent=True, detail=f"unreadable answer: {error}"))
        self._close_if_finished()

    def _handle_failure(self, frame: Frame, sent: bool) -> None:
        pending = self._pending.pop(frame.request_id, None)
        if pending is not None:
            pending.timer.cancel()
            detail = frame.payload.decode(errors="replace")
            _settle(pending.reply, PeerFailure(sent=sent, detail=detail))
        self._close_if_finished()

    def _handle_retire(self) -> None:
        self._peer_retired = True
        if self.usable:
            self._retired = True
            self.owner.closed(self)
        self._close_if_finished()

    # Outgoing frames.

    def _next_request_id(self) -> int:
        self._next_id = (self._next_id + 1) % REQUEST_ID_MODULUS
        return self._next_id

    def _queue_full(self, payload: bytes) -> bool:
        if len(self._unsent) >= MAXIMUM_QUEUED_FRAMES:
            return True
        return self._unsent_bytes + len(payload) > MAXIMUM_QUEUED_BYTES

    def _enqueue(self, request_id: int, frame: bytes) -> None:
        self._unsent[request_id] = frame
        self._unsent_bytes += len(frame)
        self._schedule_flush()

    def _queue_answer(self, kind: FrameKind, request_id: int, payload: bytes) -> None:
        self._answers.append(encode_frame(kind, request_id, payload))
        self._answer_bytes += len(payload)
        if self._answer_bytes > MAXIMUM_QUEUED_BYTES:
            self.owner.protocol_error(self, "the peer does not read its answers")
            self.abort("the peer does not read its answers")
            return
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._ready and not self._flush_scheduled and not self._closed:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self._paused or self._closed or self._transport is None:
            return
        if self._transport.is_closing():
            return
        frames = [*self._answers, *self._unsent.values()]
        self._answers.clear()
        self._unsent.clear()
        self._answer_bytes = 0
        self._unsent_bytes = 0
        if frames:
            self.last_used = self._loop.time()
            data = frames[0] if len(frames) == 1 else b"".join(frames)
            self._transport.write(data if self._deflater is None else self._deflater.compress(data))
        self._close_if_finished()

    # Failures and closing.

    def _on_timeout(self, request_id: int) -> None:
        self._fail_request(request_id, TIMED_OUT)

    def _fail_request(self, request_id: int, detail: str) -> None:
        pending = self._pending.pop(request_id)
        frame = self._unsent.pop(request_id, None)
        if frame is not None:
            self._unsent_bytes -= len(frame)
        _settle(pending.reply, PeerFailure(sent=frame is None, detail=detail))
        self._close_if_finished()

    def _close_if_finished(self) -> None:
        if self._peer_retired and self._transport is not None and not self.busy:
            self._transport.close()

    def _fail_all(self, detail: str) -> None:
        if self._closed:
            return
        was_usable = self.usable
        self._closed = True
        for request_id, pending in self._pending.items():
            pending.timer.cancel()
            failure = PeerFailure(sent=request_id not in self._unsent, detail=detail)
            _settle(pending.reply, failure)
        self._pending.clear()
        self._unsent.clear()
        self._answers.clear()
        if was_usable:
            self.owner.closed(self)


def _settle(reply: Reply, result: Any) -> None:
    if not reply.done():
        reply.set_result(result)
