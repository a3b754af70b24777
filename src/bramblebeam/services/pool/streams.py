"""Results that are larger than one message: their rows are fetched in bounded portions."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from bramblebeam.core.statement import ExecuteReply, RequestId
from bramblebeam.services.pool.slots import Slot

FETCH_ROWS = 500
PORTION_BYTES = 1024 * 1024
"""A message carries rows of about so many bytes at most, and one row at least."""
IDLE_BOUND = 30.0
"""A result whose rows nobody asks for is given up after so long (seconds)."""
VALUE_BYTES = 8

Row = tuple[Any, ...]


@dataclass(slots=True)
class ResultStream:
    """The rest of one result. `finish(complete)` gives its slot back or ends its transaction."""

    request: RequestId
    slot: Slot
    finish: Callable[[bool], Awaitable[None]]
    used_at: float
    rows: deque[Row] = field(default_factory=deque)
    more: bool = True
    """Whether the back end has rows that were not read yet."""
    busy: bool = False

    async def next_portion(self) -> tuple[Row, ...]:
        """Return the next rows. Raises StatementError, ConnectionLostError."""
        if not self.rows and self.more:
            batch = await self.slot.connection.fetch(FETCH_ROWS)
            self.rows.extend(batch.rows)
            self.more = batch.more
        return take_portion(self.rows)

    @property
    def over(self) -> bool:
        """Whether every row was handed out."""
        return not self.rows and not self.more

    def reply(self, rows: tuple[Row, ...]) -> ExecuteReply:
        """Return the answer that carries a portion."""
        return ExecuteReply(self.request, rows=rows, more=not self.over)


def take_portion(rows: deque[Row]) -> tuple[Row, ...]:
    """Take rows off the front until the portion is full."""
    portion: list[Row] = []
    size = 0
    while rows and size < PORTION_BYTES:
        row = rows.popleft()
        portion.append(row)
        size += row_size(row)
    return tuple(portion)


def row_size(row: Row) -> int:
    """Return about how many bytes a row takes in a message."""
    return sum(len(value) if isinstance(value, str | bytes) else VALUE_BYTES for value in row)


def fits(rows: tuple[Row, ...]) -> bool:
    """Whether the rows fit into one portion."""
    size = 0
    for row in rows:
        size += row_size(row)
        if size >= PORTION_BYTES:
            return False
    return True
