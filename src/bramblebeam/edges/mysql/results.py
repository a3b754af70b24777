"""Results and errors that a session returns to its client."""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any

from bramblebeam.core.statement import ColumnSpec

BYTES_TYPE_CODES = frozenset({249, 250, 251, 252})
"""MySQL type codes of the BLOB family. Only values of these types are bytes."""


@dataclass(frozen=True, slots=True)
class OkResult:
    """The result of a statement without rows. `info` is the text of the OK packet."""

    affected_rows: int = 0
    last_insert_id: int = 0
    info: str = ""
    in_transaction: bool = False
    autocommit: bool = True


@dataclass(frozen=True, slots=True)
class RowsResult:
    """A result set. Rows of an asynchronous iterator are streamed in constant memory."""

    columns: tuple[ColumnSpec, ...]
    rows: Sequence[Sequence[Any]] | AsyncIterator[Sequence[Any]]
    in_transaction: bool = False
    autocommit: bool = True


class CallerError(Exception):
    """A MySQL error for the client: its statement or connection is refused."""

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        super().__init__(f"{code} ({sqlstate}): {message}")
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


@dataclass(frozen=True, slots=True)
class ConnectionInfo:
    """An authenticated client. `attributes` are the connection attributes that it sent."""

    id: int
    user: str
    database: str
    attributes: dict[str, str]
    remote: str
