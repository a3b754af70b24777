"""Errors of back ends, each with a verdict on whether the statement may have run."""

from bramblebeam.core.verdict import Verdict

MAJORITY_NOT_REACHED = 3102
"""Error code of the group: the write is in the primary's log, but no majority acknowledged it."""

FAILED_DURING_COMMIT = 1180
UNCERTAIN_OUTCOME_CODES = frozenset({MAJORITY_NOT_REACHED, FAILED_DURING_COMMIT})
"""Error codes that do not imply that the statement was rolled back."""


class BackendError(Exception):
    """Base of all back-end errors. `verdict` says whether the statement may have run."""

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class ConnectError(BackendError):
    """The connection could not be established; nothing has run.

    `code` is the server's error code if the server refused the connection, else 0.
    """

    def __init__(self, message: str, code: int = 0) -> None:
        super().__init__(message, Verdict.NOT_RUN)
        self.code = code


class StatementError(BackendError):
    """The server returned an error for the statement. The connection stays usable."""

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        verdict = Verdict.UNKNOWN if code in UNCERTAIN_OUTCOME_CODES else Verdict.NOT_RUN
        super().__init__(f"{code} ({sqlstate}): {message}", verdict)
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


class ConnectionLostError(BackendError):
    """The connection was lost. `sent` is False if the server did not get the whole statement."""

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message, Verdict.UNKNOWN if sent else Verdict.NOT_RUN)
        self.sent = sent
