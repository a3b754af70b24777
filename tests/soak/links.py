"""The ways between two parties: each has a proxy of its own, which can also refuse callers."""

from __future__ import annotations

import asyncio

from platform_standins.proxy import TcpProxy, _CallerEnd


class Link(TcpProxy):
    """A proxy whose port can refuse connections for a while, as that of a process which is gone."""

    async def start(self) -> None:
        """Listen, at the same port as before if there was one."""
        if self.listening:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _CallerEnd(self), "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def listening(self) -> bool:
        """Whether it takes connections."""
        return self._server is not None and self._server.is_serving()

    def refuse(self) -> None:
        """Refuse new connections until the next start."""
        assert self._server is not None
        self._server.close()


async def open_link(host: str, port: int) -> Link:
    """Return a link that passes everything on."""
    link = Link(port, host)
    await link.start()
    return link
