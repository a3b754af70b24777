"""Frames of the stream between two nodes, and the layout of datagrams.

A frame is a header (length of the payload in bytes, kind, request id) and a payload: an encoded
message, or for REFUSED and FAILED a UTF-8 text. A datagram is the protocol version, the sender's
node id with its length, and an encoded message.
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
"""Shorter payloads are sent as they are."""
_COMPRESSION_LEVEL = 1


class FrameKind(IntEnum):
    """What a frame is for."""

    HELLO = 1
    REQUEST = 2
    REPLY = 3
    POST = 4
    REFUSED = 5
    """Answer to a REQUEST that was not handed to any service: it surely has no effect."""
    FAILED = 6
    """Answer to a REQUEST whose service failed: it may have had an effect."""
    RETIRE = 7
    """The sender starts no new request here; the stream ends when what is in flight has ended."""
    COMPRESSED_REPLY = 8
    """A REPLY whose payload is compressed, to a peer of `COMPRESSION_PROTOCOL` or newer."""


class Frame(NamedTuple):
    """One frame that came in."""

    kind: int
    request_id: int
    payload: bytes


def encode_frame(kind: FrameKind, request_id: int, payload: bytes) -> bytes:
    """Return the frame's bytes."""
    return _HEADER.pack(len(payload), kind, request_id) + payload


def compress(payload: bytes) -> bytes:
    """Return a payload's compressed bytes. A table of routes shrinks to about a third."""
    return zlib.compress(payload, _COMPRESSION_LEVEL)


def decompress(payload: bytes, maximum: int = MAXIMUM_MESSAGE_BYTES) -> bytes:
    """Return the payload before compression. Raises DecodeError, also over `maximum` bytes."""
    reader = zlib.decompressobj()
    try:
        found = reader.decompress(payload, maximum)
    except zlib.error as error:
        raise DecodeError(f"payload is not compressed: {error}") from error
    if not reader.eof:
        raise DecodeError(f"payload is cut short, or over the bound of {maximum} bytes")
    return found


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self, maximum_payload: int = MAXIMUM_MESSAGE_BYTES) -> None:
        self._maximum = maximum_payload
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Take the next bytes; return the frames completed by them.

        Raises DecodeError for a payload longer than the bound; the reader is of no use after it.
        """
        if not self._rest:
            frames, used = self._cut(data)
            self._rest += data[used:]
            return frames
        self._rest += data
        frames, used = self._cut(self._rest)
        del self._rest[:used]
        return frames

    def feed_first(self, data: bytes) -> Frame | None:
        """Take the next bytes; return the first frame once it is whole, and cut no other one.

        Raises DecodeError as `feed` does.
        """
        self._rest += data
        frames, used = self._cut(self._rest, most=1)
        del self._rest[:used]
        return frames[0] if frames else None

    def take_rest(self) -> bytes:
        """Return and forget the bytes that came after the frames returned so far."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest

    def _cut(
        self, data: bytes | bytearray, most: int = MAXIMUM_MESSAGE_BYTES
    ) -> tuple[list[Frame], int]:
        frames: list[Frame] = []
        start = 0
        size = len(data)
        while size - start >= HEADER_BYTES and len(frames) < most:
            length, kind, request_id = _HEADER.unpack_from(data, start)
            if length > self._maximum:
                raise DecodeError(f"frame of {length} bytes is over the bound of {self._maximum}")
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
        raise DecodeError("datagram is of another protocol version")
    end = 2 + data[1]
    try:
        return NodeId(data[2:end].decode()), data[end:]
    except UnicodeDecodeError as error:
        raise DecodeError("datagram's sender is not UTF-8") from error
