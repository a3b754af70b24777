"""A client's MySQL session at a member: statement dispatch, transactions and locks."""

import asyncio
import re
import sqlite3
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Any

from bramblebeam.edges.mysql.handshake import SERVER_VERSION
from bramblebeam.edges.mysql.server import (
    CallerError,
    CallerSession,
    ConnectionInfo,
    OkResult,
    RowsResult,
)
from bramblebeam.lab.database import commands
from bramblebeam.lab.database.columns import columns_of
from bramblebeam.lab.database.information import (
    process_list,
    substitute_variables,
    wait_for_sleep_and_locks,
)
from bramblebeam.lab.database.messages import RefusalCode
from bramblebeam.lab.database.operations import Batch, Operation
from bramblebeam.lab.database.store import Rows
from bramblebeam.lab.database.transaction import Transaction

if TYPE_CHECKING:
    from bramblebeam.lab.database.member import DatabaseMember

ROWS_PER_STEP = 1_000
REPLICATION_USER = "replication"
"""User name of the other members; exempt from the `cut_clients` fault."""

NO_SUCH_THREAD = 1094
TOO_MANY_USER_CONNECTIONS = 1203
INTERRUPTED = 1317

_KEYWORD = re.compile(r"(?:[\s(]|/\*.*?\*/|--[ \t][^\n]*\n|#[^\n]*\n)*([A-Za-z]+)", re.S)
_LOCKING_READ = re.compile(r"\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\s+SHARE\s+MODE\b", re.I)
_REQUEST_ID = re.compile(r"bramblebeam_request=([^\s*]+)")
_KILL = re.compile(r"\s*KILL\s+(?:(QUERY|CONNECTION)\s+)?(\d+)", re.I)
_AUTOCOMMIT = re.compile(r"\bautocommit\s*=\s*(\w+)", re.I)


