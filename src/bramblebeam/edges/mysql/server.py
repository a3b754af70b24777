"""The listener for MySQL clients."""

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
MAXIMUM_CONNECTION_ID = 2**32 - 1


class MysqlServer:
    """Accepts MySQL clients and runs one `CallerSession` for each.

    `users` maps a user's name to its password; None lets every user name in with any password.
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
        """Listen. Raises OSError where the address can't be had."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PacketStream(self._accept), self._host, self._port, backlog=BACKLOG
        )

    @property
    def address(self) -> Address:
        """The address listened on. Raises RuntimeError before `start`."""
        if self._server is None:
            raise RuntimeError("server is not started")
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    @property
    def connections(self) -> int:
        """How many clients are connected."""
        return len(self._connections)

    def kill(self, connection_id: int, query_only: bool) -> bool:
        """End a connection, or only the statement it runs. False: there is no such connection."""
        connection = self._connections.get(connection_id)
        if connection is None:
            return False
        kind = Interruption.QUERY_KILLED if query_only else Interruption.CONNECTION_KILLED
        connection.interrupt(kind)
        return True

    def close(self) -> None:
        """Stop listening; the clients that are connected stay."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Stop listening and end every connection; return when all sessions are closed."""
        self.close()
        for connection in list(self._connections.values()):
            connection.interrupt(Interruption.SERVER_STOPPED)
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _accept(self, stream: PacketStream) -> None:
        connection_id = self._free_id()
        connection = CallerConnection(
            connection_id, stream, self._session_factory(), self._accounts, self._ssl
        )
        self._connections[connection_id] = connection
        task = asyncio.get_running_loop().create_task(connection.run())
        self._tasks[connection_id] = task
        task.add_done_callback(lambda done: self._ended(connection_id, done))

    def _free_id(self) -> int:
        return next(number for number in self._ids if number not in self._connections)

    def _ended(self, connection_id: int, task: asyncio.Task[None]) -> None:
        self._connections.pop(connection_id, None)
        self._tasks.pop(connection_id, None)
        if not task.cancelled() and task.exception() is not None:
            asyncio.get_running_loop().call_exception_handler(
                {"message": "caller connection failed", "exception": task.exception()}
            )
