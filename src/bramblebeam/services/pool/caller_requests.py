"""Runs a write that carries a caller-supplied request id at most once.

The id is stored in the database, in a row that the write's own transaction inserts first. A repeat
through another node, another owner or another primary therefore finds it wherever the write is.
"""

import re
import time

import xxhash

from bramblebeam.core.pool.admission import not_run
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.edges.backend import BackendResult
from bramblebeam.edges.backend.status import STATUS_QUERY, parse_status
from bramblebeam.services.pool.execution import Answer, StatementRun

TABLE = "bramblebeam_requests"
CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (id VARCHAR(191) NOT NULL PRIMARY KEY, "
    "digest CHAR(16) NOT NULL, affected_rows BIGINT NOT NULL, "
    "last_insert_id BIGINT NOT NULL, created_ms BIGINT NOT NULL)"
)
CREATE_INDEX = f"CREATE INDEX {TABLE}_created ON {TABLE} (created_ms)"
MAXIMUM_ID_LENGTH = 191
ERROR_DUPLICATE_KEY = 1062
ERROR_DEADLOCK = 1213
"""Two writes conflicted and this one was rolled back; they may be two copies of one request."""
ERROR_NO_SUCH_TABLE = 1146
_PLAIN_ID = re.compile(r"[\w.:-]+")


class CallerRequest:
    """One write with a caller-supplied request id."""

    def __init__(self, run: StatementRun) -> None:
        request = run.request
        self._run = run
        self._connection = run.connection
        self._request = request
        self._id = request.caller_request.replace("\\", "\\\\").replace("'", "''")
        self._digest = xxhash.xxh3_64_hexdigest(request.sql.encode())
        self._is_repeat = False
        self._commit = f"COMMIT {_id_comment(request.caller_request)}"

    async def run(self) -> Answer:
        """Run the write and store its outcome, or return the stored outcome of an earlier run."""
        if len(self._request.caller_request) > MAXIMUM_ID_LENGTH:
            return not_run(
                Reason.BAD_REQUEST, f"request id is longer than {MAXIMUM_ID_LENGTH} characters"
            )
        if self._request.transaction:
            return await self._run_in_transaction()
        answer = await self._run_in_own_transaction()
        if self._table_missing(answer):
            created = await self._execute(CREATE_TABLE)
            if isinstance(created, Refusal):
                return created
            await self._execute(CREATE_INDEX)
            answer = await self._run_in_own_transaction()
        if _code(answer) == ERROR_DEADLOCK:
            answer = await self._run_in_own_transaction()
        return answer

    async def _run_in_own_transaction(self) -> Answer:
        began = await self._execute("BEGIN")
        if isinstance(began, Refusal):
            return began
        answer = await self._run_in_transaction()
        if isinstance(answer, Refusal):
            await self._roll_back()
            return await self._stored_outcome() if self._is_repeat else answer
        committed = await self._run.await_result(
            self._connection.execute(self._commit), in_doubt=True, in_transaction=True
        )
        if isinstance(committed, Refusal):
            return committed
        return BackendResult(
            affected_rows=answer.affected_rows,
            last_insert_id=answer.last_insert_id,
            info=committed.info,
        )

    async def _run_in_transaction(self) -> Answer:
        """Run the statements between BEGIN and COMMIT."""
        inserted = await self._execute(
            f"INSERT INTO {TABLE} (id, digest, affected_rows, last_insert_id, created_ms) "
            f"VALUES ('{self._id}', '{self._digest}', 0, 0, {int(time.time() * 1000)})"
        )
        if isinstance(inserted, Refusal):
            self._is_repeat = inserted.code == ERROR_DUPLICATE_KEY
            return self._duplicate_refusal() if self._is_repeat else inserted
        written = await self._execute(self._request.sql)
        if isinstance(written, Refusal):
            return written
        updated = await self._execute(
            f"UPDATE {TABLE} SET affected_rows = {written.affected_rows}, "
            f"last_insert_id = {written.last_insert_id} WHERE id = '{self._id}'"
        )
        return updated if isinstance(updated, Refusal) else written

    async def _stored_outcome(self) -> Answer:
        """Return the outcome that the first run stored.

        Its position is the primary's applied position, queried after the outcome was found.
        """
        found = await self._execute(
            f"SELECT digest, affected_rows, last_insert_id FROM {TABLE} WHERE id = '{self._id}'"
        )
        if isinstance(found, Refusal) or not found.rows or found.rows[0][0] != self._digest:
            return self._duplicate_refusal()
        state = await self._execute(STATUS_QUERY)
        if isinstance(state, Refusal):
            return self._duplicate_refusal()
        _, affected_rows, last_insert_id = found.rows[0]
        return BackendResult(
            affected_rows=int(affected_rows),
            last_insert_id=int(last_insert_id),
            info=_position_info(state),
        )

    def _duplicate_refusal(self) -> Refusal:
        detail = f"a request with id {self._request.caller_request} has already run"
        return Refusal(Verdict.RAN, Reason.DUPLICATE_REQUEST, detail)

    def _table_missing(self, answer: Answer) -> bool:
        if not isinstance(answer, Refusal) or answer.code != ERROR_NO_SUCH_TABLE:
            return False
        return TABLE in answer.detail

    async def _roll_back(self) -> None:
        if self._connection.broken:
            return
        rolled_back = await self._execute("ROLLBACK")
        if isinstance(rolled_back, Refusal):
            self._connection.abort()

    async def _execute(self, sql: str) -> Answer:
        """Run one statement. Until COMMIT is sent, a failed statement leaves nothing behind."""
        return await self._run.await_result(
            self._connection.execute(sql), in_doubt=False, in_transaction=True
        )


def _code(answer: Answer) -> int:
    return answer.code if isinstance(answer, Refusal) else 0


def _id_comment(identifier: str) -> str:
    """Return the id as an SQL comment, so that the back end's logs show it with the commit."""
    shown = identifier if _PLAIN_ID.fullmatch(identifier) else "?"
    return f"/* bramblebeam_request={shown} */"


def _position_info(state: BackendResult) -> str:
    applied = parse_status(state).applied
    return f"position={applied.term}:{applied.offset}"
