"""Compression of a stream between two nodes, of everything after the hello.

Forwarded statements share much content: the route, the tenant, the names of values. Compressing the
stream instead of each payload sends such repetitions only once.
"""

import zlib

from bramblebeam.wire.codec import MAXIMUM_MESSAGE_BYTES, DecodeError

_WINDOW_BITS = 12
"""A window of 4 KB, about ten statements. Together with _MEMORY_LEVEL it takes 40 KB per stream at
each end, and a node that runs statements has a stream to every other node."""
_MEMORY_LEVEL = 5
"""A higher level finds no more matches in so small a window; each step doubles the memory."""
_LEVEL = 1
"""The fastest level; repetitions are decompressed at any level."""


class StreamDeflater:
    """Compresses what one end sends."""

    def __init__(self) -> None:
        self._zlib = zlib.compressobj(_LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL)

    def compress(self, data: bytes) -> bytes:
        """Return the compressed bytes, flushed so that the peer can read all of `data`."""
        return self._zlib.compress(data) + self._zlib.flush(zlib.Z_SYNC_FLUSH)


class StreamInflater:
    """Decompresses what the peer sent. `maximum`: decompressed bytes allowed per read."""

    def __init__(self, maximum: int = 2 * MAXIMUM_MESSAGE_BYTES) -> None:
        self._zlib = zlib.decompressobj(-_WINDOW_BITS)
        self._maximum = maximum

    def feed(self, data: bytes) -> bytes:
        """Return the decompressed bytes. Raises DecodeError; the stream is unusable afterwards."""
        try:
            decompressed = self._zlib.decompress(data, self._maximum)
        except zlib.error as exc:
            raise DecodeError(f"stream is not compressed: {exc}") from exc
        if self._zlib.unconsumed_tail or self._zlib.eof:
            raise DecodeError(f"stream ended, or is over the limit of {self._maximum} bytes")
        return decompressed
