"""A stopping node whose event loop was late reads what has arrived before it closes sessions."""

import asyncio
import socket
import time

import pytest
import uvloop

from bramblebeam.core.gateway.stopping import ADMITTING_SHARE, EXPIRY_SHARE
from platform_standins.world import running_world
from test_planned_stop import GRACE, stopping_node

MARGIN = 0.15
"""From the statement to the moment from which its session may be closed (seconds)."""
STALL_SECONDS = 0.3
"""How long the loop stands still (seconds): longer than the loss slack."""
LENGTH = 4096


async def open_session(port: int) -> socket.socket:
    """Return a raw connection with a session, to send on while the loop stands still."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setblocking(False)
    await loop.sock_connect(connection, ("127.0.0.1", port))
    await loop.sock_sendall(connection, b"START session tester\r\n")
    assert await loop.sock_recv(connection, LENGTH) == b"READY I -\r\n"
    return connection


class SendingStall(asyncio.Protocol):
    """Sends a statement on a connection and stands still, when it receives something.

    What receives data runs between two looks at the sockets. On uvloop timers come first then.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    def data_received(self, data: bytes) -> None:
        self._connection.send(b"QUERY id2 READ letter\r\n")
        time.sleep(STALL_SECONDS)


async def answer_after_stall(share: float, first: bytes) -> bytes:
    """Return what a client gets that sends while the loop of its stopping node stands still.

    `share`: share of the grace period at whose end the loop still stands still. `first`: statement
    that the client sends before the stop.
    """
    async with running_world() as world:
        # The node answers once it has its configuration.
        (await world.client()).close()
        connection = await open_session(world.nodes[0].callers.port)
        ours, theirs = socket.socketpair()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(lambda: SendingStall(connection), sock=ours)
        connection.send(b"QUERY id1 " + first + b"\r\n")
        assert (await loop.sock_recv(connection, LENGTH)).startswith(b"DONE")
        async with stopping_node(world):
            await asyncio.sleep(share * GRACE - MARGIN)
            theirs.send(b"x")
            answer = await loop.sock_recv(connection, LENGTH)
            connection.close()
        transport.close()
        theirs.close()
    return answer


@pytest.mark.parametrize(
    ("share", "first"),
    [
        pytest.param(ADMITTING_SHARE, b"SET level 1", id="session at rest"),
        pytest.param(EXPIRY_SHARE, b"BEGIN", id="transaction at rest"),
    ],
)
def test_a_stopping_node_reads_before_it_closes_a_session(share: float, first: bytes) -> None:
    """A success or a refusal is a complete answer."""
    answer = uvloop.run(answer_after_stall(share, first))
    assert b"READY" in answer
