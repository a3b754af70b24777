"""Has the system notice that the far end of a stream is gone, or that nothing reaches it.

Keep-alive probes are sent only where nothing else is. They, and the bound for bytes that nobody
acknowledges, show a dark machine and a cut. A far end that acknowledges and says nothing is shown
only by a time-out of whoever waits for its answer.
"""

from __future__ import annotations

import asyncio
import socket
from typing import NamedTuple


class FarEndWatch(NamedTuple):
    """Bounds of one kind of stream.

    `idle`: seconds of rest before the first keep-alive probe. `interval`: seconds between two.
    `probes`: so many without an answer end the stream. `unacknowledged`: milliseconds after which
    bytes that were not acknowledged end it.
    """

    idle: int
    interval: int
    probes: int
    unacknowledged: int


DATABASE_STREAM = FarEndWatch(5, 2, 2, 4_000)
"""Pooled connections rest for a second, but for one: its probes are few."""
STORE_STREAM = FarEndWatch(1, 1, 2, 3_000)
"""A watch rests for its whole question, and its loss delays news: probes from the first second on,
at the few nodes that read the store. It ends before the question's own time-out."""
PEER_STREAM = FarEndWatch(5, 2, 2, 4_000)
"""A forwarded statement's own silence bound is shorter; this one ends streams at rest."""
CALLER_STREAM = FarEndWatch(15, 5, 3, 15_000)
"""Callers rest for long, and are many: a lost one costs memory and a descriptor, no database's
connection, as a transaction ends with its own bound of rest. Longer than a cut of some seconds that
the caller outlasts."""


def set_keepalive(transport: asyncio.BaseTransport, watch: FarEndWatch) -> None:
    """Set a stream's socket options; a transport without a socket is left as it is."""
    connected = transport.get_extra_info("socket")
    if connected is None:
        return
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, watch.idle)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, watch.interval)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, watch.probes)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, watch.unacknowledged)
