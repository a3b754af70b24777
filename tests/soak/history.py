"""Records of the attempts of callers, the input of the judge."""

from enum import Enum
from typing import NamedTuple

NO_EFFECT_CODES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"})
"""Error codes that guarantee that the attempt had no effect."""
NO_ANSWER = "no answer"
"""Code of an attempt that got no answer."""
NOT_COMMITTED = "not committed"
"""Code of a transaction that ended without a COMMIT and without a promise."""


class Kind(Enum):
    """Type of an attempt."""

    WRITE = "write"
    TRANSACTION = "transaction"
    """A write between BEGIN and COMMIT, recorded with the answer to the last statement sent."""
    READ = "read"


class Attempt(NamedTuple):
    """One attempt of a caller. Times: monotonic clock, seconds.

    `number`: number that was written or read, 0 for none. `code`: empty for a success, NO_ANSWER
    if the connection ended or the answer timed out. `session`: sequence number of the caller's
    session. `sent_sequence`, `answered_sequence`: event sequence numbers, 0 if not recorded.
    `values`: values that the session had set. `was_sent`: whether there was a connection to send it
    on. `node`: index of the node, -1 if not recorded.
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
    sent_sequence: int = 0
    answered_sequence: int = 0
    values: frozenset[tuple[str, str]] = frozenset()
    was_sent: bool = True
    node: int = -1

    @property
    def succeeded(self) -> bool:
        """Whether the caller received a success."""
        return not self.code


class Statement(NamedTuple):
    """One QUERY line of a caller. Times: monotonic clock, seconds.

    `word`: first word of its text. `node`, `start_number`: index of the node and number of its
    process, from 1 on. `code`: empty for a success, NO_ANSWER without a complete answer.
    `timed_out`: whether the caller gave up, so that the connection did not end.
    """

    identifier: str
    caller: str
    route: str
    word: str
    in_transaction: bool
    node: int
    start_number: int
    sent_at: float
    ended_at: float
    code: str
    timed_out: bool = False


History = list[Attempt]
