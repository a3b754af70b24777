"""Asks the owners of back ends: other nodes over the transport, the own node's pool directly."""

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
READ_SILENCE = 0.8
SILENCE = 4.0
"""For how long nothing may come from a peer that is asked (seconds): by a read, by all else."""


class Peers:
    """Requests from this node's edge to the pools of all nodes."""

    def __init__(self, kernel: Kernel, node: NodeId) -> None:
        self._kernel = kernel
        self._node = node

    async def request(self, to: NodeId, message: Any, timeout: float) -> Any:
        """Return the answer, or a `PeerFailure` (`timeout` in seconds).

        The transport keeps the timeout; the own pool keeps the deadline in a statement.
        """
        try:
            if to == self._node:
                bound = None if isinstance(message, ExecuteRequest) else timeout
                delivery = PeerDelivery(self._node, message)
                return await self._kernel.call(LOCAL_SERVICE, delivery, bound)
            request = PeerRequest(to, message, timeout, _silence_bound(message))
            return await self._kernel.call(TRANSPORT, request)
        except MailboxFullError:
            return PeerFailure(sent=False, detail="too many messages wait")
        except KeyError as error:
            return PeerFailure(sent=False, detail=f"the node runs no service {error}")
        except (TimeoutError, ServiceFailedError):
            return PeerFailure(sent=True, detail="no answer came")

    def post(self, to: NodeId, message: Any) -> None:
        """Send without an answer; the message is lost where the transport cannot take it."""
        try:
            self._kernel.post(TRANSPORT, PeerPost(to, message))
        except (MailboxFullError, KeyError):
            return


def _silence_bound(message: Any) -> float:
    """Return the bound of silence for a request.

    A read goes elsewhere soon. Anything else waits longer than a short pause of the peer takes: to
    give it up means that nobody knows whether it ran.
    """
    if not isinstance(message, ExecuteRequest) or message.transaction:
        return SILENCE
    return READ_SILENCE if message.kind is StatementKind.READ else SILENCE
