"""Callers: sessions that write numbers under keys of their own, and readers of others' keys."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from platform_standins.world import Answer, LineClient, World
from soak.history import NO_ANSWER, Attempt, History, Kind

ANSWER_SECONDS = 10.0
"""A caller gives up after so long; routes time out well before."""
START_SECONDS = 2.0
PAUSES = (0.002, 0.02)
"""The least and the most that a caller rests between two attempts (seconds)."""
TRANSACTION_SHARE, WRITE_SHARE = 0.15, 0.3
CLOSED = Answer(code=NO_ANSWER, state="closed")


class Caller:
    """One caller, which keeps to a route and finds another node when its session ends."""

    def __init__(self, world: World, name: str, route: str, rng: random.Random) -> None:
        self.name = name
        self.route = route
        self.history: History = []
        self._world = world
        self._rng = rng
        self._number = 0
        self._client: LineClient | None = None

    async def write_and_read(self, until: Callable[[], bool]) -> None:
        """Write and read the own key."""
        while not until():
            chance = self._rng.random()
            if chance < TRANSACTION_SHARE:
                await self.transact()
            elif chance < TRANSACTION_SHARE + WRITE_SHARE:
                await self.write()
            else:
                await self.read(self.name)
            await self._rest()

    async def read_others(self, keys: list[str], until: Callable[[], bool]) -> None:
        """Read keys of others."""
        while not until():
            await self.read(self._rng.choice(keys))
            await self._rest()

    async def write(self) -> bool:
        """Write the next number; return whether it was acknowledged."""
        self._number += 1
        sent_at = _now()
        answer = await self._run(f"WRITE {self.name} {self._number}")
        return self._note(Kind.WRITE, self.name, self._number, sent_at, answer)

    async def write_until_served(self) -> None:
        """Write until a write is acknowledged."""
        while not await self.write():
            await self._rest()

    async def transact(self) -> None:
        """Write the next number in a transaction."""
        self._number += 1
        sent_at = _now()
        for text in ("BEGIN", f"WRITE {self.name} {self._number}", "COMMIT"):
            answer = await self._run(text)
            if answer.code:
                break
        self._note(Kind.TRANSACTION, self.name, self._number, sent_at, answer)
        if answer.state not in ("I", "closed"):
            await self._run("ROLLBACK")

    async def read(self, key: str) -> None:
        """Read a key."""
        sent_at = _now()
        answer = await self._run(f"READ {key}")
        number = int(answer.rows[0]) if answer.rows and answer.rows[0] else 0
        self._note(Kind.READ, key, number, sent_at, answer)

    def _note(self, kind: Kind, key: str, number: int, sent_at: float, answer: Answer) -> bool:
        identifier = "" if self._client is None else self._client.last_identifier
        attempt = Attempt(
            kind,
            self.name,
            self.route,
            key,
            number,
            identifier,
            sent_at,
            _now(),
            answer.code,
            answer.signature,
        )
        self.history.append(attempt)
        if answer.state == "closed":
            self._client = None
        return attempt.succeeded

    async def _run(self, text: str) -> Answer:
        if self._client is None:
            self._client = await self._connect()
        if self._client is None:
            # Nothing was sent.
            return Answer(code=NO_ANSWER, state="closed")
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                answer = await self._client.run(text)
        except (OSError, TimeoutError):
            self._client.close()
            return CLOSED
        if answer.state == "closed":
            answer.code = answer.code or NO_ANSWER
        return answer

    async def _connect(self) -> LineClient | None:
        node = self._rng.choice(self._world.nodes)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(START_SECONDS):
                client = await LineClient.connect(node.callers.port)
                if (await client.start(self.route)).state == "I":
                    return client
                client.close()
        return None

    async def _rest(self) -> None:
        await asyncio.sleep(self._rng.uniform(*PAUSES))


def _now() -> float:
    """Return the exact clock (seconds): the loop's own may move in steps."""
    return time.monotonic()
