"""The store's list as a node takes it at its start, after the store came back from a copy.

The copy may be older than what the other nodes have in force, and the node itself remembers
nothing. It hears those that have run for longest before it takes the store's word.
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

PATIENCE_SECONDS = 1.0
"""A node waits so long for one that knows the list. In virtual time 198 nodes that start at once
have met after 1.7 s; one that joins others that run knows them after 0.3 s."""
ELDEST_SHARE = 0.1
"""The part of the nodes among which those that are asked are drawn, so that not all nodes ask the
same three where thousands start at once."""
MOST_ASKED = 3
"""So many are asked: where none of them knows the list, all have started anew."""


class PeerCheckedList(StoreList[Item], Generic[Item]):
    """A list of the store; in an era after the first, `hear` runs before an answer counts."""

    def __init__(self, store: StoreList[Item], hear: Callable[[], Awaitable[None]]) -> None:
        self._store = store
        self._hear = hear
        self._has_heard = False

    async def list(self) -> Batch[Item]:
        """Return the whole list as it is now. Raises SourceUnavailableError."""
        return await self._after_peers(await self._store.list())

    async def list_cached(self) -> Batch[Item]:
        """Return the list as it was some seconds ago. Raises SourceUnavailableError."""
        return await self._after_peers(await self._store.list_cached())

    async def changes(self, revision: Revision, wait: float) -> Batch[Item]:
        """Return the changes after a revision. Raises HistoryLostError, SourceUnavailableError."""
        return await self._store.changes(revision, wait)

    async def _after_peers(self, batch: Batch[Item]) -> Batch[Item]:
        if batch.revision.era > FIRST_ERA and not self._has_heard:
            await self._hear()
            self._has_heard = True
        return batch


class LongestRunningPeers(Generic[Item]):
    """Asks the nodes that have run for longest for a list, and merges what they know."""

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
        """Return once one has told the list, MOST_ASKED don't know it, or the time is over."""
        deadline = loop_time() + PATIENCE_SECONDS
        asked: set[NodeId] = set()
        while loop_time() < deadline and len(asked) < MOST_ASKED:
            self._members_changed.clear()
            found = longest_running(self._view(), self._node, asked)
            peers = random.sample(found, min(len(found), MOST_ASKED - len(asked)))
            asked.update(peers)
            told = await asyncio.gather(*(self._ask(peer) for peer in peers))
            if any(told):
                return
            if not peers:
                await wait_at_most(self._members_changed, deadline - loop_time())

    async def _ask(self, peer: NodeId) -> bool:
        """Merge what a node knows; False: it knows nothing, or gives no answer."""
        told_at = loop_time()
        try:
            batch = await self._source_at(peer).list()
        except SourceUnavailableError:
            # It has started anew as well, or is gone: the next one is asked, or the store counts.
            return False
        self._list.merge(batch, True, told_at)
        return True


def longest_running(view: MembersView, node: NodeId, without: set[NodeId]) -> list[NodeId]:
    """Return the others that have run for longest, a tenth of those alive, MOST_ASKED at least."""
    others = [
        (member.incarnation, name)
        for name, member in view.members.items()
        if name != node and name not in without and member.state is MemberState.ALIVE
    ]
    count = max(MOST_ASKED, round(len(others) * ELDEST_SHARE))
    return [name for _, name in sorted(others)[:count]]
