"""Reads the store's list at a node's start, after the store was restored from a backup.

The backup may be older than what the other nodes have in force, and a starting node has no state of
its own. So it queries the nodes that have run for longest before it relies on the store's list.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.view import MemberState, MembersView
from bramblebeam.core.revision import FIRST_ERA, Revision
from bramblebeam.services.feed.followed import FollowedList
from bramblebeam.services.feed.ports import Batch, Source, SourceUnavailableError, StoreList
from bramblebeam.services.waiting import loop_time, wait_at_most

Item = TypeVar("Item")

QUERY_TIMEOUT = 1.0
"""How long a node waits for another one that has the list. In simulated time, 198 nodes that start
together have met after 1.7 s; a node that joins running ones knows them after 0.3 s."""
CANDIDATE_SHARE = 0.1
"""Share of the nodes from which the queried ones are drawn, so that thousands of nodes that start
together do not all query the same three."""
MAX_QUERIED = 3
"""Number of nodes to query; if none of them has the list, all nodes have restarted."""


class PeerCheckedList(StoreList[Item], Generic[Item]):
    """A list of the store; after the first era, `query_peers` runs before an answer is used."""

    def __init__(self, store: StoreList[Item], query_peers: Callable[[], Awaitable[None]]) -> None:
        self._store = store
        self._query_peers = query_peers
        self._has_queried = False

    async def list(self) -> Batch[Item]:
        """Return the current list. Raises SourceUnavailableError."""
        return await self._after_peers(await self._store.list())

    async def list_cached(self) -> Batch[Item]:
        """Return the list as it was some seconds ago. Raises SourceUnavailableError."""
        return await self._after_peers(await self._store.list_cached())

    async def changes(self, revision: Revision, wait: float) -> Batch[Item]:
        """Return the changes after a revision. Raises HistoryLostError, SourceUnavailableError."""
        return await self._store.changes(revision, wait)

    async def _after_peers(self, batch: Batch[Item]) -> Batch[Item]:
        if batch.revision.era > FIRST_ERA and not self._has_queried:
            await self._query_peers()
            self._has_queried = True
        return batch


class LongestRunningPeers(Generic[Item]):
    """Queries the nodes that have run for longest for a list, and merges their answers."""

    def __init__(
        self,
        node: NodeId,
        view: Callable[[], MembersView],
        members_changed: asyncio.Event,
        source_at: Callable[[NodeId], Source[Item]],
        followed: FollowedList[Item],
    ) -> None:
        self._node = node
        self._view = view
        self._members_changed = members_changed
        self._source_at = source_at
        self._list = followed

    async def query(self) -> None:
        """Return once a node has sent the list, MAX_QUERIED lack it, or the timeout is over."""
        deadline = loop_time() + QUERY_TIMEOUT
        queried: set[NodeId] = set()
        while loop_time() < deadline and len(queried) < MAX_QUERIED:
            self._members_changed.clear()
            candidates = longest_running(self._view(), self._node, queried)
            peers = random.sample(candidates, min(len(candidates), MAX_QUERIED - len(queried)))
            queried.update(peers)
            answered = await asyncio.gather(*(self._query(peer) for peer in peers))
            if any(answered):
                return
            if not peers:
                await wait_at_most(self._members_changed, deadline - loop_time())

    async def _query(self, peer: NodeId) -> bool:
        """Merge a node's list; return False if it has none or does not answer."""
        queried_at = loop_time()
        try:
            batch = await self._source_at(peer).list()
        except SourceUnavailableError:
            # It has restarted too or is gone: the next one is queried, or the store's list used.
            return False
        self._list.merge(batch, True, queried_at)
        return True


def longest_running(view: MembersView, node: NodeId, excluded: set[NodeId]) -> list[NodeId]:
    """Return the other live nodes that have run for longest: a tenth, MAX_QUERIED at least."""
    others = [
        (member.incarnation, name)
        for name, member in view.members.items()
        if name != node and name not in excluded and member.state is MemberState.ALIVE
    ]
    count = max(MAX_QUERIED, round(len(others) * CANDIDATE_SHARE))
    return [name for _, name in sorted(others)[:count]]
