"""What a session answers to a statement."""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any

from bramblebeam.core.statement import ColumnSpec

BYTES_TYPE_CODES = frozenset({249, 250, 251, 252})
"""MySQL type codes of the BLOB family: their values are bytes; those of other types are not."""


@dataclass(frozen=True, slots=True)
class OkResult:
    """A statement without rows has run. `info` is the text of the OK packet."""

    affected_rows: int = 0
    last_insert_id: int = 0
    info: str = ""
    in_transaction: bool = False
    autocommit: bool = True


@dataclass(frozen=True, slots=True)
class RowsResult:
    """A result set. An asynchronous iterator of rows is written as it yields, in flat memory."""

    columns: tuple[ColumnSpec, ...]
    rows: Sequence[Sequence[Any]] | AsyncIterator[Sequence[Any]]
    in_transaction: bool = False
    autocommit: bool = True


class CallerError(Exception):
    """The statement (or the connection) is refused with a MySQL error code and SQLSTATE."""

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        super().__init__(f"{code} ({sqlstate}): {message}")
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


@dataclass(frozen=True, slots=True)
class ConnectionInfo:
    """Who has connected. `attributes` are the connection attributes the client sent."""

    id: int
    user: str
    database: str
    attributes: dict[str, str]
    remote: str
