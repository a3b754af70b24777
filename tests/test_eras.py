"""The store's eras, as reported correctly or wrongly by its answers and by other nodes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from bramblebeam.core.feed.messages import (
    UNKNOWN_ERA,
    UNKNOWN_REVISION,
    FollowReply,
    FollowRequest,
    ListName,
)
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.registry import Registry
from bramblebeam.core.identity import Address, GroupId, InstanceId, NodeId, ZoneId
from bramblebeam.core.revision import ERA_EXPIRY_SECONDS, HIGHEST_ERA, NO_REVISION, Revision
from bramblebeam.core.role import Role
from bramblebeam.events.catalogue import ITEMS_IGNORED, STORE_ERA_BEGAN, STORE_ERA_UNUSABLE, Event
from bramblebeam.platform.eras import EraFormatError, StoreEras, parse_era
from bramblebeam.platform.http import HttpAnswer
from bramblebeam.platform.sources import database_source
from bramblebeam.platform.store import HistoryGoneError, StoreClient, StoreUnavailableError
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.feed.followed import FollowedList
from bramblebeam.services.feed.peers import PeerSource, ReplyItems, follow_reply
from bramblebeam.services.feed.ports import (
    Batch,
    HistoryLostError,
    SourceUnavailableError,
    Versioned,
)
from bramblebeam.wire.codec import Codec
from bramblebeam.wire.gateway_registry import GATEWAY_NODE_MESSAGES
from platform_standins.store import PlatformStandIn
from revisions import at

KIND = "servers"
ENTRY = DatabaseEntry(
    InstanceId("a"), GroupId("g"), Address("h", 1), ZoneId("z"), Role.REPLICA, False, 3
)


@asynccontextmanager
async def store() -> AsyncIterator[tuple[PlatformStandIn, StoreClient]]:
    platform = PlatformStandIn()
    await platform.start()
    client = StoreClient(Address("127.0.0.1", platform.port), StoreCallCounter(), StoreEras())
    try:
        yield platform, client
    finally:
        client.close()
        await platform.stop()


def logged(caplog: pytest.LogCaptureFixture, event: Event) -> list[str]:
    return [
        record.getMessage()
        for record in caplog.records
        if getattr(record, "event_number", None) == event.number
    ]


# Revisions.


def test_the_era_goes_before_the_number() -> None:
    in_order = [NO_REVISION, at(7), at(900), at(1, era=1), at(7, era=1), at(0, era=2)]
    assert sorted(reversed(in_order)) == in_order
    numbers = [revision.as_number for revision in in_order]
    assert numbers == sorted(set(numbers))


def test_the_highest_number_is_exact_for_every_reader() -> None:
    assert Revision(HIGHEST_ERA, 2**40 - 1).as_number < 2**53
    assert at(7).as_number == 7


# Answers of the store.


@pytest.mark.parametrize(("header", "era"), [(None, 0), ("0", 0), ("3", 3), ("0012", 12)])
def test_an_answer_reports_its_era(header: str | None, era: int) -> None:
    headers = () if header is None else (("store-era", header),)
    assert parse_era(HttpAnswer(200, b"", headers)) == era


BAD_ERAS = ["", "-1", "+1", "1.0", "one", "1e3", " ", "٣", str(HIGHEST_ERA + 1), "9" * 5_000]


@pytest.mark.parametrize("header", BAD_ERAS)
def test_an_invalid_era_is_refused(header: str) -> None:
    with pytest.raises(EraFormatError):
        parse_era(HttpAnswer(200, b"", (("store-era", header),)))


@pytest.mark.parametrize("header", ["-1", "one", str(HIGHEST_ERA + 1), "9" * 500, "1"])
async def test_an_answer_of_a_bad_or_former_era_changes_nothing(
    header: str, caplog: pytest.LogCaptureFixture
) -> None:
    async with store() as (platform, client):
        platform.era = 2
        platform.put(KIND, "a", {})
        assert [found.name for found in (await client.list(KIND))[0]] == ["a"]
        platform.reported_era = header
        with caplog.at_level(logging.INFO), pytest.raises(StoreUnavailableError):
            await client.list(KIND)
        (line,) = logged(caplog, STORE_ERA_UNUSABLE)
        assert len(line) < 300
        platform.reported_era = None
        assert (await client.list(KIND))[1].era == 2


async def test_a_watch_of_a_former_era_is_not_continued() -> None:
    """The new revisions have passed the watched one, so only the era shows the restore."""
    async with store() as (platform, client):
        platform.put(KIND, "a", {})
        _, revision = await client.list(KIND)
        platform.restore(platform.copy())
        for _ in range(3):
            platform.put(KIND, "b", {})
        with pytest.raises(HistoryGoneError):
            await client.watch(KIND, revision, 0.0)


async def test_a_list_with_pages_of_two_eras_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async with store() as (platform, client):
        for name in ("a", "b"):
            platform.put(KIND, name, {})
        monkeypatch.setattr(platform, "page_size", 1)
        platform.before_page = lambda: platform.restore(platform.copy())
        with pytest.raises(StoreUnavailableError):
            await client.list(KIND)
        platform.before_page = lambda: None
        assert [found.name for found in (await client.list(KIND))[0]] == ["a", "b"]


async def test_the_revisions_of_a_cached_list_are_not_used() -> None:
    """The list may be older than the era that its answer reports."""
    async with store() as (platform, client):
        platform.put(KIND, "a", {})
        platform.restore(platform.copy())
        batch = await database_source(client).list_cached()
        assert batch.revision == at(0, era=1)
        assert [item.revision for item in batch.items] == [NO_REVISION]


# Lists.


def item(name: str, revision: Revision, content: str | None = None) -> Versioned[str]:
    return Versioned(name, revision, content or f"{name}{revision}")


def test_a_late_answer_of_a_former_era_changes_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    applied: list[Versioned[str]] = []
    followed = FollowedList[str](applied.extend)
    followed.merge(Batch((item("a", at(9)),), at(9)), True, 0.0)
    followed.merge(Batch((item("a", at(3, 1)),), at(4, 1)), True, 1.0)
    applied.clear()
    with caplog.at_level(logging.INFO):
        followed.merge(Batch((item("a", at(11)), item("b", at(12))), at(12)), True, 5.0)
    assert not applied
    assert followed.revision == at(4, 1)
    assert followed.confirmed_at == 1.0
    assert followed.whole().items == (item("a", at(3, 1)),)
    assert len(logged(caplog, ITEMS_IGNORED)) == 1


def test_a_new_era_is_logged_once_with_both_revisions(caplog: pytest.LogCaptureFixture) -> None:
    eras: list[int] = []
    followed = FollowedList[str](lambda applied: None, begin_era=eras.append)
    followed.merge(Batch((item("a", at(9)), item("b", at(2), "b")), at(9)), True, 0.0)
    with caplog.at_level(logging.INFO):
        for _ in range(2):
            again = (item("a", at(3, 1)), item("b", at(2, 1), "b"))
            followed.merge(Batch(again, at(4, 1)), True, 1.0)
    (line,) = logged(caplog, STORE_ERA_BEGAN)
    assert "revision=1.4" in line
    assert "former_revision=0.9" in line
    assert "differing=1" in line
    assert eras == [1]


def versions(content: str) -> int:
    return int(content)


@pytest.mark.parametrize(
    ("received_versions", "in_force"),
    [
        pytest.param([20], "23", id="the copy's older one"),
        pytest.param([20, 23, 27], "27", id="written again, and a newer one"),
        pytest.param([27], "27", id="a newer one at a lower number"),
        pytest.param([], "23", id="none at all"),
    ],
)
def test_a_version_in_force_never_goes_back(received_versions: list[int], in_force: str) -> None:
    followed = FollowedList[str](lambda applied: None, version=versions)
    followed.merge(Batch((item("main", at(46), "23"),), at(46)), True, 0.0)
    followed.merge(Batch((), at(5, 1)), True, 1.0)
    for number, version in enumerate(received_versions, start=6):
        batch = Batch((item("main", at(number, 1), str(version)),), at(number, 1))
        followed.merge(batch, False, 1.0)
    (found,) = followed.whole().items
    assert found.item == in_force
    assert found.revision.era == 1


def test_two_restores_in_a_row() -> None:
    followed = FollowedList[str](lambda applied: None)
    for era, number in ((0, 40), (1, 30), (2, 20)):
        followed.merge(Batch((item("a", at(number, era)),), at(number, era)), True, 0.0)
    assert followed.whole().items == (item("a", at(20, 2)),)


@pytest.mark.parametrize("silence", [ERA_EXPIRY_SECONDS - 1, ERA_EXPIRY_SECONDS])
def test_an_era_that_a_single_wrong_answer_reported_is_discarded_after_a_while(
    silence: float,
) -> None:
    applied: list[Versioned[str]] = []
    followed = FollowedList[str](applied.extend)
    followed.merge(Batch((item("a", at(3)),), at(4)), True, 0.0)
    followed.merge(Batch((item("a", at(9, 700)),), at(9, 700)), True, 1.0)
    later = Batch((item("a", at(5)), item("b", at(6))), at(6))
    if silence < ERA_EXPIRY_SECONDS:
        followed.merge(later, True, 1.0 + silence)
        assert followed.revision == at(9, 700)
        return
    with pytest.raises(HistoryLostError):
        followed.merge(later, False, 1.0 + silence)
    followed.merge(later, True, 1.0 + silence)
    assert followed.whole() == later


def test_a_node_that_is_cut_off_from_the_store_does_not_discard_an_era() -> None:
    """It still sends its list, while the store is down and no node reports the current era."""
    followed = known_at(at(4, 1))
    last = ERA_EXPIRY_SECONDS * 3
    followed.merge(Batch((item("a", at(9)),), at(9), age=last + 1.0), True, last)
    assert followed.revision == at(4, 1)


def test_a_registry_accepts_lower_revisions_after_an_era_is_discarded() -> None:
    registry = Registry(5.0)
    registry.put(ENTRY, at(9, 700), now=0.0)
    registry.forget_revisions()
    assert registry.put(ENTRY._replace(leaving=True), at(5), now=1.0)


def test_a_store_whose_answers_all_report_a_lower_era_is_accepted_again() -> None:
    now = 0.0
    eras = StoreEras(lambda: now)
    eras.observe(HttpAnswer(200, b"", (("store-era", "700"),)), "list")
    now = ERA_EXPIRY_SECONDS - 1
    with pytest.raises(EraFormatError):
        eras.observe(HttpAnswer(200, b"", (("store-era", "1"),)), "list")
    now = ERA_EXPIRY_SECONDS
    eras.observe(HttpAnswer(200, b"", (("store-era", "1"),)), "list")
    assert eras.newest == 1


# Between nodes.


class Kernel:
    """A transport that answers from another node's list. `is_older`: as an earlier version."""

    def __init__(self, followed: FollowedList[str], is_older: bool) -> None:
        self.followed = followed
        self.is_older = is_older
        self.era: int | None = None

    async def call(self, service: str, request: Any) -> FollowReply:
        question = request.message
        if self.is_older:
            question = FollowRequest(*question[:3])
        reply = await follow_reply(question, self.followed, lambda items: ReplyItems())
        if self.era is not None:
            return reply._replace(era=self.era)
        return FollowReply(*reply[:7]) if self.is_older else reply


