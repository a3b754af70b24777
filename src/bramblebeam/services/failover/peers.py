"""Sends step-down requests to other nodes over the transport service."""

from bramblebeam.core.failover.messages import NO_ANSWER, StepDownReply, StepDownRequest
from bramblebeam.core.identity import NodeId
from bramblebeam.kernel import Kernel, MailboxFullError
from bramblebeam.kernel.mailbox import ServiceFailedError
from bramblebeam.services.failover.cut_off import PEER_SILENCE_TIMEOUT, PEER_TIMEOUT
from bramblebeam.services.transport.messages import PeerRequest

TRANSPORT = "transport"


class TransportStepDownPeers:
    """Sends step-down requests over the transport service of this node."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def step_down(self, node: NodeId, request: StepDownRequest) -> StepDownReply:
        """Request that a node makes a database step down; return NO_ANSWER if it fails to reply."""
        message = PeerRequest(node, request, PEER_TIMEOUT, PEER_SILENCE_TIMEOUT)
        try:
            reply = await self._kernel.call(TRANSPORT, message)
        except (MailboxFullError, ServiceFailedError):
            return NO_ANSWER
        return reply if isinstance(reply, StepDownReply) else NO_ANSWER
