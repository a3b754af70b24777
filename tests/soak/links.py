"""The ways between two parties: each has a proxy that can go dark or refuse callers."""

from __future__ import annotations

import asyncio

from platform_standins.proxy import Direction, TcpProxy, _CallerEnd


class _LinkEnd(_CallerEnd):
    """The caller's side of a connection that may be made while the link is dark."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        link, connection = self._proxy, self._connection
        assert connection is not None
        if isinstance(link, Link) and link.dark:
            connection.cut.update(Direction)


class Link(TcpProxy):
    """A proxy that can be cut off for a while, also for new connections, or refuse them.

    `dark`: whether it is cut off. What was open or opened meanwhile stays silent for good. Only the
    port of a process that is gone refuses; `own_host` is to be an address from which nobody dials,
    so that the port is not taken meanwhile.
    """

    def __init__(self, port: int, host: str, own_host: str) -> None:
        super().__init__(port, host)
        self.dark = False
        self.own_host = own_host

    async def start(self) -> None:
        """Listen, at the same port as before if there was one."""
        if self.listening:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _LinkEnd(self), self.own_host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def listening(self) -> bool:
        """Whether it takes connections."""
        return self._server is not None and self._server.is_serving()

    def go_dark(self) -> None:
        """Be cut off."""
        self.dark = True
        self.silence()

    def refuse(self) -> None:
        """Refuse new connections until the next start."""
        assert self._server is not None
        self._server.close()


async def open_link(host: str, port: int, own_host: str = "127.0.0.1") -> Link:
    """Return a link that passes everything on. `own_host`: where it listens."""
    link = Link(port, host, own_host)
    await link.start()
    return link
