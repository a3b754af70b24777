"""Requests to other nodes and to services of this node, with a timeout."""

import asyncio
from collections.abc import Mapping
from typing import Any, TypeVar

from bramblebeam.core.identity import NodeId
from bramblebeam.kernel import Kernel, MailboxFullError, ServiceFailedError
from bramblebeam.services.transport.messages import PeerRequest

ASK_SECONDS = 1.0
"""Timeout for the answer of one node."""

Reply = TypeVar("Reply")


async def ask_node(
    kernel: Kernel,
    node: NodeId,
    message: Any,
    reply_type: type[Reply],
    timeout: float = ASK_SECONDS,
) -> Reply | None:
    """Return the node's answer, or None if there is none within `timeout` seconds."""
    try:
        request = PeerRequest(node, message, timeout)
        reply = await kernel.call("transport", request, timeout=timeout + 0.1)
    except (TimeoutError, MailboxFullError, ServiceFailedError, KeyError):
        return None
    return reply if isinstance(reply, reply_type) else None


async def ask_nodes(
    kernel: Kernel, messages: Mapping[NodeId, Any], reply_type: type[Reply]
) -> dict[NodeId, Reply | None]:
    """Send each node its request, concurrently; None for nodes that do not answer in time."""
    nodes = list(messages)
    pending = (ask_node(kernel, node, messages[node], reply_type) for node in nodes)
    return dict(zip(nodes, await asyncio.gather(*pending), strict=True))


async def ask_service(
    kernel: Kernel, name: str, message: Any, reply_type: type[Reply], timeout: float = ASK_SECONDS
) -> Reply | None:
    """Return the answer of a service of this node, or None if there is none in time."""
    if not kernel.has(name):
        return None
    try:
        reply = await kernel.call(name, message, timeout=timeout)
    except (TimeoutError, MailboxFullError, ServiceFailedError):
        return None
    return reply if isinstance(reply, reply_type) else None
