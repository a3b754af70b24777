"""Links: TCP proxies that can also discard all traffic or refuse connections for a while."""

from __future__ import annotations

import asyncio

from platform_standins.proxy import Direction, TcpProxy, _CallerEnd


class _LinkEnd(_CallerEnd):
    """The caller's side of a connection, which may be opened while the link is dark."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        link, connection = self._proxy, self._connection
        assert connection is not None
        if isinstance(link, Link) and link.dark:
            connection.cut.update(Direction)


class Link(TcpProxy):
    """A proxy that can discard the traffic of all connections, also new ones, or refuse them.

    `dark`: whether it discards traffic. Connections that were open at the time, or were opened
    meanwhile, deliver nothing even afterwards. Connections are refused only while the target
    process is down. No process should connect from `own_host`: an outgoing connection could
    take the port while the link does not listen.
    """

    def __init__(self, port: int, host: str, own_host: str) -> None:
        super().__init__(port, host)
        self.dark = False
        self.own_host = own_host

    async def start(self) -> None:
        """Listen, on the previous port if there was one."""
        if self.listening:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _LinkEnd(self), self.own_host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def listening(self) -> bool:
        """Whether the link accepts connections."""
        return self._server is not None and self._server.is_serving()

    def go_dark(self) -> None:
        """Discard the traffic of all connections until `dark` is reset."""
        self.dark = True
        self.silence()

    def refuse(self) -> None:
        """Refuse new connections until the next `start()`."""
        assert self._server is not None
        self._server.close()


async def open_link(host: str, port: int, own_host: str = "127.0.0.1") -> Link:
    """Return a running link to `host`:`port`. `own_host`: address to listen on."""
    link = Link(port, host, own_host)
    await link.start()
    return link
