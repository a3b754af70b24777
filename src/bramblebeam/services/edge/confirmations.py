"""Confirmed positions, shared by the statements of a node that wait for one at the same time."""

import asyncio
from typing import Any

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.routing.effects import AskPosition
from bramblebeam.services.edge.peers import Peers

OVERLAP_AFTER = 0.05
"""Seconds for which the next question waits for the one before it."""

_Key = tuple[NodeId, InstanceId]


class Confirmations:
    """At most one question to an instance at a time.

    A statement must not take an answer whose question was sent before the statement arrived: it
    could miss a write acknowledged in between. So those that come meanwhile share the next one.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._running: dict[_Key, asyncio.Task[Any]] = {}
        self._next: dict[_Key, asyncio.Task[Any]] = {}

    async def confirm(self, question: AskPosition) -> Any:
        """Return the answer, a `PositionReply` or a `PeerFailure`, to a question sent from now."""
        key = (question.node, question.request.instance)
        task = self._next.get(key)
        if task is None:
            task = asyncio.create_task(self._ask(key, question, self._running.get(key)))
            self._next[key] = task
        return await asyncio.shield(task)

    async def _ask(self, key: _Key, question: AskPosition, before: asyncio.Task[Any] | None) -> Any:
        if before is not None:
            await asyncio.wait((before,), timeout=OVERLAP_AFTER)
        task = self._next.pop(key)
        self._running[key] = task
        try:
            return await self._peers.request(question.node, question.request, question.timeout)
        finally:
            if self._running.get(key) is task:
                del self._running[key]
