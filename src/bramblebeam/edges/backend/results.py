"""What a back end answers to a statement."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from bramblebeam.core.statement import ColumnSpec

Rows = tuple[tuple[Any, ...], ...]


class RowBatch(NamedTuple):
    """Some rows of a streamed result. `more`: others follow."""

    rows: Rows
    more: bool


@dataclass(frozen=True, slots=True)
class BackendResult:
    """A statement's answer, or its head: where `more` is set, `fetch` gives the other rows.

    Integers come as int, FLOAT and DOUBLE as float, values of the BLOB family as bytes, all
    others (decimals and times too) as the text the server sent. A column's type code is one of
    the BLOB family if and only if its values are bytes.
    """

    columns: tuple[ColumnSpec, ...] = ()
    rows: Rows = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    info: str = ""
    in_transaction: bool = False
    more: bool = False
