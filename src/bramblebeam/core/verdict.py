"""Verdicts on whether a refused or failed request may have run, and the reasons."""

from enum import IntEnum
from typing import NamedTuple


class Verdict(IntEnum):
    """What is known about the execution of a failed request."""

    NOT_RUN = 1
    """It did not run and can no longer run. It may be repeated."""
    RAN = 2
    """It ran; its result may be lost. It must not be repeated."""
    UNKNOWN = 3
    """It may have run. It may be repeated only if it is idempotent."""


class Reason(IntEnum):
    """Why a request was refused or failed. Each maps to a MySQL error code (see docs/errors.md)."""

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
    """The final outcome of a request that was refused or failed.

    `retry_after_ms`: when the caller may retry (milliseconds; 0: immediately).
    `code` and `sqlstate`: the back end's error; set only for BACKEND_ERROR.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0
    code: int = 0
    sqlstate: str = ""

    @property
    def may_retry(self) -> bool:
        """Whether the request may be resent even if it must not run twice."""
        return self.verdict is Verdict.NOT_RUN
