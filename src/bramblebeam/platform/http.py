"""HTTP/1.1 over asyncio streams, with h11: a client for one address, and a small server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import h11

from bramblebeam.core.identity import Address
from bramblebeam.services.far_end import CALLER_STREAM, STORE_STREAM, set_keepalive

_READ_BYTES = 65_536
_CONNECT_SECONDS = 1.0
LONGEST_ANSWER_SECONDS = 30.0
"""How long an answer may take in all if it is allowed to arrive in parts (seconds)."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""A longer body is given up. A page has a megabyte, a watch the changes of some seconds."""
JSON = "application/json"


class HttpError(Exception):
    """No answer was received. `sent`: the request may have been executed."""

    def __init__(self, sent: bool, detail: str) -> None:
        super().__init__(detail)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status, body and headers of an answer; header names are in lower case."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None if it is missing."""
        return next((value for found, value in self.headers if found == name), None)


class HttpClient:
    """Sends requests to one address, one at a time, over a persistent connection."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._protocol: h11.Connection | None = None

    async def call(
        self,
        method: str,
        target: str,
        timeout: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        part_timeout: float | None = None,
    ) -> HttpAnswer:
        """Send a request and return the answer; `timeout` in seconds. Raises HttpError.

        `part_timeout`: if given, `timeout` ends with the first part of the answer, and each further
        part may take this long (seconds): a large answer over a slow link takes any time.
        """
        sent = False
        loop = asyncio.get_running_loop()
        latest = loop.time() + timeout + LONGEST_ANSWER_SECONDS
        try:
            async with asyncio.timeout(timeout) as bound:

                def extend() -> None:
                    if part_timeout is not None:
                        bound.reschedule(min(loop.time() + part_timeout, latest))

                await self._connect()
                sent = True
                return await self._exchange(method, target, body, headers, extend)
        except (OSError, TimeoutError, EOFError, h11.ProtocolError) as error:
            self.close()
            raise HttpError(sent, f"{method} {target}: {error!r}") from error
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = self._protocol = None

    async def _connect(self) -> None:
        if self._writer is not None:
            return
        async with asyncio.timeout(_CONNECT_SECONDS):
            self._reader, self._writer = await asyncio.open_connection(*self._address)
        set_keepalive(self._writer.transport, STORE_STREAM)
        self._protocol = h11.Connection(h11.CLIENT)

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        received_part: Callable[[], None],
    ) -> HttpAnswer:
        protocol, writer, reader = self._protocol, self._writer, self._reader
        assert protocol is not None and writer is not None and reader is not None
        fields = [("Host", f"{self._address.host}:{self._address.port}"), *headers]
        if body or method != "GET":
            fields += [("Content-Type", JSON), ("Content-Length", str(len(body)))]
        request = h11.Request(method=method, target=target, headers=fields)
        data = protocol.send(request) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        writer.write(data)
        answer = await self._read_answer(protocol, reader, received_part)
        if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
            protocol.start_next_cycle()
        else:
            self.close()
        return answer

    @staticmethod
    async def _read_answer(
        protocol: h11.Connection, reader: asyncio.StreamReader, received_part: Callable[[], None]
    ) -> HttpAnswer:
        status = 0
        headers: tuple[tuple[str, str], ...] = ()
        parts: list[bytes] = []
        size = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(_READ_BYTES))
                received_part()
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = _decode_headers(event.headers)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(parts[-1])
                if size > MAX_ANSWER_BYTES:
                    raise EOFError(f"the answer has more than {MAX_ANSWER_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return HttpAnswer(status, b"".join(parts), headers)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("the connection was closed")


def _decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[str, str], ...]:
    return tuple((name.decode("latin-1"), value.decode("latin-1")) for name, value in headers)


Handler = Callable[[str, str], Awaitable[HttpAnswer]]
"""Returns the answer to a request, given its method and path."""


class HttpServer:
    """Serves requests without bodies, such as probes and metrics."""

    def __init__(self, address: Address, handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Start to listen; return the bound address. Raises OSError."""
        self._server = await asyncio.start_server(self._serve, *self._address)
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = h11.Connection(h11.SERVER)
        set_keepalive(writer.transport, CALLER_STREAM)
        try:
            while await self._serve_one(protocol, reader, writer):
                protocol.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request: h11.Request | None = None
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(_READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        assert request is not None
        answer = await self._handler(request.method.decode(), request.target.decode())
        headers = [("Content-Length", str(len(answer.body))), ("Content-Type", "text/plain")]
        data = protocol.send(h11.Response(status_code=answer.status, headers=headers)) or b""
        data += protocol.send(h11.Data(data=answer.body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        writer.write(data)
        await writer.drain()
        return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
