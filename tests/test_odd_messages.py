"""Tests that odd values in messages of other nodes give the typed error that callers handle."""

from __future__ import annotations

import asyncio
import math
from typing import Any, cast

import cbor2
import pytest
import uvloop

from bramblebeam.core.feed.messages import DatabaseItem, FollowReply, ListName
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import (
    UNKNOWN_INCARNATION,
    Address,
    GroupId,
    InstanceId,
    NodeId,
    ZoneId,
    incarnation_of,
)
from bramblebeam.core.revision import Revision
from bramblebeam.core.role import Role
from bramblebeam.core.tenants import NO_TENANT
from bramblebeam.kernel import Kernel
from bramblebeam.platform.database_connection import LineDatabaseConnector
from bramblebeam.services.feed.peers import PeerSource, database_items, route_items
from bramblebeam.services.feed.ports import SourceUnavailableError
from bramblebeam.services.gateway.ports import ConnectError
from bramblebeam.services.transport.datagrams import DatagramEndpoint
from bramblebeam.wire.codec import Codec, DecodeError
from bramblebeam.wire.gateway_registry import GATEWAY_NODE_MESSAGES

CODEC = Codec(GATEWAY_NODE_MESSAGES)
TAG = next(tag for tag, cls in GATEWAY_NODE_MESSAGES.items() if cls is FollowReply)
LONGEST_ERROR = 600
HUGE: list[Any] = [10**400, 10**5_000, 1 << 64, -(1 << 64) - 1]


# Integers of any size were accepted; one with over 4,300 digits as a tag raised ValueError.
@pytest.mark.parametrize(
    "body",
    [
        *([odd] for odd in HUGE),
        *([TAG, True, True, odd] for odd in HUGE),
        *([TAG, True, True, 1, odd] for odd in [*HUGE[:2], math.nan]),
        [TAG, True, True, 1, 0.0, [odd := 10**5_000] * 10_000],
        [True, True],
    ],
    ids=lambda body: f"{len(body)} fields",
)
def test_odd_number_in_a_message_is_refused(body: list[Any]) -> None:
    with pytest.raises(DecodeError) as caught:
        CODEC.decode(cbor2.dumps(body))
    assert len(str(caught.value)) < LONGEST_ERROR


# Digests of members use all 64 bits: nodes whose bound was lower refused each other's messages.
@pytest.mark.parametrize("digest", [0, (1 << 64) - 1])
def test_digest_of_64_bits_is_a_message(digest: int) -> None:
    message = FollowReply(True, revision=digest)
    assert CODEC.decode(CODEC.encode(message)) == message


def test_infinite_age_is_a_message() -> None:
    message = FollowReply(True, True, 7, math.inf)
    assert CODEC.decode(CODEC.encode(message)) == message


class OneReply:
    """A kernel whose other nodes all send the same reply."""

    def __init__(self, reply: FollowReply) -> None:
        self._reply = reply

    async def call(self, service: str, request: Any) -> FollowReply:
        return self._reply


# A list at a revision that no store reaches hid all later changes; a negative age confirmed it for
# ever.
@pytest.mark.parametrize(
    "reply",
    [FollowReply(True, True, 1 << 40), FollowReply(True, True, -1)]
    + [FollowReply(True, True, 7, age) for age in (-1.0, -math.inf)],
)
async def test_list_of_another_node_with_an_odd_revision_or_age_is_refused(
    reply: FollowReply,
) -> None:
    kernel = cast(Kernel, OneReply(reply))
    source = PeerSource(kernel, NodeId("n"), ListName.ROUTES, route_items)
    with pytest.raises(SourceUnavailableError):
        await source.list()
    with pytest.raises(SourceUnavailableError):
        await source.changes(Revision(0, 1), 0.0)


# What followed the blank was read as a start time, which ended the feed (ValueError).
def test_name_with_a_blank_from_another_node_has_no_start_time() -> None:
    entry = DatabaseEntry(
        InstanceId("a x"),
        GroupId("g"),
        Address("127.0.0.1", 1),
        ZoneId("z"),
        Role.REPLICA,
        False,
        1,
    )
    (found,) = database_items(FollowReply(True, databases=(DatabaseItem("a x", 4, entry),)))
    assert found.item is not None
    assert incarnation_of(found.item.instance) == UNKNOWN_INCARNATION


ODD_HOSTS = ["a..b", "x" * 64 + ".b", "x" * 100_000, "\udc80", "a\0b", "", "\uff11.0.0.1"]
ODD_ADDRESSES = [Address(host, 80) for host in ODD_HOSTS]
ODD_ADDRESSES += [Address("127.0.0.1", port) for port in (99_999, -1, 0, 1 << 62)]


# UnicodeError and OverflowError passed what the callers of these handle; an odd address of one
# node ended the transport of all others (ValueError of a datagram).
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_odd_address_of_another_node_ends_nothing(run: Any) -> None:
    async def connect_and_send(address: Address) -> None:
        entry = DatabaseEntry(
            InstanceId("a"), GroupId("g"), address, ZoneId("z"), Role.REPLICA, False, 1
        )
        with pytest.raises(ConnectError):
            await LineDatabaseConnector().connect(entry, NO_TENANT, 5.0)
        await send_datagram(address)

    for address in ODD_ADDRESSES:
        run(connect_and_send(address))


async def send_datagram(address: Address) -> None:
    loop = asyncio.get_running_loop()
    owner = OneReply(FollowReply(False))
    owner.node, owner.traffic = NodeId("n"), owner  # type: ignore[attr-defined]
    owner.count_sent = lambda *counted: None  # type: ignore[attr-defined]
    endpoint = DatagramEndpoint(cast(Any, owner))
    await loop.create_datagram_endpoint(lambda: endpoint, local_addr=("127.0.0.1", 0))
    endpoint.send(address, FollowReply, b"x")
    endpoint.close()
