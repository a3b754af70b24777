"""The statements of a log entry and their outcome."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from bramblebeam.edges.mysql.results import CallerError

NOT_EXPECTED = -1


class Operation(NamedTuple):
    """One statement of an entry, as MySQL text.

    `affected_rows`, `last_insert_id` and `digest` are results reported to the client before the
    commit; if applying the statement gives other results, the transaction conflicts. NOT_EXPECTED
    and an empty digest mean that nothing was reported.
    """

    sql: str
    database: str
    affected_rows: int = NOT_EXPECTED
    last_insert_id: int = NOT_EXPECTED
    digest: str = ""


class Batch(NamedTuple):
    """The payload of an entry: the statements of one write or transaction.

    `time` (Unix time) is the current time for the statements on every member. `request` is the
    client's id of the request, or empty.
    """

    time: float
    operations: tuple[Operation, ...]
    request: str = ""


def batch_of(payload: Any) -> Batch:
    """Return the payload as a Batch. After decoding from the wire or disk it is plain arrays."""
    if isinstance(payload, Batch):
        return payload
    time, operations, request = payload
    return Batch(time, tuple(Operation(*operation) for operation in operations), request)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a statement or batch, identical on every member."""

    affected_rows: int = 0
    last_insert_id: int = 0
    error: CallerError | None = None
