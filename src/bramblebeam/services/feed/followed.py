"""One list that this node follows: what is known of it, and who waits for news."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from bramblebeam.core.revision import ERA_SILENCE_SECONDS, NO_REVISION, Revision
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ITEMS_IGNORED, STORE_ERA_BEGAN, STORE_ERA_DISCARDED
from bramblebeam.services.feed.ports import Batch, HistoryLostError, Versioned
from bramblebeam.services.gateway.metrics import ListState
from bramblebeam.services.waiting import loop_time, wait_at_most

logger = logging.getLogger(__name__)

Item = TypeVar("Item")

MAXIMUM_DELETED = 1_000
"""So many deleted items are remembered for those who follow this node."""


class FollowedList(Generic[Item]):
    """Merges what several sources tell: of one name the highest revision counts.

    `take` gets what is news. `revision`: up to which the list is known, None: nothing is known.
    `confirmed_at`: when the store surely had nothing newer (steady clock, seconds).
    `keeps_last_good`: an item that can't be read any more stays as it was; else it is gone.
    `version`: the order that the items' writers gave them, where they have one. It goes before that
    of revisions: a store that came back from a copy has an older item at a later revision.
    `begin_era` is called when the list is of a new era, before its items are taken, and
    `forget_revisions` when an era proved a mistake: lower revisions follow.
    """

    def __init__(
        self,
        take: Callable[[list[Versioned[Item]]], None],
        keeps_last_good: bool = True,
        name: str = "",
        version: Callable[[Item], int] | None = None,
        begin_era: Callable[[int], None] = lambda era: None,
        forget_revisions: Callable[[], None] = lambda: None,
    ) -> None:
        self.revision: Revision | None = None
        self.confirmed_at = float("-inf")
        self._name = name
        self._take = take
        self._keeps_last_good = keeps_last_good
        self._version = version
        self._begin_era = begin_era
        self._forget_revisions = forget_revisions
        self._era_told_at = float("-inf")
        self._known: dict[str, Versioned[Item]] = {}
        self._forgotten = NO_REVISION
        self._changed = asyncio.Event()

    def merge(self, batch: Batch[Item], whole: bool, told_at: float) -> None:
        """Take an answer that a source gave at `told_at` or later (steady clock, seconds).

        One of a former era tells nothing of the present one, and changes nothing, unless nobody has
        told of the present one for long. Raises HistoryLostError where that takes the whole list.
        """
        last = {item.name: self._readable(item) for item in batch.items}
        self._log_passed_over(last.values())
        if self._is_of_former_era(batch):
            # What the store confirmed long after the present era was told shows that it is none.
            if told_at - batch.age - self._era_told_at < ERA_SILENCE_SECONDS:
                return
            self._forget_era(whole)
        self._note_era(batch, told_at)
        self._era_told_at = max(self._era_told_at, told_at)
        news = [joined for item in last.values() if (joined := self._joined(item, batch))]
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

    def state(self) -> ListState:
        """Return how new the list is."""
        age = loop_time() - self.confirmed_at
        return ListState(self._name, self.revision or NO_REVISION, age)

    def whole(self) -> Batch[Item]:
        """Return every item."""
        items = tuple(item for item in self._known.values() if not item.deleted)
        return Batch(items, self.revision or NO_REVISION)

    def since(self, revision: Revision) -> Batch[Item]:
        """Return what changed after a revision. Raises HistoryLostError."""
        if revision < self._forgotten:
            raise HistoryLostError
        changed = (item for item in self._known.values() if item.revision > revision)
        items = tuple(sorted(changed, key=lambda item: item.revision))
        return Batch(items, max(revision, self.revision or NO_REVISION))

    async def wait_for_change(self, revision: Revision, wait: float) -> None:
        """Wait until more than `revision` is known, for at most `wait` seconds."""
        deadline = loop_time() + wait
        while self.revision is None or self.revision <= revision:
            if not await wait_at_most(self._changed, deadline - loop_time()):
                return

    def _is_of_former_era(self, batch: Batch[Item]) -> bool:
        return self.revision is not None and batch.revision.era < self.revision.era

    def _forget_era(self, whole: bool) -> None:
        """Take the present era for a mistake: what is known stays until something else is told."""
        if not whole:
            raise HistoryLostError
        log_event(logger, STORE_ERA_DISCARDED, list=self._name, revision=str(self.revision))
        self.revision = None
        self._forgotten = NO_REVISION
        self._known = {
            name: item._replace(revision=NO_REVISION) for name, item in self._known.items()
        }
        self._forget_revisions()

    def _joined(self, item: Versioned[Item], batch: Batch[Item]) -> Versioned[Item] | None:
        """Return what is known of a name with an item that was told; None: the item is no news.

        Its revision is the later of both, and so is its content, by its version first.
        """
        known = self._known.get(item.name)
        # The store may tell of a deletion with the item's last revision: it is as late as the list.
        told = item._replace(revision=batch.revision) if item.deleted else item
        if known is None:
            return told
        told_version, known_version = self._version_of(told), self._version_of(known)
        is_later = _is_later(item, known)
        if told_version > known_version or (told_version == known_version and is_later):
            return told._replace(revision=max(told.revision, known.revision))
        return known._replace(revision=told.revision) if is_later else None

    def _version_of(self, item: Versioned[Item]) -> int:
        return 0 if self._version is None or item.item is None else self._version(item.item)

    def _readable(self, item: Versioned[Item]) -> Versioned[Item]:
        """Return what counts in place of an item that can't be read, at its new revision."""
        known = self._known.get(item.name)
        if item.item is not None or item.deleted or known is None:
            return item
        if not self._keeps_last_good:
            return item._replace(deleted=True)
        return item._replace(item=known.item, deleted=known.deleted)

    def _missing_from(self, batch: Batch[Item]) -> list[Versioned[Item]]:
        """Return as deleted what a whole list lacks; a later entry than the list stays.

        What has a version stays, too, in the list's era: a copy may lack what was made since.
        """
        named = {item.name for item in batch.items}
        missing = [
            known
            for known in self._known.values()
            if known.name not in named and not known.deleted and known.revision <= batch.revision
        ]
        deleted = [
            Versioned(known.name, batch.revision, None, deleted=True)
            for known in missing
            if not self._version_of(known)
        ]
        kept = [
            known._replace(revision=batch.revision)
            for known in missing
            if self._version_of(known) and known.revision.era < batch.revision.era
        ]
        return [*deleted, *kept]

    def _forget_deleted(self) -> None:
        deleted = [item for item in self._known.values() if item.deleted]
        if len(deleted) <= MAXIMUM_DELETED:
            return
        oldest = min(deleted, key=lambda item: item.revision)
        self._forgotten = max(self._forgotten, oldest.revision)
        del self._known[oldest.name]

    # What is logged.

    def _log_passed_over(self, items: Iterable[Versioned[Item]]) -> None:
        """Log in one line what does not count, as later ones are known."""
        older = [item for item in items if self._is_older(item)]
        if older:
            log_event(
                logger,
                ITEMS_IGNORED,
                list=self._name,
                items=len(older),
                name=older[0].name,
                revision=str(older[0].revision),
                known_revision=str(self._known[older[0].name].revision),
            )

    def _is_older(self, item: Versioned[Item]) -> bool:
        known = self._known.get(item.name)
        return known is not None and item.revision < known.revision

    def _note_era(self, batch: Batch[Item], told_at: float) -> None:
        """Tell that a list is of a new era, if an earlier one was known."""
        former = self.revision
        if former is None or not former.number or batch.revision.era == former.era:
            return
        told = {item.name: item.item for item in batch.items}
        known = {item.name: item.item for item in self._known.values() if not item.deleted}
        names = told.keys() | known.keys()
        log_event(
            logger,
            STORE_ERA_BEGAN,
            list=self._name,
            revision=str(batch.revision),
            former_revision=str(former),
            differing=sum(told.get(name) != known.get(name) for name in names),
            confirmed_ms_ago=round((told_at - self.confirmed_at) * 1_000),
        )
        self._begin_era(batch.revision.era)


def _is_later(item: Versioned[Item], known: Versioned[Item]) -> bool:
    """Whether an item counts by its revision; the store deletes at an item's last revision."""
    if item.revision > known.revision:
        return True
    return item.deleted and not known.deleted and item.revision == known.revision
