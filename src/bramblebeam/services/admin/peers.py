"""Questions to other nodes, many at once, within a bound."""

import asyncio
from collections.abc import Mapping
from typing import Any, TypeVar

from bramblebeam.core.identity import NodeId
from bramblebeam.kernel import Kernel, MailboxFullError, ServiceFailedError
from bramblebeam.services.transport.messages import PeerRequest

ASK_SECONDS = 1.0
"""How long one node is waited for."""

Reply = TypeVar("Reply")


async def ask_node(
    kernel: Kernel, node: NodeId, message: Any, wanted: type[Reply], timeout: float = ASK_SECONDS
) -> Reply | None:
    """Return the node's answer, or None without one in `timeout` seconds."""
    try:
        request = PeerRequest(node, message, timeout)
        reply = await kernel.call("transport", request, timeout=timeout + 0.1)
    except (TimeoutError, MailboxFullError, ServiceFailedError, KeyError):
        return None
    return reply if isinstance(reply, wanted) else None


async def ask_nodes(
    kernel: Kernel, questions: Mapping[NodeId, Any], wanted: type[Reply]
) -> dict[NodeId, Reply | None]:
    """Ask each node its question, all at once."""
    nodes = list(questions)
    asked = (ask_node(kernel, node, questions[node], wanted) for node in nodes)
    return dict(zip(nodes, await asyncio.gather(*asked), strict=True))


async def ask_service(
    kernel: Kernel, name: str, message: Any, wanted: type[Reply], timeout: float = ASK_SECONDS
) -> Reply | None:
    """Ask a service of this node; None without an answer in time."""
    if not kernel.has(name):
        return None
    try:
        reply = await kernel.call(name, message, timeout=timeout)
    except (TimeoutError, MailboxFullError, ServiceFailedError):
        return None
    return reply if isinstance(reply, wanted) else None
