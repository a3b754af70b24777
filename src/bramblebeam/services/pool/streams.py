"""Results larger than one message, whose rows are fetched in bounded portions."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from bramblebeam.core.statement import ExecuteReply, RequestId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.edges.backend import BackendConnection, BackendError, BackendResult

FETCH_ROWS = 500
PORTION_BYTES = 1024 * 1024
"""Approximate limit on the rows of one message, which carries at least one row."""
IDLE_TIMEOUT = 30.0
"""A result whose rows are not fetched for this long is discarded (seconds)."""
VALUE_BYTES = 8
"""Assumed size of a value that is neither text nor bytes."""

Row = tuple[Any, ...]


@dataclass(slots=True)
class ResultStream:
    """The rest of one result. `finish(complete)` releases its slot or ends its transaction."""

    request: RequestId
    connection: BackendConnection
    finish: Callable[[bool], None]
    used_at: float
    rows: deque[Row]
    more: bool
    """Whether the back end has rows that have not been read yet."""
    busy: bool = False

    async def next_portion(self) -> tuple[Row, ...]:
        """Return the next rows. Raises StatementError, ConnectionLostError."""
        if not self.rows and self.more:
            batch = await self.connection.fetch(FETCH_ROWS)
            self.rows.extend(batch.rows)
            self.more = batch.more
        return take_portion(self.rows)

    @property
    def exhausted(self) -> bool:
        """Whether every row has been returned."""
        return not self.rows and not self.more


class ResultStreams:
    """The results of one instance whose rows are still to be fetched."""

    def __init__(self) -> None:
        self._open: dict[RequestId, ResultStream] = {}
        self._loop = asyncio.get_running_loop()

    def find(self, request: RequestId) -> ResultStream | None:
        """Return the request's open result, or None."""
        return self._open.get(request)

    def uses(self, connection: BackendConnection) -> bool:
        """Whether a result that was read on this connection has rows to be fetched."""
        return any(stream.connection is connection for stream in self._open.values())

    def begin(
        self,
        request: RequestId,
        connection: BackendConnection,
        result: BackendResult,
        finish: Callable[[bool], None],
    ) -> BackendResult:
        """Keep the rest of a result that is too large for one message; return its head."""
        rows = deque(result.rows)
        head = take_portion(rows)
        stream = ResultStream(request, connection, finish, self._loop.time(), rows, result.more)
        if stream.exhausted:
            finish(True)
        else:
            self._open[request] = stream
        return replace(result, rows=head, more=not stream.exhausted)

    async def fetch(self, stream: ResultStream) -> ExecuteReply:
        """Return the next rows of a stream."""
        stream.busy = True
        try:
            rows = await stream.next_portion()
        except BackendError as error:
            self.end(stream, complete=False)
            refusal = Refusal(Verdict.NOT_RUN, Reason.CONNECTION_LOST, str(error))
            return ExecuteReply(stream.request, refusal=refusal)
        finally:
            stream.busy = False
            stream.used_at = self._loop.time()
        if stream.exhausted:
            self.end(stream, complete=True)
        return ExecuteReply(stream.request, rows=rows, more=not stream.exhausted)

    def end(self, stream: ResultStream, *, complete: bool) -> None:
        """End a stream. If it is not `complete`, its remaining rows are discarded."""
        if self._open.pop(stream.request, None) is not None:
            stream.finish(complete)

    def end_of_session(self, session: str) -> None:
        """End the results of one session."""
        for stream in list(self._open.values()):
            if stream.request.session == session:
                self.end(stream, complete=False)

    def end_idle(self, now: float) -> None:
        """End the results whose rows have not been fetched for too long."""
        for stream in list(self._open.values()):
            if not stream.busy and now - stream.used_at > IDLE_TIMEOUT:
                self.end(stream, complete=False)


def take_portion(rows: deque[Row]) -> tuple[Row, ...]:
    """Remove rows from the front until the portion is full, and return them."""
    portion: list[Row] = []
    size = 0
    while rows and size < PORTION_BYTES:
        row = rows.popleft()
        portion.append(row)
        size += row_size(row)
    return tuple(portion)


def row_size(row: Row) -> int:
    """Return the approximate size of a row in a message (bytes)."""
    return sum(len(value) if isinstance(value, str | bytes) else VALUE_BYTES for value in row)


def fits_in_message(result: BackendResult) -> bool:
    """Whether the whole result fits into one message."""
    if result.more:
        return False
    size = 0
    for row in result.rows:
        size += row_size(row)
        if size >= PORTION_BYTES:
            return False
    return True
