"""What can go wrong at a back end, and whether the statement may have run."""

from bramblebeam.core.verdict import Verdict

MAJORITY_NOT_REACHED = 3102
"""The group's code for a write that the primary has in its log but no majority acknowledged."""

FAILED_DURING_COMMIT = 1180
MAY_HAVE_RUN = frozenset({MAJORITY_NOT_REACHED, FAILED_DURING_COMMIT})
"""Error packets that do not say that the statement was rolled back."""


class BackendError(Exception):
    """No ordinary answer from a back end. `verdict` says whether the statement may have run."""

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class ConnectError(BackendError):
    """No connection was made; nothing has run.

    `code` is the server's error code where it refused the connection, else 0.
    """

    def __init__(self, message: str, code: int = 0) -> None:
        super().__init__(message, Verdict.NOT_RUN)
        self.code = code


class StatementError(BackendError):
    """The server answered the statement with an error. The connection stays usable."""

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        verdict = Verdict.UNKNOWN if code in MAY_HAVE_RUN else Verdict.NOT_RUN
        super().__init__(f"{code} ({sqlstate}): {message}", verdict)
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


class ConnectionLostError(BackendError):
    """The connection broke. `sent` False: the statement surely did not reach the server whole."""

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message, Verdict.UNKNOWN if sent else Verdict.NOT_RUN)
        self.sent = sent
