"""Other nodes, reached by the transport service."""

from bramblebeam.core.gateway.messages import (
    ForwardedReply,
    ForwardedStatement,
    TransactionAbandoned,
    runs_once_only,
)
from bramblebeam.core.identity import NodeId
from bramblebeam.kernel import Kernel, MailboxFullError
from bramblebeam.kernel.mailbox import ServiceFailedError
from bramblebeam.services.transport.messages import PeerFailure, PeerPost, PeerRequest

TRANSPORT = "transport"


class TransportPeers:
    """Carries messages to other nodes by the transport service of this node."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def ask(
        self, node: NodeId, message: ForwardedStatement, timeout: float, silence: float
    ) -> ForwardedReply | PeerFailure:
        """Return the node's answer, or what is known of its failure."""
        request = PeerRequest(node, message, timeout, silence, not runs_once_only(message))
        try:
            answer = await self._kernel.call(TRANSPORT, request)
        except MailboxFullError as error:
            return PeerFailure(False, str(error))
        except ServiceFailedError as error:
            return PeerFailure(True, str(error))
        if isinstance(answer, ForwardedReply | PeerFailure):
            return answer
        return PeerFailure(True, f"unexpected answer of type {type(answer).__name__}")

    def tell(self, node: NodeId, message: TransactionAbandoned) -> None:
        """Send without an answer and without a promise."""
        try:
            self._kernel.post(TRANSPORT, PeerPost(node, message))
        except MailboxFullError:
            # The other node ends the transaction by itself once it has rested for too long.
            return
