"""The rows of one member, in an in-memory SQLite database."""

import hashlib
import random
import re
import sqlite3
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, Protocol

from bramblebeam.edges.mysql.results import CallerError
from bramblebeam.lab.database.operations import NOT_EXPECTED, Batch, Operation, Outcome
from bramblebeam.lab.database.sql import Shape, shape_of, translate

CACHED_STATEMENTS = 512
FIRST_ROWS = 10_000
"""Rows read atomically; the rest of a larger result is read while it is being sent."""

DEADLOCK = 1213
_SAVEPOINT = "tentative"
_DEFINITION = re.compile(r"\s*(?:CREATE|ALTER|DROP|RENAME)\b", re.I)


class SessionFunctions(Protocol):
    """The session functions that SQL functions call."""

    def get_lock(self, name: str) -> int:
        """Take a named lock without waiting; return 1 if it is held, else 0."""

    def release_lock(self, name: str) -> int | None:
        """Release a named lock."""

    def lock_holder(self, name: str) -> int | None:
        """Return the connection that holds a named lock."""

    def value(self, name: str) -> Any:
        """Return the value of CONNECTION_ID, DATABASE, USER or a similar function."""


@dataclass(slots=True)
class Rows:
    """A result: its first rows, and a cursor for the rest if there may be more."""

    names: tuple[str, ...]
    first: list[tuple[Any, ...]]
    rest: sqlite3.Cursor | None = None


@dataclass(slots=True)
class _StatementContext:
    """Time, random seed and session that the running statement uses."""

    time: float = 0.0
    seed: int = 0
    session: SessionFunctions | None = None
    generator: random.Random | None = None

    def random(self) -> random.Random:
        """Return the random generator, seeded identically on every member."""
        if self.generator is None:
            self.generator = random.Random(self.seed)
        return self.generator


