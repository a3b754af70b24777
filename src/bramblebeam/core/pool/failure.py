"""Maps database errors and lost connections to the verdict that the caller gets."""

from bramblebeam.core.statement import ExecuteRequest, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict

ERROR_STALE_TERM = 3101
"""The instance is not a primary, or has a lower term: the write did not run."""
ERROR_NO_MAJORITY = 3102
"""The write was not acknowledged by a majority: it may have run, or may still run."""
ERROR_DEADLOCK = 1213
"""The database rolled back the whole transaction."""
NO_MAJORITY_RETRY_MS = 500
STALE_TERM_RETRY_MS = 100
LOST_RETRY_MS = 50


def refusal_of_error(code: int, sqlstate: str, message: str) -> Refusal:
    """Return the verdict for a statement that the database answered with an error packet."""
    if code == ERROR_STALE_TERM:
        return Refusal(Verdict.NOT_RUN, Reason.STALE_TERM, message, STALE_TERM_RETRY_MS)
    if code == ERROR_NO_MAJORITY:
        return Refusal(
            Verdict.UNKNOWN, Reason.BACKEND_ERROR, message, NO_MAJORITY_RETRY_MS, code, sqlstate
        )
    return Refusal(Verdict.NOT_RUN, Reason.BACKEND_ERROR, message, 0, code, sqlstate)


def refusal_of_interrupted(
    reason: Reason, detail: str, *, in_doubt: bool, in_transaction: bool
) -> Refusal:
    """Return the verdict for a statement that was sent and got no complete answer.

    `in_doubt`: it may have taken effect. Otherwise it did not and cannot, because the database
    rolls back whatever its connection had not committed.
    """
    if in_doubt:
        return Refusal(Verdict.UNKNOWN, reason, detail)
    if in_transaction:
        detail = f"{detail}; the transaction is rolled back"
        return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail, LOST_RETRY_MS)
    return Refusal(Verdict.NOT_RUN, reason, detail, LOST_RETRY_MS)


def refusal_of_unknown_transaction(request: ExecuteRequest) -> Refusal:
    """Return the verdict for a statement of a transaction that the owner does not know (any more).

    Without its COMMIT, a transaction is rolled back with its connection. A COMMIT that was sent
    earlier may have run.
    """
    detail = "the transaction is gone"
    if request.kind is StatementKind.COMMIT and request.repeat:
        return Refusal(Verdict.UNKNOWN, Reason.TRANSACTION_LOST, detail)
    return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, f"{detail}; it was rolled back")


def ends_transaction(kind: StatementKind, refusal: Refusal | None, *, still_open: bool) -> bool:
    """Return whether the answer to one of its statements ends a transaction.

    `refusal`: None for a normal answer. `still_open`: the transaction state in the database's last
    answer.
    """
    if refusal is None:
        return kind is not StatementKind.READ and not still_open
    if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        return True
    if refusal.reason is Reason.DUPLICATE_REQUEST:
        return False
    return refusal.reason is not Reason.BACKEND_ERROR or refusal.code == ERROR_DEADLOCK
