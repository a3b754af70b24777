"""Compression of all that follows the hello on a stream between two nodes.

Statements that are passed on repeat each other: the route, the tenant, the names of values. A
compressor that remembers the last ones sends what repeats once, as a payload alone can't.
"""

import zlib

from bramblebeam.wire.codec import MAXIMUM_MESSAGE_BYTES, DecodeError

_WINDOW_BITS = 12
"""4 KB of the past: some ten statements. Together with _MEMORY_LEVEL 40 KB a stream at each end, of
which a node that runs statements holds one for each other node."""
_MEMORY_LEVEL = 5
"""A larger one finds no more in so short a past, and takes twice the memory a step."""
_LEVEL = 1
"""The fastest: what repeats is found at any level."""


class StreamDeflater:
    """Compresses what one end writes."""

    def __init__(self) -> None:
        self._zlib = zlib.compressobj(_LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL)

    def compress(self, data: bytes) -> bytes:
        """Return the bytes to write: the other end can read all of `data` once it has them."""
        return self._zlib.compress(data) + self._zlib.flush(zlib.Z_SYNC_FLUSH)


class StreamInflater:
    """Reads what the other end has compressed. `maximum`: bytes that one read may grow to."""

    def __init__(self, maximum: int = 2 * MAXIMUM_MESSAGE_BYTES) -> None:
        self._zlib = zlib.decompressobj(-_WINDOW_BITS)
        self._maximum = maximum

    def feed(self, data: bytes) -> bytes:
        """Return what was written. Raises DecodeError; the stream is of no use after it."""
        try:
            found = self._zlib.decompress(data, self._maximum)
        except zlib.error as exc:
            raise DecodeError(f"stream is not compressed: {exc}") from exc
        if self._zlib.unconsumed_tail or self._zlib.eof:
            raise DecodeError(f"stream ends, or grows over the bound of {self._maximum} bytes")
        return found
