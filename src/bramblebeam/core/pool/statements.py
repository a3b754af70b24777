"""Side effects a statement may leave: connection state, or a commit with uncertain outcome."""

import re

from bramblebeam.core.statement import ExecuteRequest, StatementKind

_PLAIN_WRITE = re.compile(r"\s*(?:insert|update|delete|replace)\b", re.IGNORECASE)
_SESSION_STATE = re.compile(r"@|get_lock|last_insert_id", re.IGNORECASE)


def leaves_session_state(request: ExecuteRequest) -> bool:
    """Return whether the connection must be reset before the next session uses it.

    A statement that is known to be a read leaves no state; nor does a plain INSERT, UPDATE, DELETE
    or REPLACE that uses no variable and no locking function. When in doubt, return True.
    """
    if request.kind is StatementKind.READ:
        return False
    if request.kind is not StatementKind.WRITE:
        return True
    return not _is_plain_write(request.sql) or _SESSION_STATE.search(request.sql) is not None


def in_doubt_when_interrupted(request: ExecuteRequest) -> bool:
    """Return whether a statement that was sent, and got no answer, may have taken effect.

    In a transaction, only a statement that may commit can take effect: COMMIT itself, and any
    statement other than a plain write, as some commit implicitly.
    """
    if request.kind is StatementKind.COMMIT:
        return True
    if request.kind is not StatementKind.WRITE:
        return False
    return not request.transaction or not _is_plain_write(request.sql)


def _is_plain_write(sql: str) -> bool:
    return _PLAIN_WRITE.match(sql) is not None
