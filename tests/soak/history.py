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

    `number`: what it wrote or read, 0 for nothing. `code`: empty for a success, NO_ANSWER where the
    connection ended or nothing came. `session`: which of the caller's connections it was on.
    `sent_moment`, `answered_moment`: its places in the order of all that happened, 0 where that
    was not noted. `values`: those that the session had set. `was_sent`: whether a connection was
    there to send it on.
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
    session: int = 0
    sent_moment: int = 0
    answered_moment: int = 0
    values: frozenset[tuple[str, str]] = frozenset()
    was_sent: bool = True
    node: int = -1

    @property
    def succeeded(self) -> bool:
        """Whether the caller was told that it is done."""
        return not self.code


History = list[Attempt]
