"""Classification of errors from a caller's view, by the code ranges of docs/errors.md.

Deliberately independent of the product's own table: a caller has only the documentation.
"""

import re
from dataclasses import dataclass

from bramblebeam.lab.history.records import Outcome

NOT_RUN_CODES = range(9_100, 9_200)
RAN_CODES = range(9_200, 9_300)
UNKNOWN_CODES = range(9_300, 9_400)
DRIVER_CODES = range(2_000, 3_000)
"""Client-side codes that the driver raises when it loses its connection."""

REASONS = {
    1: "QUEUE_FULL",
    2: "QUEUE_TIMEOUT",
    3: "NO_PRIMARY",
    4: "REPLICA_BEHIND",
    5: "STALE_TERM",
    6: "NOT_OWNER",
    7: "LEAVING",
    8: "UNREACHABLE",
    9: "NO_CONFIGURATION",
    10: "TOO_MANY_CONNECTIONS",
    11: "DEADLINE",
    12: "CONNECTION_LOST",
    13: "TRANSACTION_LOST",
    14: "DUPLICATE_REQUEST",
    15: "BACKEND_ERROR",
    16: "RETRY_BUDGET",
    17: "STOPPING",
    18: "BAD_REQUEST",
}

_RETRY_AFTER_PATTERN = re.compile(r"retry after (\d+) ms")


@dataclass(frozen=True, slots=True)
class CallerOutcome:
    """Outcome of a statement as its caller sees it. `code` 0 means success."""

    outcome: Outcome
    reason: str = ""
    code: int = 0
    text: str = ""
    retry_after_ms: int = 0


SUCCESS = CallerOutcome("ok")


def outcome_of(code: int, text: str) -> CallerOutcome:
    """Classify an error code and message of the driver or the server."""
    if code in DRIVER_CODES or code == 0:
        return CallerOutcome("lost", code=code, text=text)
    for codes, outcome in _OUTCOME_BY_RANGE:
        if code in codes:
            reason = REASONS.get(code - codes.start, str(code))
            return CallerOutcome(outcome, reason, code, text, _retry_after(text))
    return CallerOutcome("not_run", f"MYSQL_{code}", code, text)


_OUTCOME_BY_RANGE: tuple[tuple[range, Outcome], ...] = (
    (NOT_RUN_CODES, "not_run"),
    (RAN_CODES, "ran"),
    (UNKNOWN_CODES, "unknown"),
)


def _retry_after(text: str) -> int:
    match = _RETRY_AFTER_PATTERN.search(text)
    return int(match[1]) if match else 0
