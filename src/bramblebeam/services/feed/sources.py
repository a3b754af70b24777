"""Selects the sources that a list is read from: the store, other nodes, or both."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Generic, TypeVar

from bramblebeam.core.feed.messages import ListName
from bramblebeam.core.feed.plan import FeedPlan
from bramblebeam.core.identity import NodeId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import FEED_FALLBACK
from bramblebeam.services.feed.followed import FollowedList
from bramblebeam.services.feed.following import SourceFollower
from bramblebeam.services.feed.ports import Source, StoreList

logger = logging.getLogger(__name__)

Item = TypeVar("Item")

STORE_WAIT = 2.5
"""How long a request to the store waits (seconds); an unresponsive connection is detected 1 s
later. With the pause before the next request and its answer, that is less than the 4 s after which
a node whose connections were lost is considered reconnected."""
PEER_WAIT = 1.0
CONFIRMATION_SECONDS = 5.5
"""A list that no source has confirmed for this long may be outdated; the store is read directly.

Without changes, a reader's list is confirmed every STORE_WAIT, its followers' a PEER_WAIT later.
"""
FALLBACK_SECONDS = 5.0
"""Minimum time for which the store is read in place of failed nodes."""

Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class ListSources(Generic[Item]):
    """Starts and stops the loops of one list, by the plan and the state of its sources.

    `settled`: set once the node knows which nodes read the store. Before, it only loads the cached
    list from there.
    """

    def __init__(
        self,
        name: ListName,
        store: StoreList[Item],
        peer_source: Callable[[NodeId], Source[Item]],
        followed: FollowedList[Item],
        spawn: Spawn,
        settled: asyncio.Event,
    ) -> None:
        self._name = name
        self._store = store
        self._peer_source = peer_source
        self._list = followed
        self._spawn = spawn
        self._settled = settled
        self._plan = FeedPlan()
        self._loops: dict[NodeId | None, tuple[SourceFollower, asyncio.Task[None]]] = {}
        self._fallback_until = float("-inf")
        self._planned_at = float("-inf")

    def follow(self, plan: FeedPlan, now: float) -> None:
        """Switch to a new plan."""
        self._plan = plan
        self._planned_at = now
        self.review(now)

    def review(self, now: float) -> None:
        """Start reading the store if no peer confirms the list, and stop a while after they do."""
        if not self._plan.reads_store and self._settled.is_set() and self._is_unconfirmed(now):
            if self._fallback_until <= now:
                age = now - self._list.confirmed_at
                age_ms = round(age * 1000) if age < float("inf") else None
                log_event(logger, FEED_FALLBACK, list=self._name.name.lower(), age_ms=age_ms)
            self._fallback_until = now + FALLBACK_SECONDS
        sources: list[NodeId | None] = list(self._plan.peers)
        if self._plan.reads_store or now < self._fallback_until:
            sources.append(None)
        self._run_only(sources)

    def _is_unconfirmed(self, now: float) -> bool:
        peers = [loop for node, (loop, _) in self._loops.items() if node is not None]
        if peers and all(loop.failed for loop in peers):
            return True
        return now - max(self._list.confirmed_at, self._planned_at) > CONFIRMATION_SECONDS

    def _run_only(self, sources: Iterable[NodeId | None]) -> None:
        wanted = set(sources)
        for source in self._loops.keys() - wanted:
            _, task = self._loops.pop(source)
            task.cancel()
        for source in wanted - self._loops.keys():
            self._loops[source] = self._start(source)

    def _start(self, node: NodeId | None) -> tuple[SourceFollower, asyncio.Task[None]]:
        source = self._store if node is None else self._peer_source(node)
        loop = SourceFollower(self._name.name.lower(), node, source, self._list)
        return loop, self._spawn(loop.run(PEER_WAIT) if node else self._run_store(loop))

    async def _run_store(self, loop: SourceFollower) -> None:
        await loop.load_cached(self._store.list_cached, self._settled)
        await self._settled.wait()
        await loop.run(STORE_WAIT)
