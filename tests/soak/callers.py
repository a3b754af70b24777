"""Callers: sessions that write numbers under keys of their own, and readers of others' keys."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from platform_standins.order import next_moment
from platform_standins.world import Answer, LineClient
from soak.history import NO_ANSWER, Attempt, History, Kind

ANSWER_SECONDS = 10.0
"""A caller gives up after so long; routes time out well before."""
START_SECONDS = 2.0
PAUSES = (0.002, 0.02)
"""The least and the most that a caller rests between two attempts (seconds)."""
LEAVE_SHARE = 0.05
"""The part of attempts after which a caller ends its session and begins another one, elsewhere."""
TRANSACTION_SHARE, WRITE_SHARE, SET_SHARE = 0.15, 0.3, 0.03
PREPARED_SHARE = 0.3
"""The part of single reads and writes that are run by a prepared name."""
PREPARED_READ, PREPARED_WRITE = "get", "put"
"""All sessions prepare the same names, each with a shape of its own."""
PREPARED_ARGUMENT = "x"
CLOSED = Answer(code=NO_ANSWER, state="closed")


class CallersAddress(Protocol):
    """Where callers reach a node on loopback."""

    @property
    def port(self) -> int:
        """Return the port."""


class CalledNode(Protocol):
    """A node, as callers know it."""

    @property
    def callers(self) -> CallersAddress:
        """Return where it takes callers."""


class CalledNodes(Protocol):
    """What callers know of a world."""

    nodes: list[CalledNode]


class Sending(NamedTuple):
    """When an attempt began. `time`: steady clock, seconds; `moment`: its place in the order."""

    time: float
    moment: int


def prepared_key(shape: str) -> str:
    """Return the key that is read and written by prepared names of a shape."""
    return f"{shape}/{PREPARED_ARGUMENT}"


class Caller:
    """One caller, which keeps to a route and finds another node when its session ends."""

    def __init__(self, world: CalledNodes, name: str, route: str, rng: random.Random) -> None:
        self.name = name
        self.route = route
        self.history: History = []
        self._world = world
        self._rng = rng
        self._number = 0
        self._client: LineClient | None = None
        self._session = 0
        self._node = -1
        self._values: dict[str, str] = {}

    @property
    def keys(self) -> list[str]:
        """Return the keys that it writes."""
        return [self.name, prepared_key(self.name)]

    async def write_and_read(self, until: Callable[[], bool]) -> None:
        """Write and read the own keys."""
        while not until():
            chance = self._rng.random()
            if chance < TRANSACTION_SHARE:
                await self.transact()
            elif chance < TRANSACTION_SHARE + WRITE_SHARE:
                await self.write()
            elif chance < TRANSACTION_SHARE + WRITE_SHARE + SET_SHARE:
                await self.set_value()
            else:
                await self.read(self._rng.choice(self.keys))
            await self._rest()

    async def read_others(self, keys: list[str], until: Callable[[], bool]) -> None:
        """Read keys of others."""
        while not until():
            await self.read(self._rng.choice(keys))
            await self._rest()

    async def write(self) -> bool:
        """Write the next number; return whether it was acknowledged."""
        self._number += 1
        sending = _begin()
        if self._rng.random() < PREPARED_SHARE:
            key = prepared_key(self.name)
            text = f"EXEC {PREPARED_WRITE} {PREPARED_ARGUMENT} {self._number}"
        else:
            key = self.name
            text = f"WRITE {key} {self._number}"
        answer = await self._run(text)
        return self._note(Kind.WRITE, key, self._number, sending, answer)

    async def write_until_served(self) -> None:
        """Write until a write is acknowledged."""
        while not await self.write():
            await self._rest()

    async def transact(self) -> None:
        """Write the next number in a transaction."""
        self._number += 1
        sending = _begin()
        for text in ("BEGIN", f"WRITE {self.name} {self._number}", "COMMIT"):
            answer = await self._run(text)
            if answer.code:
                break
        self._note(Kind.TRANSACTION, self.name, self._number, sending, answer)
        if answer.state not in ("I", "closed"):
            await self._run("ROLLBACK")

    async def read(self, key: str) -> None:
        """Read a key."""
        sending = _begin()
        if key == prepared_key(self.name) and self._rng.random() < PREPARED_SHARE:
            answer = await self._run(f"EXEC {PREPARED_READ} {PREPARED_ARGUMENT}")
        else:
            answer = await self._run(f"READ {key}")
        number = int(answer.rows[0]) if answer.rows and answer.rows[0] else 0
        self._note(Kind.READ, key, number, sending, answer)

    async def set_value(self) -> None:
        """Change a value of the session. Where that fails, the session is of no more use."""
        level = str(self._rng.randint(1, 3))
        answer = await self._run(f"SET level {level}")
        if answer.code:
            self._leave()
        else:
            self._values["level"] = level

    def _note(self, kind: Kind, key: str, number: int, sending: Sending, answer: Answer) -> bool:
        identifier = "" if self._client is None else self._client.last_identifier
        attempt = Attempt(
            kind,
            self.name,
            self.route,
            key,
            number,
            identifier,
            sending.time,
            _now(),
            answer.code,
            answer.signature,
            self._session,
            sending.moment,
            next_moment(),
            frozenset(self._values.items()),
            self._client is not None,
            self._node,
        )
        self.history.append(attempt)
        if answer.state == "closed":
            self._leave()
        return attempt.succeeded

    def _leave(self) -> None:
        if self._client is not None:
            self._client.close()
        self._client = None

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
        self._node = self._rng.randrange(len(self._world.nodes))
        node = self._world.nodes[self._node]
        client: LineClient | None = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(START_SECONDS):
                client = await LineClient.connect(node.callers.port)
                if (await client.start(self.route)).state == "I" and await self._set_up(client):
                    return client
        if client is not None:
            client.close()
        return None

    async def _set_up(self, client: LineClient) -> bool:
        """Begin a session that differs from all others'; return whether that worked."""
        self._session += 1
        session = f"{self.name}-{self._session}"
        for text in (
            f"SET owner {session}",
            f"PREPARE {PREPARED_READ} READ {self.name}",
            f"PREPARE {PREPARED_WRITE} WRITE {self.name}",
        ):
            answer = await client.run(text)
            if answer.code or answer.state != "I":
                return False
        self._values = {"owner": session}
        return True

    async def _rest(self) -> None:
        if self._rng.random() < LEAVE_SHARE:
            self._leave()
        await asyncio.sleep(self._rng.uniform(*PAUSES))


def _begin() -> Sending:
    return Sending(_now(), next_moment())


def _now() -> float:
    """Return the exact clock (seconds): the loop's own may move in steps."""
    return time.monotonic()
