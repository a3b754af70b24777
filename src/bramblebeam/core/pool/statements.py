"""What a statement may leave behind: state in its connection, or a commit in doubt."""

import re

from bramblebeam.core.statement import ExecuteRequest, StatementKind

_PLAIN_WRITE = re.compile(r"\s*(?:insert|update|delete|replace)\b", re.IGNORECASE)
_SESSION_STATE = re.compile(r"@|get_lock|last_insert_id", re.IGNORECASE)


def leaves_session_state(request: ExecuteRequest) -> bool:
    """Tell whether the connection must be reset for the next session. In doubt, it must.

    A statement that is surely a read leaves nothing; nor does a plain INSERT, UPDATE, DELETE or
    REPLACE that names no variable and no locking function.
    """
    if request.kind is StatementKind.READ:
        return False
    if request.kind is not StatementKind.WRITE:
        return True
    return not _is_plain_write(request.sql) or _SESSION_STATE.search(request.sql) is not None


def in_doubt_when_interrupted(request: ExecuteRequest) -> bool:
    """Tell whether a statement that was sent, and got no answer, may have taken effect.

    Inside a transaction only what may commit it can take effect: COMMIT itself, and statements
    other than plain writes, as some of them commit implicitly.
    """
    if request.kind is StatementKind.COMMIT:
        return True
    if request.kind is not StatementKind.WRITE:
        return False
    return not request.transaction or not _is_plain_write(request.sql)


def _is_plain_write(sql: str) -> bool:
    return _PLAIN_WRITE.match(sql) is not None
