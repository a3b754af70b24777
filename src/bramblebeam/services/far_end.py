"""Sets TCP options by which the operating system closes streams to unreachable peers.

Keep-alive probes are sent only on idle streams. Together with the limit for unacknowledged bytes
they detect a machine that is down and a network partition. A peer whose TCP stack acknowledges but
whose process does not answer is detected only by the timeout of the waiting request.
"""

from __future__ import annotations

import asyncio
import socket
from typing import NamedTuple


class KeepaliveOptions(NamedTuple):
    """TCP keep-alive options of one kind of stream.

    `idle`: seconds without traffic before the first probe. `interval`: seconds between probes.
    `probes`: the stream is closed after this many unanswered probes. `user_timeout_ms`: the stream
    is closed when sent bytes remain unacknowledged for this long.
    """

    idle: int
    interval: int
    probes: int
    user_timeout_ms: int


DATABASE_STREAM = KeepaliveOptions(5, 2, 2, 4_000)
"""All pooled connections but one are idle for a second at most, so few probes are sent."""
STORE_STREAM = KeepaliveOptions(1, 1, 2, 3_000)
"""A watch is idle for its whole request, and losing it delays updates. So probes start after one
second, at the few nodes that read the store, and close the stream before the request times out."""
PEER_STREAM = KeepaliveOptions(5, 2, 2, 4_000)
"""Closes idle streams; forwarded statements have a shorter timeout of their own."""
CALLER_STREAM = KeepaliveOptions(15, 5, 3, 15_000)
"""Callers are numerous and idle for long. A lost one costs memory and a descriptor, but no database
connection, since its transaction has an idle timeout. The limit is longer than a network partition
of a few seconds, which a caller survives."""


def set_keepalive(transport: asyncio.BaseTransport, options: KeepaliveOptions) -> None:
    """Set a stream's socket options; a transport without a socket is left unchanged."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, options.idle)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, options.interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, options.probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, options.user_timeout_ms)
