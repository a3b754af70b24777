"""Converts owners' replies for the protocol adapter: errors, and streams of large results."""

from collections.abc import AsyncIterator
from typing import Any

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.session.errors import error_packet
from bramblebeam.core.statement import ExecuteReply, FetchRequest
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.edges.mysql.server import CallerError
from bramblebeam.services.edge.peers import Peers

FETCH_TIMEOUT = 30.0
"""Seconds to wait for the next rows of a streamed result."""


def caller_error(refusal: Refusal) -> CallerError:
    """Return the error to send to the caller for a refusal."""
    packet = error_packet(refusal)
    return CallerError(packet.code, packet.sqlstate, packet.message)


def bad_request(detail: str) -> CallerError:
    """Return the error for a statement that the edge does not support."""
    return caller_error(Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))


async def stream_rows(
    peers: Peers, node: NodeId, instance: InstanceId, head: ExecuteReply
) -> AsyncIterator[tuple[Any, ...]]:
    """Yield the rows of a streamed result, with one reply in memory at a time.

    Raises CallerError if the rest is lost. A consumer that stops early frees the owner's slot.
    """
    reply = head
    open_at_owner = reply.more
    try:
        while True:
            for row in reply.rows:
                yield row
            if not reply.more:
                return
            request = FetchRequest(head.request, instance)
            answer = await peers.request(node, request, FETCH_TIMEOUT)
            if not isinstance(answer, ExecuteReply):
                detail = "the rest of the result was lost"
                raise caller_error(Refusal(Verdict.RAN, Reason.CONNECTION_LOST, detail))
            reply = answer
            open_at_owner = reply.more
            if reply.refusal is not None:
                raise caller_error(reply.refusal)
    finally:
        if open_at_owner:
            peers.post(node, FetchRequest(head.request, instance, cancel=True))
