"""The proxy of the tests: connections that go silent, are reset, are late, or pass one way."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from platform_standins.proxy import Direction, TcpProxy, proxied
from platform_standins.world import WAIT_TIMEOUT, until

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@asynccontextmanager
async def echo() -> AsyncIterator[tuple[TcpProxy, list[bytes]]]:
    """A proxy before a server that answers with what it gets, and what that server got."""
    taken: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1024):
            taken.append(data)
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with proxied(server.sockets[0].getsockname()[1]) as proxy:
        yield proxy, taken
    server.close()


async def dial(proxy: TcpProxy) -> Stream:
    return await asyncio.open_connection("127.0.0.1", proxy.port)


async def ask(stream: Stream, data: bytes) -> bytes:
    stream[1].write(data)
    async with asyncio.timeout(WAIT_TIMEOUT):
        return await stream[0].readexactly(len(data))


async def test_bytes_pass() -> None:
    async with echo() as (proxy, _):
        assert await ask(await dial(proxy), b"hello") == b"hello"


async def test_silenced_connections_swallow_while_new_ones_work() -> None:
    async with echo() as (proxy, taken):
        old = await dial(proxy)
        assert await ask(old, b"one") == b"one"
        (struck,) = proxy.silence()
        old[1].write(b"two")
        assert await ask(await dial(proxy), b"three") == b"three"
        assert taken == [b"one", b"three"]
        assert struck.silent
        assert struck.open


@pytest.mark.parametrize(
    ("direction", "arrives"), [(Direction.TO_TARGET, False), (Direction.TO_CALLER, True)]
)
async def test_one_way(direction: Direction, arrives: bool) -> None:
    async with echo() as (proxy, taken):
        old = await dial(proxy)
        assert await ask(old, b"one") == b"one"
        proxy.cut(direction)
        old[1].write(b"two")
        assert await ask(await dial(proxy), b"three") == b"three"
        if arrives:
            await until(lambda: b"two" in taken)
        assert (b"two" in taken) is arrives


async def test_reset_ends_open_connections() -> None:
    async with echo() as (proxy, _):
        old = await dial(proxy)
        assert await ask(old, b"one") == b"one"
        proxy.reset()
        async with asyncio.timeout(WAIT_TIMEOUT):
            assert await old[0].read() == b""
        assert await ask(await dial(proxy), b"two") == b"two"


async def test_a_delay_keeps_the_order() -> None:
    async with echo() as (proxy, _):
        proxy.delay = 0.01
        stream = await dial(proxy)
        stream[1].write(b"a")
        assert await ask(stream, b"bc") == b"ab"
