"""Confirmed positions, shared by the statements of a node that wait for one at the same time."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.routing.effects import RequestPosition
from bramblebeam.core.statement import PositionReply, PositionRequest
from bramblebeam.services.edge.peers import Peers

OVERLAP_AFTER = 0.005
"""Seconds for which the next question waits for the one before it."""

_Key = tuple[NodeId, InstanceId]


@dataclass(slots=True)
class _Question:
    """A question not sent yet, and the sessions that will be asked about, each at its place."""

    task: asyncio.Task[Any] | None = None
    sessions: dict[str, int] = field(default_factory=dict)

    def place_of(self, name: str) -> int:
        return self.sessions.setdefault(name, len(self.sessions))


class ConfirmationBatcher:
    """At most one question to an instance at a time.

    A statement must not take an answer whose question was sent before the statement arrived: it
    could miss a write acknowledged in between. So those that come meanwhile share the next one.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._running: dict[_Key, asyncio.Task[Any]] = {}
        self._next: dict[_Key, _Question] = {}

    async def confirm(self, asked: RequestPosition) -> Any:
        """Return the answer, a `PositionReply` or a `PeerFailure`, to a question sent from now.

        The reply's `floors` are those of the sessions that `asked` names, if the owner gave any.
        """
        key = (asked.node, asked.request.instance)
        question = self._next.get(key)
        if question is None:
            question = self._next[key] = _Question()
            work = self._ask(key, question, asked, self._running.get(key))
            question.task = asyncio.create_task(work)
        places = [question.place_of(name) for name in asked.request.sessions]
        assert question.task is not None
        reply = await asyncio.shield(question.task)
        if not isinstance(reply, PositionReply) or not reply.floors:
            return reply
        return replace(reply, floors=tuple(reply.floors[place] for place in places))

    async def _ask(
        self,
        key: _Key,
        question: _Question,
        asked: RequestPosition,
        before: asyncio.Task[Any] | None,
    ) -> Any:
        if before is not None:
            await asyncio.wait((before,), timeout=OVERLAP_AFTER)
        del self._next[key]
        assert question.task is not None
        self._running[key] = question.task
        request = PositionRequest(asked.request.instance, tuple(question.sessions))
        try:
            return await self._peers.request(asked.node, request, asked.timeout)
        finally:
            if self._running.get(key) is question.task:
                del self._running[key]
