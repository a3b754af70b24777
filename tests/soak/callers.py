"""Soak clients: writers of increasing numbers under their own keys, and readers of these keys."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from platform_standins.order import next_sequence
from platform_standins.world import Answer, LineClient
from soak.history import NO_ANSWER, Attempt, History, Kind

ANSWER_SECONDS = 10.0
"""Client-side timeout of a statement (seconds); the routes' timeouts are well below it."""
START_SECONDS = 2.0
"""Client-side timeout for opening a session (seconds)."""
PAUSES = (0.002, 0.02)
"""Minimum and maximum delay between two attempts of a caller (seconds)."""
RECONNECT_SHARE = 0.05
"""Probability that a caller ends its session after an attempt and opens one on another node."""
TRANSACTION_SHARE, WRITE_SHARE, SET_SHARE = 0.15, 0.3, 0.03
"""Probabilities of a writer's operations; the rest are reads."""
PREPARED_SHARE = 0.3
"""Probability that a single read or write uses a prepared statement."""
PREPARED_READ, PREPARED_WRITE = "get", "put"
"""Names of the prepared statements.

All sessions use the same names, each for a different statement: a connection with the prepared
statements of another session shows up by the key that it reads or writes.
"""
PREPARED_ARGUMENT = "x"
CLOSED = Answer(code=NO_ANSWER, state="closed")


class CallersAddress(Protocol):
    """The client address of a node on loopback."""

    @property
    def port(self) -> int:
        """Return the TCP port."""


class CalledNode(Protocol):
    """The part of a node that callers use."""

    @property
    def callers(self) -> CallersAddress:
        """Return the address that accepts client connections."""


class CalledNodes(Protocol):
    """The part of a deployment that callers use."""

    nodes: list[CalledNode]


class AttemptStart(NamedTuple):
    """Start of an attempt. `time`: monotonic clock, seconds; `sequence`: event sequence number."""

    time: float
    sequence: int


def prepared_key(shape: str) -> str:
    """Return the key that prepared statements with the key prefix `shape` read and write."""
    return f"{shape}/{PREPARED_ARGUMENT}"


class Caller:
    """A client of one route that reconnects to a random node when its session ends."""

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
        """Return the keys that this caller writes."""
        return [self.name, prepared_key(self.name)]

    async def write_and_read(self, until: Callable[[], bool]) -> None:
        """Write and read the caller's own keys until `until` returns true."""
        while not until():
            draw = self._rng.random()
            if draw < TRANSACTION_SHARE:
                await self.transact()
            elif draw < TRANSACTION_SHARE + WRITE_SHARE:
                await self.write()
            elif draw < TRANSACTION_SHARE + WRITE_SHARE + SET_SHARE:
                await self.set_value()
            else:
                await self.read(self._rng.choice(self.keys))
            await self._pause()

    async def read_others(self, keys: list[str], until: Callable[[], bool]) -> None:
        """Read keys of other callers until `until` returns true."""
        while not until():
            await self.read(self._rng.choice(keys))
            await self._pause()

    async def write(self) -> bool:
        """Write the next number and return whether the write was acknowledged."""
        self._number += 1
        start = _start_attempt()
        if self._rng.random() < PREPARED_SHARE:
            key = prepared_key(self.name)
            text = f"EXEC {PREPARED_WRITE} {PREPARED_ARGUMENT} {self._number}"
        else:
            key = self.name
            text = f"WRITE {key} {self._number}"
        answer = await self._run(text)
        return self._record(Kind.WRITE, key, self._number, start, answer)

    async def write_until_served(self) -> None:
        """Write until one write is acknowledged."""
        while not await self.write():
            await self._pause()

    async def transact(self) -> None:
        """Write the next number in an explicit transaction."""
        self._number += 1
        start = _start_attempt()
        for text in ("BEGIN", f"WRITE {self.name} {self._number}", "COMMIT"):
            answer = await self._run(text)
            if answer.code:
                break
        self._record(Kind.TRANSACTION, self.name, self._number, start, answer)
        if answer.state not in ("I", "closed"):
            await self._run("ROLLBACK")

    async def read(self, key: str) -> None:
        """Read `key` and record the number that was returned."""
        start = _start_attempt()
        if key == prepared_key(self.name) and self._rng.random() < PREPARED_SHARE:
            answer = await self._run(f"EXEC {PREPARED_READ} {PREPARED_ARGUMENT}")
        else:
            answer = await self._run(f"READ {key}")
        number = int(answer.rows[0]) if answer.rows and answer.rows[0] else 0
        self._record(Kind.READ, key, number, start, answer)

    async def set_value(self) -> None:
        """Change a session value, and end the session if that fails: its value is then unknown."""
        level = str(self._rng.randint(1, 3))
        answer = await self._run(f"SET level {level}")
        if answer.code:
            self._end_session()
        else:
            self._values["level"] = level

    def _record(
        self, kind: Kind, key: str, number: int, start: AttemptStart, answer: Answer
    ) -> bool:
        identifier = "" if self._client is None else self._client.last_identifier
        attempt = Attempt(
            kind,
            self.name,
            self.route,
            key,
            number,
            identifier,
            start.time,
            _now(),
            answer.code,
            answer.signature,
            self._session,
            start.sequence,
            next_sequence(),
            frozenset(self._values.items()),
            self._client is not None,
            self._node,
        )
        self.history.append(attempt)
        if answer.state == "closed":
            self._end_session()
        return attempt.succeeded

    def _end_session(self) -> None:
        if self._client is not None:
            self._client.close()
        self._client = None

    async def _run(self, text: str) -> Answer:
        if self._client is None:
            self._client = await self._connect()
        if self._client is None:
            # No connection: nothing was sent.
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
        """Give the session unique values and prepared statements; return whether that succeeded."""
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

    async def _pause(self) -> None:
        if self._rng.random() < RECONNECT_SHARE:
            self._end_session()
        await asyncio.sleep(self._rng.uniform(*PAUSES))


def _start_attempt() -> AttemptStart:
    return AttemptStart(_now(), next_sequence())


def _now() -> float:
    """Return the exact monotonic time (seconds): the event loop's clock may be coarse."""
    return time.monotonic()
