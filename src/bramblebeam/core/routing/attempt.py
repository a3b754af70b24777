"""One attempt of a statement at one owner, and the times that bound attempts."""

from dataclasses import dataclass, replace

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.statement import ExecuteReply, ExecuteRequest, Role
from bramblebeam.core.verdict import Reason

FLOOR_WAIT_MS = 150
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

MOVED = frozenset(
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
ELSEWHERE = MOVED | {Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT, Reason.REPLICA_BEHIND}
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
