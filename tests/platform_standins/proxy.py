"""A TCP proxy on loopback that can discard, delay or reset the traffic of its connections.

Faults apply to the open connections, `delay` to all. Discarded bytes are read from the socket, so
that the sender's system sees them acknowledged: only a timeout of the sender itself detects this.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum


class Direction(Enum):
    """Direction of traffic."""

    TO_TARGET = "to target"
    TO_CALLER = "to caller"


class ProxiedConnection:
    """A client connection and the connection to the target that it is relayed to.

    `cut`: directions in which everything is discarded, including the end of the stream.
    """

    def __init__(self, proxy: TcpProxy, caller: asyncio.Transport) -> None:
        self.cut: set[Direction] = set()
        self.proxy = proxy
        self._ends: dict[Direction, asyncio.Transport] = {Direction.TO_CALLER: caller}
        self._unsent: list[bytes] = []
        self._delayed: dict[Direction, deque[tuple[float, bytes | None]]] = {
            direction: deque() for direction in Direction
        }

    @property
    def open(self) -> bool:
        """Whether neither side has been closed."""
        return not any(end.is_closing() for end in self._ends.values())

    @property
    def caller_open(self) -> bool:
        """Whether the client's side is open."""
        return not self._ends[Direction.TO_CALLER].is_closing()

    @property
    def silent(self) -> bool:
        """Whether the traffic of both directions is discarded."""
        return self.cut == set(Direction)

    def joined(self, target: asyncio.Transport) -> None:
        """Attach the target's side and forward to it what the client has sent so far."""
        self._ends[Direction.TO_TARGET] = target
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self._write(Direction.TO_TARGET, data)

    def passed(self, direction: Direction, data: bytes | None) -> None:
        """Forward bytes, or the end of the stream (None), after the proxy's delay.

        The order is kept: data behind delayed bytes waits for them even after the delay has ended.
        """
        delayed = self._delayed[direction]
        if not self.proxy.delay and not delayed:
            self._deliver(direction, data)
            return
        loop = asyncio.get_running_loop()
        delayed.append((loop.time() + self.proxy.delay, data))
        if len(delayed) == 1:
            loop.call_at(delayed[0][0], self._deliver_delayed, direction)

    def ended(self, direction: Direction) -> None:
        """Forward the end of the stream from one side, unless its direction is cut."""
        self.passed(direction, None)
        if not any(not end.is_closing() for end in self._ends.values()):
            self.proxy.connections.discard(self)

    def _deliver_delayed(self, direction: Direction) -> None:
        delayed = self._delayed[direction]
        _, data = delayed.popleft()
        self._deliver(direction, data)
        if delayed:
            loop = asyncio.get_running_loop()
            loop.call_at(max(delayed[0][0], loop.time()), self._deliver_delayed, direction)

    def _deliver(self, direction: Direction, data: bytes | None) -> None:
        if data is not None:
            self._write(direction, data)
            return
        end = self._ends.get(direction)
        if end is not None and direction not in self.cut:
            end.close()

    def reset(self) -> None:
        """Reset both sides."""
        for end in self._ends.values():
            end.abort()

    def drop_target(self) -> None:
        """Reset only the target's side, as a target does whose client is unresponsive."""
        end = self._ends.get(Direction.TO_TARGET)
        if end is not None:
            end.abort()

    def _write(self, direction: Direction, data: bytes) -> None:
        if direction in self.cut:
            return
        end = self._ends.get(direction)
        if end is None:
            self._unsent.append(data)
        elif not end.is_closing():
            end.write(data)


class _End(asyncio.Protocol):
    """One side of a connection; forwards received data in `direction`."""

    def __init__(self, connection: ProxiedConnection, direction: Direction) -> None:
        self._connection = connection
        self._direction = direction

    def data_received(self, data: bytes) -> None:
        self._connection.passed(self._direction, data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.ended(self._direction)


class _CallerEnd(asyncio.Protocol):
    """The client's side, which opens the connection to the target."""

    def __init__(self, proxy: TcpProxy) -> None:
        self._proxy = proxy
        self._connection: ProxiedConnection | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._connection = ProxiedConnection(self._proxy, transport)  # type: ignore[arg-type]
        self._proxy.connections.add(self._connection)
        self._proxy.accepted += 1
        self._task = asyncio.get_running_loop().create_task(self._connect_target(self._connection))

    def data_received(self, data: bytes) -> None:
        assert self._connection is not None
        self._connection.passed(Direction.TO_TARGET, data)

    def connection_lost(self, exc: Exception | None) -> None:
        assert self._connection is not None
        self._connection.ended(Direction.TO_TARGET)

    async def _connect_target(self, connection: ProxiedConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            target, _ = await loop.create_connection(
                lambda: _End(connection, Direction.TO_CALLER), *self._proxy.target
            )
        except OSError:
            # The target refused: reset the client's connection, without an error message.
            connection.reset()
            return
        connection.joined(target)
        if not connection.caller_open:
            connection.ended(Direction.TO_TARGET)


class TcpProxy:
    """Listens on an ephemeral loopback port and relays connections to `target`.

    `delay`: delay in each direction (seconds). `accepted`: number of connections accepted so far.
    """

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self.target = (host, port)
        self.port = 0
        self.delay = 0.0
        self.accepted = 0
        self.connections: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _CallerEnd(self), "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        assert self._server is not None
        self._server.close()
        self.reset()

    def silence(self) -> set[ProxiedConnection]:
        """Discard all traffic of the open connections for good, and return them. New ones work."""
        affected = set(self.connections)
        for connection in affected:
            connection.cut.update(Direction)
        return affected

    def cut(self, direction: Direction) -> None:
        """Discard the traffic of the open connections in one direction, for good."""
        for connection in self.connections:
            connection.cut.add(direction)

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.reset()


@asynccontextmanager
async def proxied(port: int) -> AsyncIterator[TcpProxy]:
    """Run a proxy in front of a loopback port."""
    proxy = TcpProxy(port)
    await proxy.start()
    try:
        yield proxy
    finally:
        await proxy.stop()
