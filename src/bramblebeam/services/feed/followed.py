"""The state of a list that this node follows, merged from several sources."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from bramblebeam.core.revision import ERA_EXPIRY_SECONDS, NO_REVISION, Revision
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ITEMS_IGNORED, STORE_ERA_BEGAN, STORE_ERA_DISCARDED
from bramblebeam.services.feed.ports import Batch, HistoryLostError, Versioned
from bramblebeam.services.gateway.metrics import ListState
from bramblebeam.services.waiting import loop_time, wait_at_most

logger = logging.getLogger(__name__)

Item = TypeVar("Item")

MAXIMUM_DELETED = 1_000
"""Number of deleted items that are kept for nodes that follow this one."""


class FollowedList(Generic[Item]):
    """Merges the answers of several sources; the highest revision of a name is used.

    `apply` is called with changed items. `revision`: the list is known up to here (None: unknown).
    `confirmed_at`: when the store last had nothing newer (monotonic clock, seconds).
    `keeps_last_good`: an item that becomes unreadable keeps its last content; else it is deleted.
    `version`: returns the writers' own order of items, if any. It takes precedence over revisions,
    because a store that was restored from a backup has an older item at a later revision.
    `begin_era` is called when the list enters a new era, before its items are applied, and
    `forget_revisions` when an era turns out to be wrong: lower revisions follow.
    """

    def __init__(
        self,
        apply: Callable[[list[Versioned[Item]]], None],
        keeps_last_good: bool = True,
        name: str = "",
        version: Callable[[Item], int] | None = None,
        begin_era: Callable[[int], None] = lambda era: None,
        forget_revisions: Callable[[], None] = lambda: None,
    ) -> None:
        self.revision: Revision | None = None
        self.confirmed_at = float("-inf")
        self._name = name
        self._apply = apply
        self._keeps_last_good = keeps_last_good
        self._version = version
        self._begin_era = begin_era
        self._forget_revisions = forget_revisions
        self._era_reported_at = float("-inf")
        self._known: dict[str, Versioned[Item]] = {}
        self._forgotten = NO_REVISION
        self._changed = asyncio.Event()

    def merge(self, batch: Batch[Item], whole: bool, answered_at: float) -> None:
        """Merge an answer that a source gave at `answered_at` or later (monotonic clock, seconds).

        An answer of a former era is ignored, unless the current era has not been reported for
        ERA_SILENCE_SECONDS. Raises HistoryLostError if the whole list is needed for that.
        """
        last = {item.name: self._readable(item) for item in batch.items}
        self._log_ignored(last.values())
        if self._is_of_former_era(batch):
            # The store confirmed the former era long after the last report of the current one, so
            # the current one is wrong.
            if answered_at - batch.age - self._era_reported_at < ERA_EXPIRY_SECONDS:
                return
            self._forget_era(whole)
        self._record_era(batch, answered_at)
        self._era_reported_at = max(self._era_reported_at, answered_at)
        changed = [merged for item in last.values() if (merged := self._merged(item, batch))]
        if whole:
            changed.extend(self._missing_from(batch))
        self._known.update((item.name, item) for item in changed)
        self.confirmed_at = max(self.confirmed_at, answered_at - batch.age)
        advanced = self.revision is None or batch.revision > self.revision
        if advanced:
            self.revision = batch.revision
        self._forget_deleted()
        if changed:
            self._apply(changed)
        if changed or advanced:
            self._changed.set()
            self._changed = asyncio.Event()

    def state(self) -> ListState:
        """Return how recent the list is."""
        age = loop_time() - self.confirmed_at
        return ListState(self._name, self.revision or NO_REVISION, age)

    def whole(self) -> Batch[Item]:
        """Return all items."""
        items = tuple(item for item in self._known.values() if not item.deleted)
        return Batch(items, self.revision or NO_REVISION)

    def since(self, revision: Revision) -> Batch[Item]:
        """Return the changes after a revision. Raises HistoryLostError."""
        if revision < self._forgotten:
            raise HistoryLostError
        changed = (item for item in self._known.values() if item.revision > revision)
        items = tuple(sorted(changed, key=lambda item: item.revision))
        return Batch(items, max(revision, self.revision or NO_REVISION))

    async def wait_for_change(self, revision: Revision, wait: float) -> None:
        """Wait for a revision after `revision`, for at most `wait` seconds."""
        deadline = loop_time() + wait
        while self.revision is None or self.revision <= revision:
            if not await wait_at_most(self._changed, deadline - loop_time()):
                return

    def _is_of_former_era(self, batch: Batch[Item]) -> bool:
        return self.revision is not None and batch.revision.era < self.revision.era

    def _forget_era(self, whole: bool) -> None:
        """Discard the current era as wrong; known items stay until a source reports others."""
        if not whole:
            raise HistoryLostError
        log_event(logger, STORE_ERA_DISCARDED, list=self._name, revision=str(self.revision))
        self.revision = None
        self._forgotten = NO_REVISION
        self._known = {
            name: item._replace(revision=NO_REVISION) for name, item in self._known.items()
        }
        self._forget_revisions()

    def _merged(self, item: Versioned[Item], batch: Batch[Item]) -> Versioned[Item] | None:
        """Merge a received item with the known one; return None if it changes nothing.

        The result has the later revision of both, and the later content, by version first.
        """
        known = self._known.get(item.name)
        # The store may report a deletion at the item's last revision; it is as late as the list.
        received = item._replace(revision=batch.revision) if item.deleted else item
        if known is None:
            return received
        received_version, known_version = self._version_of(received), self._version_of(known)
        is_later = _is_later(item, known)
        if received_version > known_version or (received_version == known_version and is_later):
            return received._replace(revision=max(received.revision, known.revision))
        return known._replace(revision=received.revision) if is_later else None

    def _version_of(self, item: Versioned[Item]) -> int:
        return 0 if self._version is None or item.item is None else self._version(item.item)

    def _readable(self, item: Versioned[Item]) -> Versioned[Item]:
        """Return an item, or if it can't be read, its replacement at the new revision."""
        known = self._known.get(item.name)
        if item.item is not None or item.deleted or known is None:
            return item
        if not self._keeps_last_good:
            return item._replace(deleted=True)
        return item._replace(item=known.item, deleted=known.deleted)

    def _missing_from(self, batch: Batch[Item]) -> list[Versioned[Item]]:
        """Return deletions of known items that a whole list lacks; items later than the list stay.

        Items with a version stay too and move to the list's era, because a backup may lack items
        that were created since.
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

    # Logging.

    def _log_ignored(self, items: Iterable[Versioned[Item]]) -> None:
        """Log in one line the items that are ignored because later ones are known."""
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

    def _record_era(self, batch: Batch[Item], answered_at: float) -> None:
        """Log and announce that the list enters a new era, if an earlier one was known."""
        former = self.revision
        if former is None or not former.number or batch.revision.era == former.era:
            return
        received = {item.name: item.item for item in batch.items}
        known = {item.name: item.item for item in self._known.values() if not item.deleted}
        names = received.keys() | known.keys()
        log_event(
            logger,
            STORE_ERA_BEGAN,
            list=self._name,
            revision=str(batch.revision),
            former_revision=str(former),
            differing=sum(received.get(name) != known.get(name) for name in names),
            confirmed_ms_ago=round((answered_at - self.confirmed_at) * 1_000),
        )
        self._begin_era(batch.revision.era)


def _is_later(item: Versioned[Item], known: Versioned[Item]) -> bool:
    """Return whether an item is later by revision; deletions come at an item's last revision."""
    if item.revision > known.revision:
        return True
    return item.deleted and not known.deleted and item.revision == known.revision
