"""One attempt of a statement at one owner, and the times that bound attempts."""

from dataclasses import dataclass, replace

from bramblebeam.core.identity import ZERO_POSITION, InstanceId, NodeId
from bramblebeam.core.role import Role
from bramblebeam.core.routing.effects import StatementRequest
from bramblebeam.core.session.session import Session
from bramblebeam.core.statement import ExecuteReply, ExecuteRequest, StatementKind
from bramblebeam.core.verdict import Reason

FLOOR_WAIT_MS = 300
"""How long the owners of replicas may wait for the floor in all, before the primary is asked."""
POSITION_TIMEOUT = 1.0
"""Seconds to wait for a confirmed position before asking again."""
RECHECK_INTERVAL = 0.1
"""Seconds after which a held statement looks again although nothing was heard."""
REPEAT_INTERVAL = 0.05
"""Seconds between questions for a lost answer."""
REPEAT_WINDOW = 1.5
"""Seconds for which a lost answer is asked for before the verdict is UNKNOWN."""
REPLY_MARGIN = 0.5
"""Seconds beyond the owner's own deadline that its answer may take."""

NO_STALENESS_BOUND = -1

TRANSIENT_REASONS = frozenset(
    {
        Reason.NO_PRIMARY,
        Reason.STALE_TERM,
        Reason.NOT_OWNER,
        Reason.LEAVING,
        Reason.UNREACHABLE,
        Reason.CONNECTION_LOST,
        Reason.STOPPING,
    }
)
"""Reasons that another instance, another owner or a moment's wait can cure."""
READ_RETRY_REASONS = TRANSIENT_REASONS | {
    Reason.QUEUE_FULL,
    Reason.QUEUE_TIMEOUT,
    Reason.REPLICA_BEHIND,
}
"""Reasons for which a read tries another instance."""


@dataclass(slots=True)
class Attempt:
    """A request sent to an owner. `lost_at`: when its answer was lost (seconds), or None."""

    instance: InstanceId
    node: NodeId
    term: int
    role: Role
    request: ExecuteRequest
    lost_at: float | None = None


def new_request(
    session: Session,
    statement: StatementRequest,
    instance: InstanceId,
    wait_ms: int,
    deadline_ms: int,
    staleness_ms: int,
    highest_term: int,
) -> ExecuteRequest:
    """Return the request of a new attempt outside a transaction, under an id never used before.

    `wait_ms`, `deadline_ms`, `staleness_ms`: as in the request. `highest_term`: of the group.
    """
    floor = session.floor(session.group)
    is_read = statement.kind is StatementKind.READ
    is_begin = statement.kind is StatementKind.BEGIN
    return ExecuteRequest(
        request=session.next_request(),
        instance=instance,
        service=session.service,
        kind=statement.kind,
        sql=statement.sql,
        database=session.group,
        floor=floor if statement.sees_writes else ZERO_POSITION,
        staleness_ms=staleness_ms if is_read else NO_STALENESS_BOUND,
        wait_ms=wait_ms,
        deadline_ms=deadline_ms,
        transaction=session.next_transaction_name() if is_begin else "",
        minimum_term=0 if is_read else max(highest_term, floor.term),
        caller_request=statement.caller_request,
        session_name=session.roaming_name,
    )


def answer_term(reply: ExecuteReply, request: ExecuteRequest) -> int:
    """Return the term that a primary's answer was given in, or a lower bound of it."""
    if reply.position.term:
        return reply.position.term
    if reply.status is not None:
        return reply.status.term
    return request.minimum_term


def repeated(request: ExecuteRequest) -> ExecuteRequest:
    """Return the request as a question for an answer that was lost."""
    return replace(request, repeat=True)
