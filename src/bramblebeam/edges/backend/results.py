"""Results of statements at a back end."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from bramblebeam.core.statement import ColumnSpec

Rows = tuple[tuple[Any, ...], ...]


class RowBatch(NamedTuple):
    """A batch of rows of a streamed result. `more`: further rows follow."""

    rows: Rows
    more: bool


@dataclass(frozen=True, slots=True)
class BackendResult:
    """A statement's result. If `more` is set, these are the first rows; `fetch` returns the rest.

    Integers are int, FLOAT and DOUBLE are float, values of the BLOB family are bytes; all others,
    including decimals and temporal values, are the text that the server sent. A column's type code
    is one of the BLOB family if and only if its values are bytes.
    """

    columns: tuple[ColumnSpec, ...] = ()
    rows: Rows = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    info: str = ""
    in_transaction: bool = False
    more: bool = False
