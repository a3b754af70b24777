"""Large answers of the store, and of other nodes, over slow links.

Guards against nodes that never learn a large configuration: its list took longer than the timeout
of a whole call, was given up while it arrived, and was requested again without end.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bramblebeam.core.feed.messages import FollowReply, ListName
from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.revision import FIRST_ERA, Revision
from bramblebeam.platform import http
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.http import HttpClient, HttpError
from bramblebeam.platform.store import CALL_TIMEOUT_SECONDS, StoreClient
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.feed.peers import PeerSource, route_items
from bramblebeam.services.transport.messages import TIMED_OUT, PeerFailure, PeerRequest

TIMEOUT = 0.3
PART_INTERVAL = 0.1
REPLY_SECONDS = 2.0
TIMED_OUT_REPLY = PeerFailure(sent=True, detail=TIMED_OUT)
PARTS = 8
"""Their arrival takes longer than TIMEOUT."""
BODY = b'{"items": [], "has_more": false, "events": [], "timestamp": 1}'


@asynccontextmanager
async def slow_server(parts: int, pause: float) -> AsyncIterator[Address]:
    """Serve BODY in PARTS parts; the connection is silent after `parts` of them."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY))
        size = -(-len(BODY) // PARTS)
        for part in range(parts):
            await asyncio.sleep(pause)
            writer.write(BODY[part * size : (part + 1) * size])

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()


async def test_an_answer_that_keeps_arriving_is_received_whole() -> None:
    async with slow_server(PARTS, PART_INTERVAL) as address:
        answer = await HttpClient(address).call("GET", "/", TIMEOUT, part_timeout=TIMEOUT)
        assert answer.body == BODY


@pytest.mark.parametrize(
    ("parts", "part_timeout", "longest"),
    [
        pytest.param(PARTS, None, 30.0, id="slow, for a call that must be quick"),
        pytest.param(PARTS - 1, TIMEOUT, 30.0, id="silent before its end"),
        pytest.param(PARTS, TIMEOUT, 0.0, id="too slow in all"),
    ],
)
async def test_an_answer_is_given_up(
    parts: int, part_timeout: float | None, longest: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http, "LONGEST_ANSWER_SECONDS", longest)
    async with slow_server(parts, PART_INTERVAL) as address:
        with pytest.raises(HttpError):
            await HttpClient(address).call("GET", "/", TIMEOUT, part_timeout=part_timeout)


@pytest.mark.parametrize("is_watch", [False, True], ids=["list", "watch"])
async def test_the_stores_lists_arrive_over_a_slow_link(is_watch: bool) -> None:
    pause = CALL_TIMEOUT_SECONDS / PARTS + PART_INTERVAL
    async with slow_server(PARTS, pause) as address:
        client = StoreClient(address, StoreCallCounter(), StoreEras())
        if is_watch:
            changes = await client.watch("config", Revision(FIRST_ERA, 0), 0.0)
            assert changes.revision.number == 1
        else:
            assert (await client.list("config"))[1].number == 1


class SlowPeer:
    """A kernel whose transport delivers a node's reply after a while."""

    async def call(self, service: str, request: PeerRequest) -> FollowReply | PeerFailure:
        if request.timeout <= REPLY_SECONDS:
            return TIMED_OUT_REPLY
        return FollowReply(True, whole=True, revision=7, era=FIRST_ERA)


async def test_a_list_of_another_node_arrives_over_a_slow_link() -> None:
    source = PeerSource(SlowPeer(), NodeId("node-1"), ListName.ROUTES, route_items)  # type: ignore[arg-type]
    assert (await source.list()).revision == Revision(FIRST_ERA, 7)
