"""The one table between verdicts with their reasons and the codes on the wire."""

from bramblebeam.core.session.errors import DEFAULT_RETRY_AFTER_MS, REASON_TEXT
from bramblebeam.core.verdict import Reason, Refusal, Verdict

_NOT_RUN_CODES = {
    Reason.REPLICA_BEHIND: "LAGGING",
    Reason.STALE_TERM: "READONLY",
    Reason.NO_PRIMARY: "READONLY",
    Reason.TOO_MANY_CONNECTIONS: "TOOMANY",
    Reason.TRANSACTION_LOST: "ABORTED",
    Reason.CONNECTION_LOST: "ABORTED",
    Reason.BAD_REQUEST: "MALFORMED",
    Reason.UNKNOWN_STATEMENT: "NOSTMT",
    Reason.UNKNOWN_DATABASE: "NODB",
    Reason.UNKNOWN_KEY: "NOAUTH",
}
"""Codes of what has not run; any other reason has NOT_RUN_CODE."""

_NO_USE_TO_REPEAT = (Reason.BAD_REQUEST, Reason.UNKNOWN_KEY)
"""What is refused for good: no time to come back is told."""
NOT_RUN_CODE = "BUSY"
RAN_CODE = "FAILED"
UNKNOWN_CODE = "INDOUBT"
TIMED_OUT_CODE = "TIMEOUT"

_DATABASE_REFUSALS = {
    "BUSY": (Verdict.NOT_RUN, Reason.QUEUE_FULL),
    "NOSTMT": (Verdict.NOT_RUN, Reason.UNKNOWN_STATEMENT),
    "LAGGING": (Verdict.NOT_RUN, Reason.REPLICA_BEHIND),
    "READONLY": (Verdict.NOT_RUN, Reason.STALE_TERM),
    "MISROUTED": (Verdict.NOT_RUN, Reason.UNREACHABLE),
    "TOOMANY": (Verdict.NOT_RUN, Reason.TOO_MANY_CONNECTIONS),
    "MALFORMED": (Verdict.NOT_RUN, Reason.BAD_REQUEST),
    "ABORTED": (Verdict.NOT_RUN, Reason.TRANSACTION_LOST),
    "TIMEOUT": (Verdict.UNKNOWN, Reason.DEADLINE),
    "FAILED": (Verdict.RAN, Reason.BACKEND_ERROR),
}


def refusal_from_error(code: str, text: str) -> Refusal:
    """Return what a database's error says of the statement."""
    verdict, reason = _DATABASE_REFUSALS.get(code, (Verdict.UNKNOWN, Reason.BACKEND_ERROR))
    return Refusal(verdict, reason, text)


def error_code(refusal: Refusal) -> str:
    """Return the code a caller gets for a refusal."""
    if refusal.verdict is Verdict.NOT_RUN:
        return _NOT_RUN_CODES.get(refusal.reason, NOT_RUN_CODE)
    if refusal.reason is Reason.DEADLINE:
        return TIMED_OUT_CODE
    return RAN_CODE if refusal.verdict is Verdict.RAN else UNKNOWN_CODE


def error_text(refusal: Refusal) -> str:
    """Return the words of a refusal; where nothing has run they tell when to come back."""
    text = refusal.detail or REASON_TEXT[refusal.reason]
    if refusal.verdict is not Verdict.NOT_RUN or refusal.reason in _NO_USE_TO_REPEAT:
        return text
    retry_after = refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS.get(refusal.reason, 0)
    return f"{text}; retry after {retry_after} ms"
