"""The MySQL errors that callers get for refusals, with one range of codes per verdict.

`NOT_RUN` has 9100 to 9199, `RAN` 9200 to 9299, `UNKNOWN` 9300 to 9399; a code is the range's base
plus the reason's number. A back end's own error keeps its code and SQLSTATE, unless the statement
may have run despite it.
"""

from typing import NamedTuple

from bramblebeam.core.verdict import Reason, Refusal, Verdict

CODE_BASE = {Verdict.NOT_RUN: 9_100, Verdict.RAN: 9_200, Verdict.UNKNOWN: 9_300}

SQLSTATE = {
    Verdict.NOT_RUN: "40001",
    Verdict.RAN: "HY000",
    Verdict.UNKNOWN: "40003",
}
"""By the SQL standard, 40001 means rolled back, may be retried; 40003 means completion unknown."""

BAD_REQUEST_SQLSTATE = "42000"

VERDICT_TEXT = {
    Verdict.NOT_RUN: "not run",
    Verdict.RAN: "has run",
    Verdict.UNKNOWN: "may have run",
}

REASON_TEXT = {
    Reason.QUEUE_FULL: "queue is full",
    Reason.QUEUE_TIMEOUT: "no connection became free in time",
    Reason.NO_PRIMARY: "the group has no reachable primary",
    Reason.REPLICA_BEHIND: "no replica has caught up",
    Reason.STALE_TERM: "the primary was replaced",
    Reason.NOT_OWNER: "the back end changes hands",
    Reason.LEAVING: "the back end is leaving",
    Reason.UNREACHABLE: "the back end cannot be reached",
    Reason.NO_CONFIGURATION: "no rows are in force for this database",
    Reason.TOO_MANY_CONNECTIONS: "too many connections",
    Reason.DEADLINE: "the deadline has passed",
    Reason.CONNECTION_LOST: "the connection to the back end was lost",
    Reason.TRANSACTION_LOST: "the transaction was lost",
    Reason.DUPLICATE_REQUEST: "the request id was used before",
    Reason.BACKEND_ERROR: "the back end reported an error",
    Reason.RETRY_BUDGET: "the retry budget is spent",
    Reason.STOPPING: "the node is stopping",
    Reason.BAD_REQUEST: "the statement is not supported",
    Reason.UNKNOWN_STATEMENT: "no statement is prepared under this name",
    Reason.UNKNOWN_DATABASE: "no route leads to this database",
    Reason.UNKNOWN_KEY: "no tenant holds this key",
    Reason.OVER_LIMIT: "the tenant is past its limit",
}

DEFAULT_RETRY_AFTER_MS = {
    Reason.QUEUE_FULL: 500,
    Reason.QUEUE_TIMEOUT: 500,
    Reason.NO_PRIMARY: 1_000,
    Reason.REPLICA_BEHIND: 200,
    Reason.STALE_TERM: 500,
    Reason.NOT_OWNER: 200,
    Reason.LEAVING: 200,
    Reason.UNREACHABLE: 500,
    Reason.NO_CONFIGURATION: 1_000,
    Reason.TOO_MANY_CONNECTIONS: 1_000,
    Reason.DEADLINE: 1_000,
    Reason.CONNECTION_LOST: 100,
    Reason.TRANSACTION_LOST: 100,
    Reason.RETRY_BUDGET: 1_000,
    Reason.OVER_LIMIT: 1_000,
}
"""Milliseconds after which a caller may retry, if the refusal itself gives none."""


class ErrorPacket(NamedTuple):
    """The fields of a MySQL error packet."""

    code: int
    sqlstate: str
    message: str


def error_packet(refusal: Refusal) -> ErrorPacket:
    """Return the MySQL error for a refusal."""
    is_own_error = refusal.reason is Reason.BACKEND_ERROR and refusal.verdict is Verdict.NOT_RUN
    if is_own_error and refusal.code:
        return ErrorPacket(refusal.code, refusal.sqlstate or "HY000", refusal.detail)
    code = CODE_BASE[refusal.verdict] + refusal.reason
    sqlstate = SQLSTATE[refusal.verdict]
    if refusal.reason is Reason.BAD_REQUEST:
        sqlstate = BAD_REQUEST_SQLSTATE
    return ErrorPacket(code, sqlstate, _message(refusal))


def _message(refusal: Refusal) -> str:
    parts = [f"bramblebeam: {VERDICT_TEXT[refusal.verdict]}: {REASON_TEXT[refusal.reason]}"]
    if refusal.detail:
        parts.append(refusal.detail)
    retry_after = refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS.get(refusal.reason, 0)
    if refusal.verdict is Verdict.NOT_RUN and refusal.reason is not Reason.BAD_REQUEST:
        parts.append(f"retry after {retry_after} ms")
    return "; ".join(parts)
