"""Messages to other nodes, sent by the transport service."""

from bramblebeam.core.gateway.messages import (
    ForwardedReply,
    ForwardedStatement,
    StatementWithdrawn,
    TransactionAbandoned,
    runs_once_only,
)
from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.quota.messages import (
    Admission,
    AdmissionRequest,
    AdmissionReturned,
    Grant,
    GrantRequest,
    GrantReturned,
)
from bramblebeam.kernel import Kernel, MailboxFullError
from bramblebeam.kernel.mailbox import ServiceFailedError
from bramblebeam.services.transport.messages import (
    PeerDatagram,
    PeerFailure,
    PeerPost,
    PeerRequest,
)

TRANSPORT = "transport"


class TransportPeers:
    """Sends messages to other nodes through this node's transport service."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def request(
        self, node: NodeId, message: ForwardedStatement, timeout: float, silence: float
    ) -> ForwardedReply | PeerFailure:
        """Return the node's answer, or what is known of its failure."""
        request = PeerRequest(node, message, timeout, silence, not runs_once_only(message))
        answer = await self._call(request)
        if isinstance(answer, ForwardedReply | PeerFailure):
            return answer
        return _unexpected(answer)

    async def _call(self, request: PeerRequest) -> object:
        try:
            return await self._kernel.call(TRANSPORT, request)
        except MailboxFullError as error:
            return PeerFailure(False, str(error))
        except ServiceFailedError as error:
            return PeerFailure(True, str(error))

    async def request_admission(
        self, node: NodeId, message: AdmissionRequest, timeout: float
    ) -> Admission | PeerFailure:
        """Return the answer of the node that counts a tenant, or what is known of its failure."""
        request = PeerRequest(node, message, timeout, timeout, repeatable=True)
        answer = await self._call(request)
        if isinstance(answer, Admission | PeerFailure):
            return answer
        return _unexpected(answer)

    def post(
        self, node: NodeId, message: TransactionAbandoned | StatementWithdrawn | AdmissionReturned
    ) -> None:
        """Send a message without a reply or a delivery guarantee."""
        try:
            self._kernel.post(TRANSPORT, PeerPost(node, message))
        except MailboxFullError:
            # The other node ends an idle transaction by itself, a statement that is not withdrawn
            # ends by its deadline, and an operation that is not refunded is one less admitted.
            return

    def send(self, to: Address, message: GrantRequest | Grant | GrantReturned) -> None:
        """Send one datagram."""
        try:
            self._kernel.post(TRANSPORT, PeerDatagram(to, message))
        except MailboxFullError:
            # Same as a lost datagram: a grant is requested again, and expires.
            return


def _unexpected(answer: object) -> PeerFailure:
    return PeerFailure(True, f"unexpected answer of type {type(answer).__name__}")
