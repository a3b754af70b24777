"""Other nodes, asked by the transport service to take the lead from a database."""

from bramblebeam.core.failover.messages import NO_ANSWER, StepDownReply, StepDownRequest
from bramblebeam.core.identity import NodeId
from bramblebeam.kernel import Kernel, MailboxFullError
from bramblebeam.kernel.mailbox import ServiceFailedError
from bramblebeam.services.failover.cut_off import PEER_SILENCE_TIMEOUT, PEER_TIMEOUT
from bramblebeam.services.transport.messages import PeerRequest

TRANSPORT = "transport"


class TransportStepDownPeers:
    """Carries the question over the transport service of this node."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def step_down(self, node: NodeId, request: StepDownRequest) -> StepDownReply:
        """Have a node take the lead from a database; NO_ANSWER where it gives none."""
        question = PeerRequest(node, request, PEER_TIMEOUT, PEER_SILENCE_TIMEOUT)
        try:
            answer = await self._kernel.call(TRANSPORT, question)
        except (MailboxFullError, ServiceFailedError):
            return NO_ANSWER
        return answer if isinstance(answer, StepDownReply) else NO_ANSWER