def known_at(revision: Revision) -> FollowedList[str]:
    followed = FollowedList[str](lambda applied: None)
    followed.merge(Batch((), revision), True, 0.0)
    return followed


def source(kernel: Kernel) -> PeerSource[str]:
    return PeerSource(kernel, NodeId("peer"), ListName.ROUTES, lambda reply: ())  # type: ignore[arg-type]


@pytest.mark.parametrize("is_older", [False, True], ids=["this version", "an earlier version"])
async def test_a_node_is_followed_within_an_era(is_older: bool) -> None:
    peer_source = source(Kernel(known_at(at(7)), is_older))
    assert (await peer_source.list()).revision == at(7)
    assert (await peer_source.changes(at(7), 0.0)).revision == at(7)


async def test_a_node_in_another_era_sends_its_whole_list() -> None:
    peer_source = source(Kernel(known_at(at(5, 1)), is_older=False))
    with pytest.raises(HistoryLostError):
        await peer_source.changes(at(7), 0.0)
    assert (await peer_source.list()).revision == at(5, 1)


async def test_a_node_of_an_earlier_version_gets_changes_as_before() -> None:
    """It knows no eras; after a whole list it would request the whole list again and again."""
    followed = known_at(at(5, 1))
    reply = await follow_reply(
        FollowRequest(ListName.ROUTES, 5, 0.0), followed, lambda _: ReplyItems()
    )
    assert not reply.whole
    assert reply.revision == 5


