"""Attempts to run a statement, and their timeouts and intervals."""

from dataclasses import dataclass, replace

from bramblebeam.core.identity import ZERO_POSITION, InstanceId, NodeId
from bramblebeam.core.role import Role
from bramblebeam.core.routing.effects import StatementRequest
from bramblebeam.core.session.session import Session
from bramblebeam.core.statement import ExecuteReply, ExecuteRequest, StatementKind
from bramblebeam.core.verdict import Reason

FLOOR_WAIT_MS = 300
"""Total time that a read may wait for replicas to reach its floor before it uses the primary."""
POSITION_TIMEOUT = 1.0
"""Seconds to wait for a confirmed position before requesting it again."""
RECHECK_INTERVAL = 0.1
"""Seconds after which a held statement rechecks the group without having been notified."""
REPEAT_INTERVAL = 0.05
"""Seconds between requests for a lost reply."""
REPEAT_WINDOW = 1.5
"""Seconds for which a lost reply is requested before the verdict is UNKNOWN."""
REPLY_MARGIN = 0.5
"""Seconds by which a reply may exceed the deadline given to the owner."""

STOPPING_DETAIL = "connect to another node"
"""What the caller of a stopping node is told with the refusal of a statement."""
STOPPING_TRANSACTION_DETAIL = "nothing of the transaction is kept; connect to another node"
"""The same for a statement of a transaction, which ends with it."""

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
"""Reasons that another instance, another owner or a short wait can resolve."""
READ_RETRY_REASONS = TRANSIENT_REASONS | {
    Reason.QUEUE_FULL,
    Reason.QUEUE_TIMEOUT,
    Reason.REPLICA_BEHIND,
}
"""Reasons for which a read is attempted on another instance."""


@dataclass(slots=True)
class Attempt:
    """A request sent to an owner. `lost_at`: when its reply was lost (seconds), or None."""

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
    """Return the request of a new attempt outside a transaction, with a new request id.

    `wait_ms`, `deadline_ms`, `staleness_ms`: see `ExecuteRequest`. `highest_term`: the group's.
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
    """Return the term in which a primary replied, or a lower bound of it."""
    if reply.position.term:
        return reply.position.term
    if reply.status is not None:
        return reply.status.term
    return request.minimum_term


def repeated(request: ExecuteRequest) -> ExecuteRequest:
    """Return a copy of the request that asks for its lost reply."""
    return replace(request, repeat=True)
