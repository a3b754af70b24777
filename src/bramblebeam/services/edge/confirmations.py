"""Position requests, shared by the statements of a node that wait for one at the same time."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.routing.effects import RequestPosition
from bramblebeam.core.statement import PositionReply, PositionRequest
from bramblebeam.services.edge.peers import Peers

OVERLAP_AFTER = 0.005
"""Seconds for which the next request waits for the one before it."""

_Key = tuple[NodeId, InstanceId]


@dataclass(slots=True)
class _PendingRequest:
    """A request that has not been sent yet, and its sessions with their indexes."""

    task: asyncio.Task[Any] | None = None
    sessions: dict[str, int] = field(default_factory=dict)

    def index_of(self, name: str) -> int:
        return self.sessions.setdefault(name, len(self.sessions))


class ConfirmationBatcher:
    """Sends one position request to an instance at a time, unless it exceeds `OVERLAP_AFTER`.

    A statement must not use the reply to a request that was sent before the statement arrived: it
    could miss a write acknowledged in between. Statements that arrive meanwhile share the next
    request.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._running: dict[_Key, asyncio.Task[Any]] = {}
        self._next: dict[_Key, _PendingRequest] = {}

    async def confirm(self, effect: RequestPosition) -> Any:
        """Return the reply to a request sent after this call: `PositionReply` or `PeerFailure`.

        The reply's `floors` are those of the sessions in `effect`, if the owner reported any.
        """
        key = (effect.node, effect.request.instance)
        pending = self._next.get(key)
        if pending is None:
            pending = self._next[key] = _PendingRequest()
            work = self._send(key, pending, effect, self._running.get(key))
            pending.task = asyncio.create_task(work)
        indexes = [pending.index_of(name) for name in effect.request.sessions]
        assert pending.task is not None
        reply = await asyncio.shield(pending.task)
        if not isinstance(reply, PositionReply) or not reply.floors:
            return reply
        return replace(reply, floors=tuple(reply.floors[index] for index in indexes))

    async def _send(
        self,
        key: _Key,
        pending: _PendingRequest,
        effect: RequestPosition,
        previous: asyncio.Task[Any] | None,
    ) -> Any:
        if previous is not None:
            await asyncio.wait((previous,), timeout=OVERLAP_AFTER)
        del self._next[key]
        assert pending.task is not None
        self._running[key] = pending.task
        request = PositionRequest(effect.request.instance, tuple(pending.sessions))
        try:
            return await self._peers.request(effect.node, request, effect.timeout)
        finally:
            if self._running.get(key) is pending.task:
                del self._running[key]
