"""A fake back end for the pool's tests: locks, process list, KILL, status, transactions."""

import asyncio
import re
from typing import Any

from bramblebeam.core.identity import Address
from bramblebeam.core.statement import ColumnSpec
from bramblebeam.edges.mysql.server import (
    CallerError,
    CallerSession,
    ConnectionInfo,
    MysqlServer,
    OkResult,
    RowsResult,
)

LONG, TEXT = 8, 253
STATUS_COLUMNS = (
    ("instance", TEXT),
    ("term", LONG),
    ("role", TEXT),
    ("last_term", LONG),
    ("last_offset", LONG),
    ("applied_term", LONG),
    ("applied_offset", LONG),
    ("lag_ms", LONG),
    ("primary_contact_ms", LONG),
    ("primary", TEXT),
    ("promised_term", LONG),
    ("leaving", LONG),
)
PROCESS_COLUMNS = (("Id", LONG), ("User", TEXT), ("Time", LONG), ("Info", TEXT))


class FakeBackend:
    """State shared by all connections of one server."""

    def __init__(self, maximum_user_connections: int = 0) -> None:
        self.maximum_user_connections = maximum_user_connections
        self.server = MysqlServer(lambda: FakeSession(self), "127.0.0.1", 0)
        self.sessions: dict[int, FakeSession] = {}
        self.lock_holder: int | None = None
        self.term, self.role, self.offset, self.applied = 1, "primary", 0, 0
        self.lag_ms, self.leaving = 0, False
        self.peak = 0
        self.executed: list[tuple[int, str]] = []
        self.requests: dict[str, list[Any]] = {}
        self.confirmations = 0

    async def start(self) -> Address:
        await self.server.start()
        return self.server.address

    def status_row(self) -> tuple[Any, ...]:
        applied = self.offset if self.role == "primary" else self.applied
        position = (self.term, self.offset, self.term, applied)
        leaving = int(self.leaving)
        return ("db", self.term, self.role, *position, self.lag_ms, 0, "", self.term, leaving)

    def slot_sessions(self) -> list["FakeSession"]:
        return [session for session in self.sessions.values() if session.user == "bramblebeam"]


class FakeSession(CallerSession):
    """One connection to the fake back end."""

    def __init__(self, backend: FakeBackend) -> None:
        self.backend = backend
        self.id, self.user, self.name = 0, "", ""
        self.in_transaction = False
        self.written = 0
        self.used_at = 0.0
        self.resets = 0

    async def opened(self, connection: ConnectionInfo) -> None:
        backend = self.backend
        self.id, self.user = connection.id, connection.user
        limit = backend.maximum_user_connections
        if limit and self.user == "bramblebeam" and len(backend.slot_sessions()) >= limit:
            raise CallerError(1203, "42000", "too many connections of the user")
        self.name = connection.attributes.get("program_name", "")
        self.used_at = asyncio.get_running_loop().time()
        backend.sessions[self.id] = self
        backend.peak = max(backend.peak, len(backend.slot_sessions()))

    async def closed(self) -> None:
        self.backend.sessions.pop(self.id, None)
        if self.backend.lock_holder == self.id:
            self.backend.lock_holder = None

    async def use(self, database: str) -> None:
        return

    async def reset(self) -> None:
        self.in_transaction = False
        self.resets += 1

    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        self.used_at = asyncio.get_running_loop().time()
        keyword = sql.split(None, 1)[0].upper()
        if keyword in ("SELECT", "SHOW", "CALL"):
            return await self._query(sql)
        if keyword == "KILL":
            return self._kill(sql)
        return await self._change(keyword, sql)

    async def _query(self, sql: str) -> RowsResult:  # noqa: PLR0911
        backend = self.backend
        if "GET_LOCK" in sql:
            if backend.lock_holder is None:
                backend.lock_holder = self.id
            return self._rows((("taken", LONG),), (int(backend.lock_holder == self.id),))
        if "RELEASE_LOCK" in sql:
            backend.lock_holder = None if backend.lock_holder == self.id else backend.lock_holder
            return self._rows((("released", LONG),), (1,))
        if "IS_USED_LOCK" in sql:
            columns = (("owner", LONG), ("epoch", LONG))[: sql.count("IS_USED_LOCK")]
            return self._rows(columns, (backend.lock_holder,) * len(columns))
        if "PROCESSLIST" in sql:
            return self._rows(PROCESS_COLUMNS, *(_process(one) for one in self._all_sessions()))
        if "STATUS" in sql:
            return self._rows(STATUS_COLUMNS, backend.status_row())
        if "confirm" in sql:
            backend.confirmations += 1
            await asyncio.sleep(0.02)
            return self._rows((("term", LONG), ("offset", LONG)), (backend.term, backend.offset))
        if "bramblebeam_requests" in sql:
            kept = backend.requests.get(sql.split("'")[1])
            columns = (("digest", TEXT), ("affected_rows", LONG), ("last_insert_id", LONG))
            return self._rows(columns, *([tuple(kept)] if kept else []))
        backend.executed.append((self.id, sql))
        await _sleep(sql)
        if "large" in sql:
            return self._rows((("text", TEXT),), ("x" * 2_000_000,))
        if "numbers" in sql:
            return self._rows((("n", LONG),), *((number,) for number in range(2_000)))
        return self._rows((("id", LONG),), (self.id,))

    def _all_sessions(self) -> list["FakeSession"]:
        return list(self.backend.sessions.values())

    async def _change(self, keyword: str, sql: str) -> OkResult:
        backend = self.backend
        if keyword == "BEGIN":
            self.in_transaction = True
            return OkResult(in_transaction=True)
        if keyword == "ROLLBACK":
            self.in_transaction = False
            return OkResult()
        if "INTO bramblebeam_requests" in sql:
            identifier, digest = sql.split("'")[1], sql.split("'")[3]
            if identifier in backend.requests:
                raise CallerError(1062, "23000", "Duplicate entry")
            backend.requests[identifier] = [digest, 0, 0]
            return OkResult(1, in_transaction=True)
        if sql.startswith("UPDATE bramblebeam_requests"):
            affected, insert_id = re.findall(r"= (\d+)", sql)
            backend.requests[sql.split("'")[1]][1:] = [int(affected), int(insert_id)]
            return OkResult(1, in_transaction=True)
        if backend.role != "primary":
            raise CallerError(3101, "HY000", "not the primary")
        if "fail" in sql:
            raise CallerError(1064, "42000", "syntax")
        if keyword != "COMMIT":
            backend.executed.append((self.id, sql))
            await _sleep(sql)
            if self.in_transaction:
                return OkResult(1, 7, in_transaction=True)
        self.in_transaction = False
        backend.offset += 1
        return OkResult(1, 7, f"position={backend.term}:{backend.offset}")

    def _kill(self, sql: str) -> OkResult:
        *_, target = sql.split()
        if not self.backend.server.kill(int(target), "QUERY" in sql):
            raise CallerError(1094, "HY000", "Unknown thread id")
        return OkResult()

    def _rows(self, columns: tuple, *rows: tuple) -> RowsResult:
        specs = tuple(ColumnSpec(name, code) for name, code in columns)
        return RowsResult(specs, list(rows), self.in_transaction)


def _process(session: FakeSession) -> tuple[Any, ...]:
    idle = int(asyncio.get_running_loop().time() - session.used_at)
    return (session.id, session.user, idle, session.name)


async def _sleep(sql: str) -> None:
    found = re.search(r"sleep (\d+)", sql)
    if found:
        await asyncio.sleep(int(found[1]) / 1000)
