"""Turns what went wrong at a back end into the verdict that its caller gets."""

from bramblebeam.core.statement import ExecuteRequest, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict

ERROR_STALE_TERM = 3101
"""The back end is no primary, or of a lower term: the write surely did not run."""
ERROR_NO_MAJORITY = 3102
"""The write was not acknowledged by a majority: it may have run, or may run yet."""
ERROR_DEADLOCK = 1213
"""The back end rolled the whole transaction back."""
NO_MAJORITY_RETRY_MS = 500
STALE_TERM_RETRY_MS = 100
LOST_RETRY_MS = 50


def refusal_of_error(code: int, sqlstate: str, message: str) -> Refusal:
    """Return the verdict on an error packet that answered a statement."""
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
    """Return the verdict on a statement that was sent and got no whole answer.

    `in_doubt`: it may have taken effect all the same. Otherwise it did not and cannot, because the
    back end rolls back what its connection had not committed.
    """
    if in_doubt:
        return Refusal(Verdict.UNKNOWN, reason, detail)
    if in_transaction:
        detail = f"{detail}; the transaction is rolled back"
        return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail, LOST_RETRY_MS)
    return Refusal(Verdict.NOT_RUN, reason, detail, LOST_RETRY_MS)


def refusal_of_unknown_transaction(request: ExecuteRequest) -> Refusal:
    """Return the verdict on a statement of a transaction that the owner does not know (more).

    Without its COMMIT, a transaction is rolled back with its connection. A COMMIT that was sent
    before may have run.
    """
    detail = "the transaction is gone"
    if request.kind is StatementKind.COMMIT and request.repeat:
        return Refusal(Verdict.UNKNOWN, Reason.TRANSACTION_LOST, detail)
    return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, f"{detail}; it was rolled back")


def ends_transaction(kind: StatementKind, refusal: Refusal | None, *, still_open: bool) -> bool:
    """Whether a transaction is over after the answer to one of its statements.

    `refusal`: None for an ordinary answer. `still_open`: what the back end's last answer said.
    """
    if refusal is None:
        return kind is not StatementKind.READ and not still_open
    if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        return True
    if refusal.reason is Reason.DUPLICATE_REQUEST:
        return False
    return refusal.reason is not Reason.BACKEND_ERROR or refusal.code == ERROR_DEADLOCK