class DatabaseSession(CallerSession):
    """One client connection. Holds the statements of an open transaction until COMMIT.

    Each statement is run on the committed rows after the transaction's earlier ones, and rolled
    back. At COMMIT they become one log entry, which conflicts (1213, no changes) if a statement
    now has other results than those reported to the client.
    """

    def __init__(self, member: "DatabaseMember") -> None:
        self.member = member
        self.info = ConnectionInfo(0, "", "", {}, "")
        self.running = ""
        self.since = time.monotonic()
        self._opened = False
        self.database = ""
        self._autocommit = True
        self._transaction: Transaction | None = None
        self._last_insert_id = 0
        self._row_count = 0

    # CallerSession

    async def opened(self, connection: ConnectionInfo) -> None:
        """Admit the client unless its user is at its connection limit."""
        self.info = connection
        self.database = connection.database
        await self._wait_until_reachable()
        journal = self.member.journal
        limit = self.member.settings.maximum_connections.get(connection.user)
        if limit is not None and journal.connections_of(connection.user) >= limit:
            text = f"User {connection.user} has more than 'max_user_connections' connections"
            raise CallerError(TOO_MANY_USER_CONNECTIONS, "42000", text)
        self._opened = True
        self.member.sessions[connection.id] = self
        journal.record_opened(connection.user, self.program)

    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        """Run one statement. Start and result are delayed while clients are cut off."""
        await self._wait_until_reachable()
        info = self.info
        self.member.journal.record_statement(info.id, info.user, self.in_transaction, sql)
        self.running = sql
        self.since = time.monotonic()
        try:
            result = await self._dispatch(sql)
        finally:
            self.running = ""
            self.since = time.monotonic()
        await self._wait_until_reachable()
        return result

    async def use(self, database: str) -> None:
        """Change the default database; any name is accepted."""
        await self._wait_until_reachable()
        self.database = database

    async def reset(self) -> None:
        """Roll back, release the locks and reset the session settings."""
        await self._wait_until_reachable()
        self._discard_transaction()
        self._autocommit = True
        self.member.locks.release_all(self.info.id)

    async def closed(self) -> None:
        """Roll back and release the locks; delayed while clients are cut off."""
        await self._wait_until_reachable()
        self._discard_transaction()
        if self._opened:
            self._opened = False
            self.member.locks.release_all(self.info.id)
            self.member.sessions.pop(self.info.id, None)
            self.member.journal.record_closed(self.info.user, self.program)

    # SessionFunctions

    def get_lock(self, name: str) -> int:
        """Take a named lock without waiting."""
        return int(self.member.locks.take(name, self.info.id))

    def release_lock(self, name: str) -> int | None:
        """Release a named lock."""
        return self.member.locks.release(name, self.info.id)

    def lock_holder(self, name: str) -> int | None:
        """Return the connection that holds a named lock."""
        return self.member.locks.holder(name)

    def value(self, name: str) -> Any:
        """Return the value of an SQL function without arguments, such as CONNECTION_ID."""
        values: dict[str, Any] = {
            "CONNECTION_ID": self.info.id,
            "DATABASE": self.database or None,
            "USER": f"{self.info.user}@{self.info.remote}",
            "CURRENT_USER": f"{self.info.user}@%",
            "VERSION": SERVER_VERSION,
            "LAST_INSERT_ID": self._last_insert_id,
            "ROW_COUNT": self._row_count,
        }
        return values[name]

    # Statements

    @property
    def program(self) -> str:
        """The client's `program_name`."""
        return self.info.attributes.get("program_name", "")

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transaction is not None

    async def _dispatch(self, sql: str) -> OkResult | RowsResult:
        keyword = _KEYWORD.match(sql)
        if keyword is None:
            raise CallerError(1065, "42000", "Query was empty")
        handler = _HANDLERS.get(keyword.group(1).upper())
        if handler is None:
            raise CallerError(1235, "42000", f"{keyword.group(1).upper()} is not supported")
        return await handler(self, sql)

    async def _select(self, sql: str) -> OkResult | RowsResult:
        await wait_for_sleep_and_locks(sql, self.member.locks, self.info.id)
        if _LOCKING_READ.search(sql):
            self._lock_rows(sql)
        sql = substitute_variables(sql, self._autocommit)
        before = self._transaction.preceding_operations if self._transaction is not None else ()
        return self._rows(self.member.store.read(sql, self, time.time(), before))

    def _lock_rows(self, sql: str) -> None:
        """Make the commit fail if the rows of a locking read change. Refused on a replica."""
        self._require_primary()
        if self._transaction is not None:
            digest = self.member.store.digest(sql)
            self._transaction.operations.append(Operation(sql, self.database, digest=digest))

    async def _write(self, sql: str) -> OkResult:
        await wait_for_sleep_and_locks(sql, self.member.locks, self.info.id)
        self._require_primary()
        if not self._autocommit and self._transaction is None:
            self._transaction = Transaction()
        operation = Operation(sql, self.database)
        if self._transaction is None:
            return await self._commit((operation,), _request_id_of(sql))
        before = self._transaction.preceding_operations
        outcome = self.member.store.dry_run(operation, before, self, time.time())
        if outcome.error is not None:
            raise outcome.error
        reported_operation = operation._replace(
            affected_rows=outcome.affected_rows, last_insert_id=outcome.last_insert_id
        )
        self._transaction.operations.append(reported_operation)
        return self._ok(outcome.affected_rows, outcome.last_insert_id)

    async def _define(self, sql: str) -> OkResult:
        """Run a data definition statement, after committing any open transaction."""
        await self._end_transaction()
        self._require_primary()
        return await self._commit((Operation(sql, self.database),), _request_id_of(sql))

    async def _commit(self, operations: tuple[Operation, ...], request: str) -> OkResult:
        batch = Batch(time.time(), operations, request)
        try:
            position, outcome = await self.member.write(batch)
        except asyncio.CancelledError as error:
            code = RefusalCode.MAJORITY_NOT_REACHED
            raise CallerError(int(code), "HY000", "interrupted; the write may have run") from error
        if outcome.error is not None:
            raise outcome.error
        info = f"position={position.term}:{position.offset}"
        return self._ok(outcome.affected_rows, outcome.last_insert_id, info)

    async def _begin(self, sql: str) -> OkResult:
        await self._end_transaction()
        self._transaction = Transaction()
        return self._ok()

    async def _commit_statement(self, sql: str) -> OkResult:
        return await self._end_transaction(_request_id_of(sql))

    async def _end_transaction(self, request: str = "") -> OkResult:
        transaction = self._transaction
        self._discard_transaction()
        if transaction is None or not transaction.changes_rows:
            return self._ok()
        result = await self._commit(transaction.preceding_operations, request)
        return OkResult(info=result.info, autocommit=self._autocommit)

    async def _rollback(self, sql: str) -> OkResult:
        match = re.search(r"\bTO\s+(?:SAVEPOINT\s+)?`?(\w+)", sql, re.I)
        if match is None:
            self._discard_transaction()
            return self._ok()
        (self._transaction or Transaction()).roll_back_to(match.group(1))
        return self._ok()

    async def _savepoint(self, sql: str) -> OkResult:
        if self._transaction is not None:
            self._transaction.set_savepoint(sql.rsplit(maxsplit=1)[-1].strip("`;"))
        return self._ok()

    async def _set(self, sql: str) -> OkResult:
        match = _AUTOCOMMIT.search(sql)
        if match is not None:
            autocommit = match.group(1).upper() in ("1", "ON", "TRUE")
            if autocommit:
                await self._end_transaction()
            self._autocommit = autocommit
        return self._ok()

    async def _use_statement(self, sql: str) -> OkResult:
        self.database = sql.split()[1].strip("`;")
        return self._ok()

    async def _kill(self, sql: str) -> OkResult:
        match = _KILL.match(sql)
        if match is None:
            raise CallerError(1064, "42000", "KILL needs a connection id")
        connection_id = int(match.group(2))
        query_only = (match.group(1) or "").upper() == "QUERY"
        if connection_id == self.info.id and query_only:
            raise CallerError(INTERRUPTED, "70100", "Query execution was interrupted")
        if not self.member.server.kill(connection_id, query_only):
            raise CallerError(NO_SUCH_THREAD, "HY000", f"Unknown thread id: {connection_id}")
        return self._ok()

    async def _call(self, sql: str) -> OkResult | RowsResult:
        return await commands.call(self.member, sql)

    async def _show(self, sql: str) -> OkResult | RowsResult:
        words = sql.upper().replace(";", " ").split()
        if words[1:3] == ["BRAMBLEBEAM", "STATUS"]:
            brief = words[3:4] == ["BRIEF"]
            show = commands.show_brief_status if brief else commands.show_status
            return show(self.member)
        if words[1:3] == ["BRAMBLEBEAM", "PEER"]:
            return commands.show_peer(self.member)
        if "PROCESSLIST" in words:
            return self._rows(process_list(self.member.sessions.values()))
        if words[1:2] == ["TABLES"]:
            names = [(name,) for name in self.member.store.table_names()]
            return self._rows(Rows((f"Tables_in_{self.database}",), names))
        if words[1:2] in (["WARNINGS"], ["ERRORS"]):
            return self._rows(Rows(("Level", "Code", "Message"), []))
        raise CallerError(1235, "42000", "This SHOW statement is not supported")

    async def _no_op(self, sql: str) -> OkResult:
        return self._ok()

    # Helpers

    def _require_primary(self) -> None:
        replica = self.member.replica
        if replica.role is not replica.role.PRIMARY:
            raise CallerError(int(RefusalCode.NOT_PRIMARY), "HY000", "not the primary; not run")

    async def _wait_until_reachable(self) -> None:
        if self.info.user != REPLICATION_USER:
            await self.member.reachable.wait()

    def _discard_transaction(self) -> None:
        self._transaction = None

    def _ok(self, affected: int = 0, last_insert_id: int = 0, info: str = "") -> OkResult:
        self._row_count = affected
        if last_insert_id:
            self._last_insert_id = last_insert_id
        return OkResult(affected, last_insert_id, info, self.in_transaction, self._autocommit)

    def _rows(self, rows: Rows) -> RowsResult:
        columns = columns_of(rows.names, rows.first)
        content: Sequence[Any] | AsyncIterator[Any] = rows.first
        if rows.rest is not None:
            content = _stream(rows.first, rows.rest)
        return RowsResult(columns, content, self.in_transaction, self._autocommit)


