"""The server for MySQL clients."""

import asyncio
import itertools
import ssl
from collections.abc import Callable, Mapping

from bramblebeam.core.identity import Address
from bramblebeam.edges.mysql.connection import CallerConnection, Interruption
from bramblebeam.edges.mysql.handshake import Accounts
from bramblebeam.edges.mysql.results import (
    CallerError,
    ConnectionInfo,
    OkResult,
    RowsResult,
)
from bramblebeam.edges.mysql.session import CallerSession
from bramblebeam.edges.mysql.stream import PacketStream

__all__ = [
    "CallerError",
    "CallerSession",
    "ConnectionInfo",
    "MysqlServer",
    "OkResult",
    "RowsResult",
]

BACKLOG = 1024
SENT_CHECK_INTERVAL = 0.02
"""Interval at which `wait_sent` checks what is still to be sent (seconds)."""
MAXIMUM_CONNECTION_ID = 2**32 - 1


class MysqlServer:
    """Accepts MySQL clients and runs one `CallerSession` for each.

    `users` maps user names to passwords. If it is None, any user name and password are accepted.
    """

    def __init__(
        self,
        session_factory: Callable[[], CallerSession],
        host: str,
        port: int,
        ssl: ssl.SSLContext | None = None,
        users: Mapping[str, str] | None = None,
    ) -> None:
        self._session_factory = session_factory
        self._host = host
        self._port = port
        self._ssl = ssl
        self._accounts = Accounts(None if users is None else dict(users))
        self._ids = itertools.cycle(range(1, MAXIMUM_CONNECTION_ID))
        self._connections: dict[int, CallerConnection] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening. Raises OSError if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PacketStream(self._accept), self._host, self._port, backlog=BACKLOG
        )

    @property
    def address(self) -> Address:
        """The bound address. Raises RuntimeError before `start`."""
        if self._server is None:
            raise RuntimeError("server is not started")
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    @property
    def connections(self) -> int:
        """The number of connected clients."""
        return len(self._connections)

    def kill(self, connection_id: int, query_only: bool) -> bool:
        """Kill a connection, or only its statement. Return False if there is no such connection."""
        connection = self._connections.get(connection_id)
        if connection is None:
            return False
        interruption = Interruption.QUERY_KILLED if query_only else Interruption.CONNECTION_KILLED
        connection.interrupt(interruption)
        return True

    def close(self) -> None:
        """Stop listening. Connected clients stay connected."""
        if self._server is not None:
            self._server.close()

    async def wait_sent(self) -> None:
        """Return once every response has left this process, whose end would lose the rest of it."""
        while any(one.has_unsent for one in self._connections.values()):  # noqa: ASYNC110
            await asyncio.sleep(SENT_CHECK_INTERVAL)

    async def stop(self) -> None:
        """Stop listening and end all connections. Return when all sessions are closed."""
        self.close()
        for connection in list(self._connections.values()):
            connection.interrupt(Interruption.SERVER_STOPPED)
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _accept(self, stream: PacketStream) -> None:
        connection_id = self._next_free_id()
        connection = CallerConnection(
            connection_id, stream, self._session_factory(), self._accounts, self._ssl
        )
        self._connections[connection_id] = connection
        task = asyncio.get_running_loop().create_task(connection.run())
        self._tasks[connection_id] = task
        task.add_done_callback(lambda done: self._on_connection_done(connection_id, done))

    def _next_free_id(self) -> int:
        return next(number for number in self._ids if number not in self._connections)

    def _on_connection_done(self, connection_id: int, task: asyncio.Task[None]) -> None:
        self._connections.pop(connection_id, None)
        self._tasks.pop(connection_id, None)
        if not task.cancelled() and task.exception() is not None:
            asyncio.get_running_loop().call_exception_handler(
                {"message": "caller connection failed", "exception": task.exception()}
            )
