"""The reply to one statement, independent of the wire protocol."""

from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.core.verdict import Reason, Refusal, Verdict


class TransactionState(IntEnum):
    """The transaction state of a connection between statements."""

    IDLE = 1
    OPEN = 2
    FAILED = 3


class Reply(NamedTuple):
    """The complete reply to one statement.

    `signature` proves to the caller that the database ran the statement. `position`: the log
    position that the database served from.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    refusal: Refusal | None = None
    state: TransactionState = TransactionState.IDLE
    position: Position = ZERO_POSITION


TRANSACTION_FAILED = Reply(
    refusal=Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, "the transaction has failed"),
    state=TransactionState.FAILED,
)
"""The reply to any statement of a failed transaction, whichever node ran it."""
