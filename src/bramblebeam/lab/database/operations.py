"""What one entry of the log does to the rows."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from bramblebeam.edges.mysql.results import CallerError

NOT_EXPECTED = -1


class Operation(NamedTuple):
    """One statement of an entry, in MySQL's words.

    `affected_rows`, `last_insert_id` and `digest` are what the client was told before the commit;
    when the statement comes to another end, the transaction conflicts. NOT_EXPECTED, and an empty
    digest: the client was told nothing yet.
    """

    sql: str
    database: str
    affected_rows: int = NOT_EXPECTED
    last_insert_id: int = NOT_EXPECTED
    digest: str = ""


class Batch(NamedTuple):
    """The payload of an entry: the statements of one write or transaction.

    `time` (seconds since 1970) is what the statements take for now, on every member. `request` is
    the client's id of the request, or empty.
    """

    time: float
    operations: tuple[Operation, ...]
    request: str = ""


def batch_of(payload: Any) -> Batch:
    """Return a payload that may have travelled as plain arrays."""
    if isinstance(payload, Batch):
        return payload
    time, operations, request = payload
    return Batch(time, tuple(Operation(*operation) for operation in operations), request)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a statement or batch came to; the same on every member."""

    affected_rows: int = 0
    last_insert_id: int = 0
    error: CallerError | None = None
