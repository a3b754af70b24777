"""Forwards requests that reach a former owner of an instance to its successor.

While member tables disagree, an edge may learn of the new owner seconds later than the former
owner does.
"""

from __future__ import annotations

from dataclasses import replace

from bramblebeam.core.identity import NodeId
from bramblebeam.core.statement import ExecuteReply, ExecuteRequest, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.pool.ownership import RequestPeer
from bramblebeam.services.transport.messages import PeerFailure

REPLY_MARGIN = 0.5
"""Time after a request's deadline in which its reply may still arrive (seconds)."""


def may_be_forwarded(request: ExecuteRequest, reply: ExecuteReply) -> bool:
    """Whether a refused request may run at another node.

    A transaction begins and stays where its edge sends its statements, so they are not forwarded.
    """
    if request.transaction or reply.refusal is None:
        return False
    return reply.refusal.reason is Reason.NOT_OWNER


async def forward(
    request: ExecuteRequest,
    reply: ExecuteReply,
    successor: NodeId,
    spent: float,
    request_peer: RequestPeer,
) -> ExecuteReply:
    """Return the successor's reply; `reply`, this node's refusal, if the successor was not reached.

    `spent`: time since the request arrived (seconds).
    """
    left = request.deadline_ms / 1000 - spent
    if left <= 0:
        return reply
    forwarded = replace(request, deadline_ms=int(left * 1000))
    answer = await request_peer(successor, forwarded, left + REPLY_MARGIN)
    if isinstance(answer, ExecuteReply):
        return answer
    if isinstance(answer, PeerFailure) and not answer.sent:
        return reply
    is_read = request.kind is StatementKind.READ
    verdict = Verdict.NOT_RUN if is_read else Verdict.UNKNOWN
    refusal = Refusal(verdict, Reason.CONNECTION_LOST, "the new owner did not reply")
    return ExecuteReply(request.request, refusal=refusal)