class RowStore:
    """Runs statements synchronously. Errors are CallerErrors with MySQL codes."""

    def __init__(self) -> None:
        self._database = sqlite3.connect(
            ":memory:", isolation_level=None, cached_statements=CACHED_STATEMENTS
        )
        self._context = _StatementContext()
        self._has_generated_key_by_table: dict[str, bool] = {}
        self._add_functions()

    def close(self) -> None:
        """Close the database, which drops the rows."""
        self._database.close()

    def read(
        self, sql: str, session: SessionFunctions, time: float, before: tuple[Operation, ...] = ()
    ) -> Rows:
        """Run a statement that changes no rows, on top of `before`, which is rolled back."""
        if before:
            with self._rolled_back_after(before, session, time):
                cursor = self._execute(sql)
                return Rows(_names(cursor), cursor.fetchall())
        self._context = _StatementContext(time, 0, session)
        cursor = self._execute(sql)
        first = cursor.fetchmany(FIRST_ROWS)
        return Rows(_names(cursor), first, cursor if len(first) == FIRST_ROWS else None)

    def dry_run(
        self,
        operation: Operation,
        before: tuple[Operation, ...],
        session: SessionFunctions,
        time: float,
    ) -> Outcome:
        """Run a statement after `before`, roll everything back, and return its outcome."""
        with self._rolled_back_after(before, session, time):
            return self._run(operation)

    def apply(self, batch: Batch, seed: int) -> Outcome:
        """Apply a committed batch; roll it back if a statement fails or conflicts."""
        self._context = _StatementContext(batch.time, seed)
        self._database.execute("BEGIN")
        outcome = Outcome()
        for operation in batch.operations:
            outcome = self._run_checked(operation)
            if outcome.error is not None:
                break
        self._database.execute("COMMIT" if outcome.error is None else "ROLLBACK")
        if any(_DEFINITION.match(operation.sql) for operation in batch.operations):
            self._has_generated_key_by_table.clear()
        return outcome

    def table_names(self) -> list[str]:
        """Return the names of the tables."""
        found = self._database.execute(
            "SELECT name FROM sqlite_master WHERE type = 'table' AND name NOT LIKE 'sqlite_%'"
        )
        return sorted(name for (name,) in found)

    def digest(self, sql: str) -> str:
        """Return a digest of the rows that a locking read sees now."""
        rows = self._execute(sql).fetchall()
        return hashlib.blake2b(repr(rows).encode(), digest_size=16).hexdigest()

    @contextmanager
    def _rolled_back_after(
        self, before: tuple[Operation, ...], session: SessionFunctions, time: float
    ) -> Iterator[None]:
        self._context = _StatementContext(time, 0, session)
        self._database.execute(f"SAVEPOINT {_SAVEPOINT}")
        try:
            for operation in before:
                outcome = self._run_checked(operation)
                if outcome.error is not None:
                    raise outcome.error
            yield
        finally:
            self._database.execute(f"ROLLBACK TO {_SAVEPOINT}")
            self._database.execute(f"RELEASE {_SAVEPOINT}")

    def _run_checked(self, operation: Operation) -> Outcome:
        """Run a statement and compare its results with those reported to the client."""
        try:
            if operation.digest:
                same = self.digest(operation.sql) == operation.digest
                return Outcome() if same else Outcome(error=conflict())
        except CallerError as error:
            return Outcome(error=error)
        outcome = self._run(operation)
        if operation.affected_rows == NOT_EXPECTED:
            return outcome
        reported = (operation.affected_rows, operation.last_insert_id)
        if outcome.error is None and (outcome.affected_rows, outcome.last_insert_id) == reported:
            return outcome
        return Outcome(error=conflict())

    def _run(self, operation: Operation) -> Outcome:
        shape = shape_of(operation.sql)
        try:
            cursor = self._execute_shape(shape)
            table = translate(shape.text).table
        except CallerError as error:
            return Outcome(error=error)
        affected = max(0, cursor.rowcount)
        if not table or not affected or not self._has_generated_key(table):
            return Outcome(affected)
        return Outcome(affected, (cursor.lastrowid or 0) - affected + 1)

    def _execute(self, sql: str) -> sqlite3.Cursor:
        return self._execute_shape(shape_of(sql))

    def _execute_shape(self, shape: Shape) -> sqlite3.Cursor:
        translation = translate(shape.text)
        try:
            return self._database.execute(translation.sql, shape.named())
        except sqlite3.Error as error:
            raise mysql_error(error) from error
        except (OverflowError, sqlite3.Warning) as error:
            raise CallerError(1264, "22003", str(error)) from error

    def _has_generated_key(self, table: str) -> bool:
        """Return whether the database assigns the table's key (a single INTEGER primary key)."""
        known = self._has_generated_key_by_table.get(table)
        if known is None:
            columns = self._database.execute(f'PRAGMA table_info("{table}")').fetchall()
            keys = [str(kind).upper() for _, _, kind, _, _, key in columns if key]
            known = keys == ["INTEGER"]
            if len(self._has_generated_key_by_table) > CACHED_STATEMENTS:
                self._has_generated_key_by_table.clear()
            self._has_generated_key_by_table[table] = known
        return known

    def _add_functions(self) -> None:
        add = self._database.create_function
        add("NOW", -1, lambda *_: self._now())
        add("UNIX_TIMESTAMP", 0, lambda: int(self._context.time))
        add("RAND", -1, lambda *_: self._context.random().random())
        add(
            "UUID",
            0,
            lambda: str(uuid.UUID(int=self._context.random().getrandbits(128), version=4)),
        )
        add("SLEEP", 1, lambda _: 0)
        add("CONCAT", -1, lambda *parts: None if None in parts else "".join(map(str, parts)))
        add("GET_LOCK", -1, lambda name, *_: self._session().get_lock(str(name)))
        add("RELEASE_LOCK", 1, lambda name: self._session().release_lock(str(name)))
        add("IS_USED_LOCK", 1, lambda name: self._session().lock_holder(str(name)))
        add("IS_FREE_LOCK", 1, lambda name: int(self._session().lock_holder(str(name)) is None))
        for name in ("CONNECTION_ID", "DATABASE", "USER", "CURRENT_USER", "VERSION"):
            add(name, 0, lambda name=name: self._session().value(name))
        for name in ("LAST_INSERT_ID", "ROW_COUNT"):
            add(name, 0, lambda name=name: self._session().value(name))

    def _now(self) -> str:
        return datetime.fromtimestamp(self._context.time, UTC).strftime("%Y-%m-%d %H:%M:%S")

    def _session(self) -> SessionFunctions:
        if self._context.session is None:
            raise ValueError("session functions are not allowed in replicated statements")
        return self._context.session


def _names(cursor: sqlite3.Cursor) -> tuple[str, ...]:
    return tuple(column[0] for column in cursor.description or ())


def conflict() -> CallerError:
    """Return the MySQL error for a transaction that conflicted with another; no changes remain."""
    return CallerError(DEADLOCK, "40001", "Deadlock found; try restarting transaction; not run")


def mysql_error(error: sqlite3.Error) -> CallerError:
    """Translate an SQLite error to the corresponding MySQL error."""
    text = str(error)
    for fragment, code, sqlstate in (
        ("UNIQUE constraint failed", 1062, "23000"),
        ("NOT NULL constraint failed", 1048, "23000"),
        ("constraint failed", 1452, "23000"),
        ("no such table", 1146, "42S02"),
        ("no such column", 1054, "42S22"),
        ("no column named", 1054, "42S22"),
        ("already exists", 1050, "42S01"),
        ("no such function", 1305, "42000"),
        ("syntax error", 1064, "42000"),
        ("incomplete input", 1064, "42000"),
        ("values for", 1136, "21S01"),
    ):
        if fragment in text:
            return CallerError(code, sqlstate, text)
    return CallerError(1105, "HY000", text)