async def _stream(first: list[Any], rest: sqlite3.Cursor) -> AsyncIterator[Any]:
    for row in first:
        yield row
    while True:
        try:
            rows = rest.fetchmany(ROWS_PER_STEP)
        except sqlite3.Error as error:
            text = "Table changed while the result was being read; retry"
            raise CallerError(1412, "HY000", text) from error
        if not rows:
            return
        for row in rows:
            yield row
        await asyncio.sleep(0)


def _request_id_of(sql: str) -> str:
    match = _REQUEST_ID.search(sql)
    return match.group(1) if match is not None else ""


Handler = Callable[[DatabaseSession, str], Awaitable[OkResult | RowsResult]]
_HANDLERS: dict[str, Handler] = {
    "SELECT": DatabaseSession._select,
    "WITH": DatabaseSession._select,
    "INSERT": DatabaseSession._write,
    "UPDATE": DatabaseSession._write,
    "DELETE": DatabaseSession._write,
    "REPLACE": DatabaseSession._write,
    "BEGIN": DatabaseSession._begin,
    "START": DatabaseSession._begin,
    "COMMIT": DatabaseSession._commit_statement,
    "ROLLBACK": DatabaseSession._rollback,
    "SAVEPOINT": DatabaseSession._savepoint,
    "RELEASE": DatabaseSession._no_op,
    "SET": DatabaseSession._set,
    "USE": DatabaseSession._use_statement,
    "KILL": DatabaseSession._kill,
    "CALL": DatabaseSession._call,
    "SHOW": DatabaseSession._show,
    "CREATE": DatabaseSession._define,
    "ALTER": DatabaseSession._define,
    "DROP": DatabaseSession._define,
    "TRUNCATE": DatabaseSession._define,
    "DO": DatabaseSession._no_op,
}
