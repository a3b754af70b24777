"""A TCP proxy on loopback: connections can go silent, be reset, be late, or pass one way only.

Faults strike the connections that are open; `delay` holds for all. A swallowed byte is read, so
that the sender's system sees it acknowledged: only a time-out of the sender's own notices that.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum


class Direction(Enum):
    """Where bytes go."""

    TO_TARGET = "to target"
    TO_CALLER = "to caller"


class ProxiedConnection:
    """One caller's connection and the one to the target that it is joined to.

    `cut`: the directions that swallow everything, also the end of the stream.
    """

    def __init__(self, proxy: TcpProxy, caller: asyncio.Transport) -> None:
        self.cut: set[Direction] = set()
        self.proxy = proxy
        self._ends: dict[Direction, asyncio.Transport] = {Direction.TO_CALLER: caller}
        self._early: list[bytes] = []
        self._late: dict[Direction, deque[tuple[float, bytes | None]]] = {
            direction: deque() for direction in Direction
        }

    @property
    def open(self) -> bool:
        """Whether no end of it has been closed."""
        return not any(end.is_closing() for end in self._ends.values())

    @property
    def caller_open(self) -> bool:
        """Whether the caller still keeps its end."""
        return not self._ends[Direction.TO_CALLER].is_closing()

    @property
    def silent(self) -> bool:
        """Whether it swallows everything in both directions."""
        return self.cut == set(Direction)

    def joined(self, target: asyncio.Transport) -> None:
        """Pass on to the target what the caller sent meanwhile."""
        self._ends[Direction.TO_TARGET] = target
        early, self._early = self._early, []
        for data in early:
            self._write(Direction.TO_TARGET, data)

    def passed(self, direction: Direction, data: bytes | None) -> None:
        """Pass bytes on, or the end of the stream (None), late where the proxy is.

        What comes behind late bytes stays behind them, also where the delay has ended meanwhile.
        """
        late = self._late[direction]
        if not self.proxy.delay and not late:
            self._deliver(direction, data)
            return
        loop = asyncio.get_running_loop()
        late.append((loop.time() + self.proxy.delay, data))
        if len(late) == 1:
            loop.call_at(late[0][0], self._deliver_late, direction)

    def ended(self, direction: Direction) -> None:
        """Tell the far end that the near one has closed, unless it is to hear nothing."""
        self.passed(direction, None)
        if not any(not end.is_closing() for end in self._ends.values()):
            self.proxy.connections.discard(self)

    def _deliver_late(self, direction: Direction) -> None:
        late = self._late[direction]
        _, data = late.popleft()
        self._deliver(direction, data)
        if late:
            loop = asyncio.get_running_loop()
            loop.call_at(max(late[0][0], loop.time()), self._deliver_late, direction)

    def _deliver(self, direction: Direction, data: bytes | None) -> None:
        if data is not None:
            self._write(direction, data)
            return
        end = self._ends.get(direction)
        if end is not None and direction not in self.cut:
            end.close()

    def reset(self) -> None:
        """End both sides at once."""
        for end in self._ends.values():
            end.abort()

    def drop_target(self) -> None:
        """End the target's side alone, as a target does that misses its caller."""
        end = self._ends.get(Direction.TO_TARGET)
        if end is not None:
            end.abort()

    def _write(self, direction: Direction, data: bytes) -> None:
        if direction in self.cut:
            return
        end = self._ends.get(direction)
        if end is None:
            self._early.append(data)
        elif not end.is_closing():
            end.write(data)


class _End(asyncio.Protocol):
    """One side: what it reads goes in `direction`."""

    def __init__(self, connection: ProxiedConnection, direction: Direction) -> None:
        self._connection = connection
        self._direction = direction

    def data_received(self, data: bytes) -> None:
        self._connection.passed(self._direction, data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.ended(self._direction)


class _CallerEnd(asyncio.Protocol):
    """The caller's side, from which the connection to the target is made."""

    def __init__(self, proxy: TcpProxy) -> None:
        self._proxy = proxy
        self._connection: ProxiedConnection | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._connection = ProxiedConnection(self._proxy, transport)  # type: ignore[arg-type]
        self._proxy.connections.add(self._connection)
        self._proxy.accepted += 1
        self._task = asyncio.get_running_loop().create_task(self._join(self._connection))

    def data_received(self, data: bytes) -> None:
        assert self._connection is not None
        self._connection.passed(Direction.TO_TARGET, data)

    def connection_lost(self, exc: Exception | None) -> None:
        assert self._connection is not None
        self._connection.ended(Direction.TO_TARGET)

    async def _join(self, connection: ProxiedConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            target, _ = await loop.create_connection(
                lambda: _End(connection, Direction.TO_CALLER), *self._proxy.target
            )
        except OSError:
            # As a target that refuses: the caller's connection ends without a word.
            connection.reset()
            return
        connection.joined(target)
        if not connection.caller_open:
            connection.ended(Direction.TO_TARGET)


class TcpProxy:
    """Listens on a port of loopback that the system chooses, and joins callers to `target`.

    `delay`: seconds by which bytes are late in each direction. `accepted`: callers so far.
    """

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self.target = (host, port)
        self.port = 0
        self.delay = 0.0
        self.accepted = 0
        self.connections: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _CallerEnd(self), "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Listen no more, and end every connection."""
        assert self._server is not None
        self._server.close()
        self.reset()

    def silence(self) -> set[ProxiedConnection]:
        """Let all open connections swallow everything for good; return them. New ones work."""
        struck = set(self.connections)
        for connection in struck:
            connection.cut.update(Direction)
        return struck

    def cut(self, direction: Direction) -> None:
        """Let all open connections swallow everything that goes in one direction."""
        for connection in self.connections:
            connection.cut.add(direction)

    def reset(self) -> None:
        """End all open connections at once."""
        for connection in list(self.connections):
            connection.reset()


@asynccontextmanager
async def proxied(port: int) -> AsyncIterator[TcpProxy]:
    """A running proxy before a port of loopback."""
    proxy = TcpProxy(port)
    await proxy.start()
    try:
        yield proxy
    finally:
        await proxy.stop()
