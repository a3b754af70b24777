"""The only mapping between refusals (verdict and reason) and error codes on the wire."""

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
"""Codes of statements that did not run; any other reason maps to NOT_RUN_CODE."""

_NOT_RETRYABLE = (Reason.BAD_REQUEST, Reason.UNKNOWN_KEY)
"""Permanent refusals: their texts suggest no delay for a retry."""
NOT_RUN_CODE = "BUSY"
RAN_CODE = "FAILED"
UNKNOWN_CODE = "INDOUBT"
TIMED_OUT_CODE = "TIMEOUT"

_REFUSALS_BY_CODE = {
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
    """Return the refusal for a database's error; an unknown code leaves the outcome uncertain."""
    verdict, reason = _REFUSALS_BY_CODE.get(code, (Verdict.UNKNOWN, Reason.BACKEND_ERROR))
    return Refusal(verdict, reason, text)


def error_code(refusal: Refusal) -> str:
    """Return the error code that a caller receives for a refusal."""
    if refusal.verdict is Verdict.NOT_RUN:
        return _NOT_RUN_CODES.get(refusal.reason, NOT_RUN_CODE)
    if refusal.reason is Reason.DEADLINE:
        return TIMED_OUT_CODE
    return RAN_CODE if refusal.verdict is Verdict.RAN else UNKNOWN_CODE


def error_text(refusal: Refusal) -> str:
    """Return the error text of a refusal, with the retry delay if the statement did not run."""
    # The detail may quote a library's error of several lines; an answer's text has one.
    text = " ".join((refusal.detail or REASON_TEXT[refusal.reason]).split())
    if refusal.verdict is not Verdict.NOT_RUN or refusal.reason in _NOT_RETRYABLE:
        return text
    retry_after = refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS.get(refusal.reason, 0)
    return f"{text}; retry after {retry_after} ms"
