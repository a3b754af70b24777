"""Verdicts: whether a request that got no ordinary answer may have run."""

from enum import IntEnum
from typing import NamedTuple


class Verdict(IntEnum):
    """What is known of a request that failed."""

    NOT_RUN = 1
    """It did not happen and cannot happen any more. It may be repeated."""
    RAN = 2
    """It happened; its result may be lost. It must not be repeated."""
    UNKNOWN = 3
    """It may have happened. Only a request that is harmless to repeat may be repeated."""


class Reason(IntEnum):
    """Why a request was refused or failed. Each has one MySQL error code (see docs/errors.md)."""

    QUEUE_FULL = 1
    QUEUE_TIMEOUT = 2
    NO_PRIMARY = 3
    REPLICA_BEHIND = 4
    STALE_TERM = 5
    NOT_OWNER = 6
    LEAVING = 7
    UNREACHABLE = 8
    NO_CONFIGURATION = 9
    TOO_MANY_CONNECTIONS = 10
    DEADLINE = 11
    CONNECTION_LOST = 12
    TRANSACTION_LOST = 13
    DUPLICATE_REQUEST = 14
    BACKEND_ERROR = 15
    RETRY_BUDGET = 16
    STOPPING = 17
    BAD_REQUEST = 18
    UNKNOWN_STATEMENT = 19
    UNKNOWN_DATABASE = 20
    UNKNOWN_KEY = 21
    OVER_LIMIT = 22


class Refusal(NamedTuple):
    """The final word on a request that has no ordinary answer.

    `retry_after_ms` is when the caller may come back (milliseconds; 0: at once).
    `code` and `sqlstate` are set only for BACKEND_ERROR: the back end's own words.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0
    code: int = 0
    sqlstate: str = ""

    @property
    def may_retry(self) -> bool:
        """Whether any request, also one that may not run twice, may be sent again."""
        return self.verdict is Verdict.NOT_RUN
