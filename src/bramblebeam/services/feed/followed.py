"""One list that this node follows: what is known of it, and who waits for news."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ITEMS_PASSED_OVER
from bramblebeam.services.feed.ports import Batch, HistoryLostError, Versioned
from bramblebeam.services.waiting import wait_at_most

logger = logging.getLogger(__name__)

Item = TypeVar("Item")

MAXIMUM_DELETED = 1_000
"""So many deleted items are remembered for those who follow this node."""


class FollowedList(Generic[Item]):
    """Merges what several sources tell: of one name the highest revision counts.

    `take` gets what is news. `revision`: up to which the list is known, None: nothing is known.
    `confirmed_at`: when the store surely had nothing newer (steady clock, seconds).
    `keeps_last_good`: an item that can't be read any more stays as it was; else it is gone.
    """

    def __init__(
        self,
        take: Callable[[list[Versioned[Item]]], None],
        keeps_last_good: bool = True,
        name: str = "",
    ) -> None:
        self.revision: int | None = None
        self.confirmed_at = float("-inf")
        self._name = name
        self._take = take
        self._keeps_last_good = keeps_last_good
        self._known: dict[str, Versioned[Item]] = {}
        self._forgotten = 0
        self._changed = asyncio.Event()

    def merge(self, batch: Batch[Item], whole: bool, told_at: float) -> None:
        """Take an answer that a source gave at `told_at` or later (steady clock, seconds)."""
        last = {item.name: self._readable(item) for item in batch.items}
        self._log_passed_over(last.values())
        news = [self._dated(item, batch) for item in last.values() if self._is_news(item)]
        if whole:
            news.extend(self._missing_from(batch))
        self._known.update((item.name, item) for item in news)
        self.confirmed_at = max(self.confirmed_at, told_at - batch.age)
        advanced = self.revision is None or batch.revision > self.revision
        if advanced:
            self.revision = batch.revision
        self._forget_deleted()
        if news:
            self._take(news)
        if news or advanced:
            self._changed.set()
            self._changed = asyncio.Event()

    def whole(self) -> Batch[Item]:
        """Return every item."""
        items = tuple(item for item in self._known.values() if not item.deleted)
        return Batch(items, self.revision or 0)

    def since(self, revision: int) -> Batch[Item]:
        """Return what changed after a revision. Raises HistoryLostError."""
        if revision < self._forgotten:
            raise HistoryLostError
        changed = (item for item in self._known.values() if item.revision > revision)
        items = tuple(sorted(changed, key=lambda item: item.revision))
        return Batch(items, max(revision, self.revision or 0))

    async def wait_news(self, revision: int, wait: float) -> None:
        """Wait until more than `revision` is known, for at most `wait` seconds."""
        deadline = asyncio.get_running_loop().time() + wait
        while self.revision is None or self.revision <= revision:
            left = deadline - asyncio.get_running_loop().time()
            if not await wait_at_most(self._changed, left):
                return

    def _is_news(self, item: Versioned[Item]) -> bool:
        known = self._known.get(item.name)
        if known is None or item.revision > known.revision:
            return True
        return item.deleted and not known.deleted and item.revision == known.revision

    def _log_passed_over(self, items: Iterable[Versioned[Item]]) -> None:
        """Log in one line what does not count, as later ones are known."""
        older = [item for item in items if self._is_older(item)]
        if older:
            log_event(
                logger,
                ITEMS_PASSED_OVER,
                list=self._name,
                items=len(older),
                name=older[0].name,
                revision=older[0].revision,
                known_revision=self._known[older[0].name].revision,
            )

    def _is_older(self, item: Versioned[Item]) -> bool:
        known = self._known.get(item.name)
        return known is not None and item.revision < known.revision

    def _readable(self, item: Versioned[Item]) -> Versioned[Item]:
        """Return what counts in place of an item that can't be read, at its new revision."""
        known = self._known.get(item.name)
        if item.item is not None or item.deleted or known is None:
            return item
        if not self._keeps_last_good:
            return item._replace(deleted=True)
        return item._replace(item=known.item, deleted=known.deleted)

    @staticmethod
    def _dated(item: Versioned[Item], batch: Batch[Item]) -> Versioned[Item]:
        """Date a deletion by the batch: the store may tell of it with the item's last revision."""
        return item._replace(revision=batch.revision) if item.deleted else item

    def _missing_from(self, batch: Batch[Item]) -> list[Versioned[Item]]:
        """Return as deleted what a whole list lacks; a later entry than the list stays."""
        named = {item.name for item in batch.items}
        return [
            Versioned(known.name, batch.revision, None, deleted=True)
            for known in self._known.values()
            if known.name not in named and not known.deleted and known.revision <= batch.revision
        ]

    def _forget_deleted(self) -> None:
        deleted = [item for item in self._known.values() if item.deleted]
        if len(deleted) <= MAXIMUM_DELETED:
            return
        oldest = min(deleted, key=lambda item: item.revision)
        self._forgotten = max(self._forgotten, oldest.revision)
        del self._known[oldest.name]