async def test_the_answer_of_a_node_of_an_earlier_version_is_of_the_first_era() -> None:
    peer_source = source(Kernel(known_at(at(5)), is_older=True))
    assert (await peer_source.list()).revision == at(5)


@pytest.mark.parametrize("era", [-2, HIGHEST_ERA + 1, 2**62])
async def test_an_invalid_era_of_another_node_is_refused(era: int) -> None:
    kernel = Kernel(known_at(at(5)), is_older=False)
    kernel.era = era
    with pytest.raises(SourceUnavailableError):
        await source(kernel).list()


@pytest.mark.parametrize(
    "message",
    [
        FollowRequest(ListName.ROUTES, 7, 1.0, 2),
        FollowRequest(ListName.DATABASES, UNKNOWN_REVISION, 0.0, UNKNOWN_ERA),
        FollowReply(True, True, 7, 0.5, era=2),
    ],
)
def test_eras_are_sent_between_nodes(message: FollowRequest | FollowReply) -> None:
    codec = Codec(GATEWAY_NODE_MESSAGES)
    assert codec.decode(codec.encode(message)) == message


async def test_a_waiter_in_a_former_era_is_woken_by_the_new_one() -> None:
    followed = known_at(at(9))
    waiting = asyncio.ensure_future(followed.wait_for_change(at(9), 60.0))
    await asyncio.sleep(0)
    followed.merge(Batch((), at(4, 1)), True, 0.0)
    await waiting
