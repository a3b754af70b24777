"""Soak clients that keep their session until its node closes it, and use it all the while.

They connect to the nodes directly, so that nothing but the node ends their connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from platform_standins.order import next_sequence
from platform_standins.world import Answer, LineClient
from soak.callers import (
    ANSWER_SECONDS,
    START_SECONDS,
    AttemptStart,
    Caller,
    _now,
    _start_attempt,
)
from soak.history import (
    NO_ANSWER,
    NO_EFFECT_CODES,
    NOT_COMMITTED,
    Attempt,
    Kind,
    Statement,
)

if TYPE_CHECKING:
    from soak.deployment import DeployedNode, Deployment

THINK_SECONDS = (0.0, 0.3)
"""Minimum and maximum pause between two statements (seconds)."""
RECONNECT_SECONDS = 0.05
"""Pause after a node that opened no session (seconds)."""
STATEMENTS = (2, 12)
"""Minimum and maximum number of statements of a transaction (documented: up to 12)."""
KEYS = 4
"""Number of keys that a caller's transactions write."""
TRANSACTION_SHARE, READ_ONLY_SHARE, ROLLBACK_SHARE, WRITE_SHARE = 0.6, 0.2, 0.1, 0.5
"""Probabilities of a transaction, of one that only reads, of a ROLLBACK, and of a write."""


class HoldingCaller(Caller):
    """A client of one route that opens a new session only when its node has ended the last one."""

    def __init__(self, world: Deployment, name: str, route: str, rng: random.Random) -> None:
        super().__init__(world, name, route, rng)  # type: ignore[arg-type]
        self.statements: list[Statement] = []
        self.closed_at_rest = 0
        self._nodes = world.nodes
        self._start_number = 0
        self._in_transaction = False

    async def operate(self, until: Callable[[], bool]) -> None:
        """Run single statements and transactions until `until` returns true."""
        while not until():
            if not await self._is_connected():
                await asyncio.sleep(RECONNECT_SECONDS)
                continue
            if self._rng.random() < TRANSACTION_SHARE:
                await self._run_transaction()
            elif self._rng.random() < WRITE_SHARE:
                await self.write()
            else:
                await self.read(self._rng.choice(self.keys))
            await self._think()
        self._end_session()

    async def _is_connected(self) -> bool:
        """Open a session unless there is one; return whether there is one."""
        if self._client is not None and _has_ended(self._client):
            self.closed_at_rest += 1
            self._end_session()
        if self._client is None:
            self._client = await self._connect()
        return self._client is not None

    # Transactions.

    async def _run_transaction(self) -> None:
        """Run a transaction of many statements; record each of its keys as an attempt."""
        self._number += 1
        start = _start_attempt()
        is_read_only = self._rng.random() < READ_ONLY_SHARE
        answer = await self._run("BEGIN READ" if is_read_only else "BEGIN")
        identifiers: dict[str, str] = {}
        for _ in range(self._rng.randint(*STATEMENTS)):
            if answer.code:
                break
            await self._think()
            if self._closed_meanwhile():
                answer = _closed()
                break
            key = f"{self.name}.{self._rng.randrange(KEYS)}"
            if not is_read_only and self._rng.random() < WRITE_SHARE and key not in identifiers:
                answer = await self._run(f"WRITE {key} {self._number}")
                identifiers[key] = self._last_identifier
            else:
                answer = await self._read_in_transaction(key, start)
        await self._finish_transaction(identifiers, start, answer)

    async def _read_in_transaction(self, key: str, start: AttemptStart) -> Answer:
        answer = await self._run(f"READ {key}")
        if not answer.code:
            number = int(answer.rows[0]) if answer.rows and answer.rows[0] else 0
            # A read must reflect what was acknowledged before its transaction began.
            identifier = self._last_identifier
            self._add_attempt(Kind.READ, key, number, start, identifier, answer, answer.code)
        return answer

    async def _finish_transaction(
        self, identifiers: dict[str, str], start: AttemptStart, answer: Answer
    ) -> None:
        """End a transaction. `identifiers`: of its writes, by key; `answer`: to its last statement.

        The attempts have the identifier of the COMMIT, if that was sent.
        """
        code = answer.code if answer.code in NO_EFFECT_CODES else NOT_COMMITTED
        if not answer.code:
            await self._think()
            if self._closed_meanwhile():
                answer = _closed()
            elif self._rng.random() < ROLLBACK_SHARE:
                answer = await self._run("ROLLBACK")
            else:
                answer = await self._run("COMMIT")
                code = answer.code
                identifiers = dict.fromkeys(identifiers, self._last_identifier)
        for key, identifier in sorted(identifiers.items()):
            self._add_attempt(Kind.TRANSACTION, key, self._number, start, identifier, answer, code)
        if answer.state not in ("I", "closed"):
            answer = await self._run("ROLLBACK")
        if answer.state == "closed":
            self._end_session()

    @property
    def _last_identifier(self) -> str:
        return "" if self._client is None else self._client.last_identifier

    def _closed_meanwhile(self) -> bool:
        return self._client is None or _has_ended(self._client)

    def _add_attempt(
        self,
        kind: Kind,
        key: str,
        number: int,
        start: AttemptStart,
        identifier: str,
        answer: Answer,
        code: str,
    ) -> None:
        attempt = Attempt(
            kind,
            self.name,
            self.route,
            key,
            number,
            identifier,
            start.time,
            _now(),
            code,
            answer.signature,
            self._session,
            start.sequence,
            next_sequence(),
            frozenset(self._values.items()),
            self._client is not None,
            self._node,
        )
        self.history.append(attempt)

    # Statements.

    async def _think(self) -> None:
        await asyncio.sleep(self._rng.uniform(*THINK_SECONDS))

    async def _run(self, text: str) -> Answer:
        client = self._client
        if client is None:
            return _closed()
        sent_at = _now()
        timed_out = False
        answer = _closed()
        try:
            async with asyncio.timeout(ANSWER_SECONDS) as timeout:
                answer = await client.run(text)
        except OSError:
            timed_out = timeout.expired()
        if answer.state == "closed":
            # What came before the end of the connection is no complete answer.
            answer = _closed()
            client.close()
        statement = Statement(
            client.last_identifier,
            self.name,
            self.route,
            text.partition(" ")[0],
            self._in_transaction,
            self._node,
            self._start_number,
            sent_at,
            _now(),
            answer.code,
            timed_out,
        )
        self.statements.append(statement)
        self._in_transaction = answer.state in ("T", "E")
        return answer

    async def _connect(self) -> LineClient | None:
        self._node = self._rng.randrange(len(self._nodes))
        process = self._nodes[self._node].process
        self._start_number = process.start_count
        self._in_transaction = False
        client: LineClient | None = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(START_SECONDS):
                client = await _open(self._nodes[self._node])
                if (await client.start(self.route)).state == "I" and await self._set_up(client):
                    return client
        if client is not None:
            client.close()
        return None


async def _open(node: DeployedNode) -> LineClient:
    """Connect to a node's own address. Raises OSError."""
    host, _, port = node.process.settings["bind_addrs"]["front"].partition(":")
    return LineClient(*await asyncio.open_connection(host, int(port)))


def _has_ended(client: LineClient) -> bool:
    """Whether the node has ended the connection, as far as the client has received that."""
    return client.reader.at_eof() or client.reader.exception() is not None


def _closed() -> Answer:
    return Answer(code=NO_ANSWER, state="closed")
