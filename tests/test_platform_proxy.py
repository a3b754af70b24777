"""Tests of the tests' TCP proxy: silent, reset, delayed and one-way connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from platform_standins.proxy import Direction, TcpProxy, proxied
from platform_standins.world import WAIT_TIMEOUT, until

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@asynccontextmanager
async def echo() -> AsyncIterator[tuple[TcpProxy, list[bytes]]]:
    """Yield a proxy in front of an echo server, and the list of chunks the server received."""
    received: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1024):
            received.append(data)
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with proxied(server.sockets[0].getsockname()[1]) as proxy:
        yield proxy, received
    server.close()


async def connect(proxy: TcpProxy) -> Stream:
    return await asyncio.open_connection("127.0.0.1", proxy.port)


async def exchange(stream: Stream, data: bytes) -> bytes:
    stream[1].write(data)
    async with asyncio.timeout(WAIT_TIMEOUT):
        return await stream[0].readexactly(len(data))


async def test_bytes_pass() -> None:
    async with echo() as (proxy, _):
        assert await exchange(await connect(proxy), b"hello") == b"hello"


async def test_silenced_connections_drop_data_while_new_ones_work() -> None:
    async with echo() as (proxy, received):
        old = await connect(proxy)
        assert await exchange(old, b"one") == b"one"
        (silenced,) = proxy.silence()
        old[1].write(b"two")
        assert await exchange(await connect(proxy), b"three") == b"three"
        assert received == [b"one", b"three"]
        assert silenced.silent
        assert silenced.open


@pytest.mark.parametrize(
    ("direction", "arrives"), [(Direction.TO_TARGET, False), (Direction.TO_CALLER, True)]
)
async def test_cut_of_one_direction(direction: Direction, arrives: bool) -> None:
    async with echo() as (proxy, received):
        old = await connect(proxy)
        assert await exchange(old, b"one") == b"one"
        proxy.cut(direction)
        old[1].write(b"two")
        assert await exchange(await connect(proxy), b"three") == b"three"
        if arrives:
            await until(lambda: b"two" in received)
        assert (b"two" in received) is arrives


async def test_reset_ends_open_connections() -> None:
    async with echo() as (proxy, _):
        old = await connect(proxy)
        assert await exchange(old, b"one") == b"one"
        proxy.reset()
        async with asyncio.timeout(WAIT_TIMEOUT):
            assert await old[0].read() == b""
        assert await exchange(await connect(proxy), b"two") == b"two"


async def test_delay_preserves_the_order() -> None:
    async with echo() as (proxy, _):
        proxy.delay = 0.01
        stream = await connect(proxy)
        stream[1].write(b"a")
        assert await exchange(stream, b"bc") == b"ab"
