"""What callers saw, as the judge reads it."""

from enum import Enum
from typing import NamedTuple

PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"})
"""Answers that promise that nothing of the attempt is kept."""
NO_ANSWER = "no answer"


class Kind(Enum):
    """What a caller asked for."""

    WRITE = "write"
    TRANSACTION = "transaction"
    """A write between BEGIN and COMMIT; the answer is that of the last statement sent."""
    READ = "read"


class Attempt(NamedTuple):
    """One attempt of a caller. Times: steady clock, seconds.

    `caller`: a session. `number`: what it wrote or read, 0 for nothing. `code`: empty for a
    success, NO_ANSWER where the connection ended or nothing came.
    """

    kind: Kind
    caller: str
    route: str
    key: str
    number: int
    identifier: str
    sent_at: float
    answered_at: float
    code: str
    signature: str

    @property
    def succeeded(self) -> bool:
        """Whether the caller was told that it is done."""
        return not self.code


History = list[Attempt]
