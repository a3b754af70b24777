"""The nodes whose edges use an instance, and the status last sent to each."""

from dataclasses import replace

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.statement import ExecuteReply, InstanceStatus

SUBSCRIPTION_SECONDS = 15.0


class Subscribers:
    """Subscriptions of nodes to instances, which expire unless renewed."""

    def __init__(self) -> None:
        self._until: dict[InstanceId, dict[NodeId, float]] = {}
        self._sent: dict[tuple[InstanceId, NodeId], InstanceStatus] = {}

    def add(self, instance: InstanceId, node: NodeId, now: float) -> None:
        """Subscribe a node, or renew its subscription."""
        self._until.setdefault(instance, {})[node] = now + SUBSCRIPTION_SECONDS

    def of(self, instance: InstanceId, now: float) -> list[NodeId]:
        """Return the nodes that are subscribed now, and drop expired subscriptions."""
        subscribed = self._until.get(instance, {})
        for node in [node for node, until in subscribed.items() if until <= now]:
            del subscribed[node]
            self._sent.pop((instance, node), None)
        return list(subscribed)

    def with_status(
        self, reply: ExecuteReply, status: InstanceStatus | None, node: NodeId
    ) -> ExecuteReply:
        """Add the status to a reply unless the node was last sent the same one.

        A reply without a position always carries it, as it contains the reply's term.
        """
        if status is None or reply.status is not None:
            return reply
        key = (status.instance, node)
        if self._sent.get(key) is status and reply.position.term:
            return reply
        self._sent[key] = status
        return replace(reply, status=status)
