"""Floors that an owner gives to named sessions, against a fake database on loopback."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from bramblebeam.core.identity import Position
from bramblebeam.core.statement import PositionReply, PositionRequest, StatementKind
from pool_backend import FakeBackend
from pool_harness import INSTANCE, BackendHarness, before_backend


class FakeHarness(BackendHarness):
    """Nodes in front of the fake database, and the queries of these tests."""

    async def floors(self, node: str, *sessions: str) -> tuple[Position, ...]:
        reply: PositionReply = await self.ask(node, PositionRequest(INSTANCE, sessions))
        assert reply.refusal is None
        assert reply.position.offset == self.backend.offset
        return reply.floors


@pytest.fixture
async def harness() -> AsyncIterator[FakeHarness]:
    async with before_backend(FakeBackend(), FakeHarness) as harness:
        yield harness


async def test_floor_is_the_session_s_own_last_write(harness: FakeHarness) -> None:
    assert await harness.floors("a", "rider") == (Position(1, 0),)
    await harness.write("a", session_name="rider")
    await harness.write("a", session_name="dispatcher")
    await harness.write("a", session_name="")
    floors = await harness.floors("a", "dispatcher", "customer", "rider")
    assert floors == (Position(1, 2), Position(1, 0), Position(1, 1))
    assert await harness.floors("a") == ()


async def test_commit_raises_the_floor_of_its_session_only(harness: FakeHarness) -> None:
    await harness.floors("a", "rider")
    fields = {"transaction": "t", "session_name": "rider"}
    await harness.run("a", "BEGIN", StatementKind.BEGIN, **fields)
    await harness.write("a", **fields)
    assert await harness.floors("a", "rider") == (Position(1, 0),)
    committed = await harness.run("a", "COMMIT", StatementKind.COMMIT, **fields)
    assert committed.position.offset > 0
    await harness.write("a", session_name="dispatcher")
    floors = await harness.floors("a", "rider", "customer")
    assert floors == (committed.position, Position(1, 0))


async def test_new_owner_covers_writes_of_the_former_owner(harness: FakeHarness) -> None:
    await harness.floors("a", "rider")
    await harness.write("a", session_name="rider")
    await harness.write("a", session_name="dispatcher")
    await harness.add("b")
    harness.set_owners("b")
    await harness.owned_by("b")
    assert await harness.floors("b", "rider") == (Position(1, 2),)
    await harness.write("b", session_name="dispatcher")
    assert await harness.floors("b", "rider", "dispatcher") == (Position(1, 2), Position(1, 3))


async def test_newest_position_while_a_former_owner_has_transactions(
    harness: FakeHarness,
) -> None:
    fields = {"transaction": "t", "session_name": "rider"}
    await harness.run("a", "BEGIN", StatementKind.BEGIN, **fields)
    await harness.add("b")
    harness.set_owners("b")
    await harness.owned_by("b")
    assert await harness.floors("b", "customer") == (Position(1, 0),)
    await harness.write("a", **fields)
    committed = await harness.run("a", "COMMIT", StatementKind.COMMIT, **fields)
    assert committed.refusal is None
    assert await harness.floors("b", "rider") == (committed.position,)


async def test_evicted_owner_gives_the_confirmed_position(harness: FakeHarness) -> None:
    await harness.floors("a", "rider")
    harness.backend.lock_holder = None
    harness.backend.offset += 1
    assert await harness.floors("a", "rider") == (Position(1, 1),)


async def test_concurrent_requests_get_the_floors_of_their_own_sessions(
    harness: FakeHarness,
) -> None:
    await harness.floors("a", "s0")
    for number in range(5):
        await harness.write("a", session_name=f"s{number}")
    requests = (harness.floors("a", f"s{number}") for number in range(5))
    found = await asyncio.gather(*requests)
    assert found == [(Position(1, number + 1),) for number in range(5)]
