"""A load session: reads, writes, transactions and moves, recorded as the caller sees them."""

import asyncio
import itertools
import time
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Literal

from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import RequestAnswered, RequestSent
from bramblebeam.lab.load.client import Answer, CallerClient, NodeAddresses

RECONNECT_PAUSE_SECONDS = 0.05
CONNECT_ATTEMPTS = 100

LoadOperation = Literal["read", "scan", "write", "write_with_id", "transaction"]

_numbers: Iterator[int] = itertools.count(1)


@dataclass(frozen=True, slots=True)
class SessionPlan:
    """Parameters of a session. `roaming`: probability of a move before each work item."""

    keys: int
    roaming: float


class LoadSession:
    """A caller session that runs one work item at a time."""

    def __init__(
        self,
        client: CallerClient,
        nodes: NodeAddresses,
        plan: SessionPlan,
        history: History,
        random: Random,
    ) -> None:
        self.client = client
        self.nodes = nodes
        self.plan = plan
        self.history = history
        self.random = random
        self.moves = 0

    async def run(self, work: LoadOperation) -> list[tuple[str, Answer]]:
        """Run one work item; return the operation and answer of each statement."""
        if not await self._ensure_connected():
            return []
        match work:
            case "read":
                return [await self.read_key(self._key())]
            case "scan":
                return [await self._scan()]
            case "write":
                return [await self.write_key(self._key())]
            case "write_with_id":
                return [await self.write_key(self._key(), with_id=True)]
            case "transaction":
                return await self.transaction()

    def _leave_stopping_node(self, answer: Answer) -> None:
        """Disconnect from a node that is stopping; the next work item connects to another one."""
        if answer.outcome.reason == "STOPPING":
            self.client.abort()

    def _key(self) -> str:
        return f"k{self.random.randrange(self.plan.keys)}"

    async def _ensure_connected(self) -> bool:
        """Move to another node at random, or reconnect if there is no connection."""
        names = list(self.nodes)
        moves = self.client.name and self.random.random() < self.plan.roaming
        if self.client.connected and moves and len(names) > 1:
            node = self.random.choice([name for name in names if name != self.client.node])
            if await self.move_to(node):
                return True
        for _ in range(CONNECT_ATTEMPTS):
            if self.client.connected:
                return True
            node = self.random.choice(list(self.nodes))
            outcome = await self.client.connect(node, self.nodes[node])
            if outcome.outcome != "ok":
                pause = max(outcome.retry_after_ms / 1000, RECONNECT_PAUSE_SECONDS)
                await asyncio.sleep(min(pause, 1.0))
        return self.client.connected

    async def move_to(self, node: str) -> bool:
        """Move to another node; return whether it accepted the session."""
        outcome = await self.client.move(node, self.nodes[node])
        self.moves += 1
        return outcome.outcome == "ok"

    async def read_key(self, key: str, transaction: str = "") -> tuple[str, Answer]:
        """Read one row; the SQL comment identifies the read in the back end's log."""
        request = self._record_request("read", key=key, transaction=transaction)
        sql = f"SELECT k, v FROM entries WHERE k = '{key}' /* {request.request} */"
        answer = await self.client.execute(sql)
        row = answer.rows[0] if answer.ok and answer.rows else ("", "")
        self._record_answer(request, answer, str(row[0]), str(row[1]), expected_rows=1)
        return "read", answer

    async def _scan(self) -> tuple[str, Answer]:
        request = self._record_request("read")
        answer = await self.client.execute("SELECT k, v FROM entries WHERE k LIKE 'k%' ORDER BY k")
        self._record_answer(request, answer, expected_rows=self.plan.keys)
        return "read", answer

    async def read_slowly(self, key: str, seconds: float) -> tuple[str, Answer]:
        """Read one row with a statement that takes the given time at the back end."""
        request = self._record_request("read", key=key)
        sql = f"SELECT k, v, SLEEP({seconds}) FROM entries WHERE k = '{key}'"
        answer = await self.client.execute(sql)
        row = answer.rows[0] if answer.ok and answer.rows else ("", "")
        self._record_answer(request, answer, str(row[0]), str(row[1]), expected_rows=1)
        return "read", answer

    async def write_key(
        self, key: str, with_id: bool = False, transaction: str = ""
    ) -> tuple[str, Answer]:
        """Write one row; with a request id, retry the write once if its outcome is unknown."""
        value = f"w{next(_numbers)}"
        request = self._record_request("write", key, value, transaction)
        hint = f"/* bramblebeam_request={request.request} */ " if with_id else ""
        sql = f"{hint}UPDATE entries SET v = '{value}' WHERE k = '{key}'"
        answer = await self.client.execute(sql)
        self._record_answer(request, answer)
        if with_id and answer.outcome.outcome in ("lost", "unknown"):
            answer = await self._retry(request, sql) or answer
        return "write", answer

    async def _retry(self, request: RequestSent, sql: str) -> Answer | None:
        """Retry a request of unknown outcome under the same request id."""
        if not await self._ensure_connected():
            return None
        retried = RequestSent(
            time.monotonic(),
            self.client.node,
            request.session,
            request.request,
            request.group,
            request.operation,
            request.key,
            request.value,
        )
        self.history.add(retried)
        answer = await self.client.execute(sql)
        self._record_answer(retried, answer)
        return answer

    async def transaction(self, pause_seconds: float = 0.0) -> list[tuple[str, Answer]]:
        """Run a transaction with one or two writes and, after a pause, one read."""
        name = f"t{next(_numbers)}"
        begin = await self.client.execute("BEGIN")
        if not begin.ok:
            return [("begin", begin)]
        answers = [("begin", begin)]
        for key in sorted({self._key(), self._key()}):
            answers.append(await self.write_key(key, transaction=name))
            if not answers[-1][1].ok:
                return [*answers, *await self._end(name, "rollback")]
        await asyncio.sleep(pause_seconds)
        answers.append(await self.read_key(self._key(), transaction=name))
        if not answers[-1][1].ok:
            return [*answers, *await self._end(name, "rollback")]
        return [*answers, *await self._end(name, "commit")]

    async def _end(
        self, transaction: str, operation: Literal["commit", "rollback"]
    ) -> list[tuple[str, Answer]]:
        if not self.client.connected:
            return []
        request = self._record_request(operation, transaction=transaction)
        answer = await self.client.execute(operation.upper())
        self._record_answer(request, answer)
        return [(operation, answer)]

    def _record_request(
        self,
        operation: Literal["read", "write", "commit", "rollback"],
        key: str = "",
        value: str = "",
        transaction: str = "",
    ) -> RequestSent:
        request = RequestSent(
            time.monotonic(),
            self.client.node,
            self.client.name,
            f"r{next(_numbers)}",
            self.client.group,
            operation,
            key,
            value,
            transaction,
        )
        self.history.add(request)
        return request

    def _record_answer(
        self,
        request: RequestSent,
        answer: Answer,
        key: str = "",
        value: str = "",
        expected_rows: int = 0,
    ) -> None:
        self.history.add(
            RequestAnswered(
                time.monotonic(),
                request.node,
                request.session,
                request.request,
                answer.outcome.outcome,
                key,
                value,
                rows=len(answer.rows) if answer.ok else 0,
                expected_rows=expected_rows if answer.ok else 0,
                reason=answer.outcome.reason,
            )
        )
        self._leave_stopping_node(answer)
