"""Sends requests to the owners of back ends: via the transport, or directly to the own pool."""

from typing import Any

from bramblebeam.core.identity import NodeId
from bramblebeam.core.statement import ExecuteRequest, StatementKind
from bramblebeam.kernel import Kernel, MailboxFullError
from bramblebeam.kernel.mailbox import ServiceFailedError
from bramblebeam.services.transport.messages import (
    PeerDelivery,
    PeerFailure,
    PeerPost,
    PeerRequest,
)

LOCAL_SERVICE = "pool"
TRANSPORT = "transport"
READ_UNRESPONSIVE_TIMEOUT = 0.8
UNRESPONSIVE_TIMEOUT = 4.0
"""How long a peer may be unresponsive before its requests fail (seconds): reads, all others."""


class Peers:
    """Requests from this node's edge to the pools of all nodes."""

    def __init__(self, kernel: Kernel, node: NodeId) -> None:
        self._kernel = kernel
        self._node = node

    async def request(self, to: NodeId, message: Any, timeout: float) -> Any:
        """Return the reply, or a `PeerFailure` (`timeout` in seconds).

        The transport enforces the timeout; the own pool enforces the deadline of a statement.
        """
        try:
            if to == self._node:
                bound = None if isinstance(message, ExecuteRequest) else timeout
                delivery = PeerDelivery(self._node, message)
                return await self._kernel.call(LOCAL_SERVICE, delivery, bound)
            request = PeerRequest(to, message, timeout, _unresponsive_timeout(message))
            return await self._kernel.call(TRANSPORT, request)
        except MailboxFullError:
            return PeerFailure(sent=False, detail="too many messages are waiting")
        except KeyError as error:
            return PeerFailure(sent=False, detail=f"the node runs no service {error}")
        except (TimeoutError, ServiceFailedError):
            return PeerFailure(sent=True, detail="no reply was received")

    def post(self, to: NodeId, message: Any) -> None:
        """Send without a reply; the message is lost if the transport cannot accept it."""
        try:
            self._kernel.post(TRANSPORT, PeerPost(to, message))
        except (MailboxFullError, KeyError):
            return


def _unresponsive_timeout(message: Any) -> float:
    """Return how long the peer may be unresponsive before a request fails (seconds).

    A read is soon sent elsewhere. Any other request outwaits a short pause of the peer, because
    giving it up leaves it unknown whether the request ran.
    """
    if not isinstance(message, ExecuteRequest) or message.transaction:
        return UNRESPONSIVE_TIMEOUT
    return READ_UNRESPONSIVE_TIMEOUT if message.kind is StatementKind.READ else UNRESPONSIVE_TIMEOUT
