"""Frames of the stream between two nodes, and the layout of datagrams.

A frame consists of a header (payload length in bytes, kind, request id) and a payload: an encoded
message, or UTF-8 text for REFUSED and FAILED. A datagram consists of the protocol version, the
sender's node id with its length, and an encoded message.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.identity import NodeId
from bramblebeam.wire.codec import MAXIMUM_MESSAGE_BYTES, DecodeError

_HEADER = struct.Struct("!IBI")
HEADER_BYTES = _HEADER.size
DATAGRAM_VERSION = 1
MAXIMUM_NODE_ID_BYTES = 255
REQUEST_ID_MODULUS = 1 << 32
COMPRESSED_FROM_BYTES = 4_096
"""Shorter payloads are sent uncompressed."""
_COMPRESSION_LEVEL = 1


class FrameKind(IntEnum):
    """The kinds of frames."""

    HELLO = 1
    REQUEST = 2
    REPLY = 3
    POST = 4
    REFUSED = 5
    """Answer to a REQUEST that was not passed to any service: it had no effect."""
    FAILED = 6
    """Answer to a REQUEST whose service failed: it may have had an effect."""
    RETIRE = 7
    """The sender starts no new request on this stream, which ends when those in flight have."""
    COMPRESSED_REPLY = 8
    """A REPLY with a compressed payload, to a peer of `COMPRESSION_PROTOCOL` or newer."""


class Frame(NamedTuple):
    """A received frame."""

    kind: int
    request_id: int
    payload: bytes


def encode_frame(kind: FrameKind, request_id: int, payload: bytes) -> bytes:
    """Return the frame's bytes."""
    return _HEADER.pack(len(payload), kind, request_id) + payload


def compress(payload: bytes) -> bytes:
    """Return the compressed payload. A route table shrinks to about a third."""
    return zlib.compress(payload, _COMPRESSION_LEVEL)


def decompress(payload: bytes, maximum: int = MAXIMUM_MESSAGE_BYTES) -> bytes:
    """Return the decompressed payload. Raises DecodeError, also over `maximum` bytes."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(payload, maximum)
    except zlib.error as error:
        raise DecodeError(f"payload is not compressed: {error}") from error
    if not decompressor.eof:
        raise DecodeError(f"payload is truncated, or over the limit of {maximum} bytes")
    return decompressed


class FrameReader:
    """Splits a stream of bytes into frames."""

    def __init__(self, maximum_payload: int = MAXIMUM_MESSAGE_BYTES) -> None:
        self._maximum = maximum_payload
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes; return the frames that they complete.

        Raises DecodeError for a payload over the limit; the reader is unusable afterwards.
        """
        if not self._buffer:
            frames, used = self._split(data)
            self._buffer += data[used:]
            return frames
        self._buffer += data
        frames, used = self._split(self._buffer)
        del self._buffer[:used]
        return frames

    def feed_first(self, data: bytes) -> Frame | None:
        """Add bytes; return the first frame once it is complete, and split off no other one.

        Raises DecodeError as `feed` does.
        """
        self._buffer += data
        frames, used = self._split(self._buffer, max_frames=1)
        del self._buffer[:used]
        return frames[0] if frames else None

    def take_rest(self) -> bytes:
        """Return and discard the bytes after the frames returned so far."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def _split(
        self, data: bytes | bytearray, max_frames: int = MAXIMUM_MESSAGE_BYTES
    ) -> tuple[list[Frame], int]:
        frames: list[Frame] = []
        start = 0
        size = len(data)
        while size - start >= HEADER_BYTES and len(frames) < max_frames:
            length, kind, request_id = _HEADER.unpack_from(data, start)
            if length > self._maximum:
                raise DecodeError(f"frame of {length} bytes is over the limit of {self._maximum}")
            end = start + HEADER_BYTES + length
            if size < end:
                break
            frames.append(Frame(kind, request_id, bytes(data[start + HEADER_BYTES : end])))
            start = end
        return frames, start


def encode_datagram(sender: NodeId, message: bytes) -> bytes:
    """Return a datagram's bytes. Raises ValueError for a node id over 255 bytes."""
    name = sender.encode()
    return bytes((DATAGRAM_VERSION, len(name))) + name + message


def decode_datagram(data: bytes) -> tuple[NodeId, bytes]:
    """Return the sender and the encoded message. Raises DecodeError."""
    if len(data) < 2 or data[0] != DATAGRAM_VERSION:
        raise DecodeError("datagram has another protocol version")
    end = 2 + data[1]
    try:
        return NodeId(data[2:end].decode()), data[end:]
    except UnicodeDecodeError as error:
        raise DecodeError("datagram's sender is not UTF-8") from error
