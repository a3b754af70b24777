"""Interfaces between the feed and the sources of its lists: the store, or another node."""

from __future__ import annotations

import math
from typing import Generic, NamedTuple, Protocol, TypeVar

from bramblebeam.core.revision import Revision

Item = TypeVar("Item")


UNKNOWN_AGE = math.inf
"""Age (seconds) of a list whose age is not known."""


class SourceUnavailableError(Exception):
    """The source gave no answer, or an unreadable one. Retriable."""


class HistoryLostError(Exception):
    """The source no longer has the requested changes; the whole list must be read again."""


class Versioned(NamedTuple, Generic[Item]):
    """A named item at a revision. `item` is None if it can't be read or was deleted."""

    name: str
    revision: Revision
    item: Item | None
    deleted: bool = False


class Batch(NamedTuple, Generic[Item]):
    """Items up to a revision of the store: a whole list, or changes in order.

    `age`: seconds since the store confirmed them; 0 if the store itself answered.
    """

    items: tuple[Versioned[Item], ...]
    revision: Revision
    age: float = 0.0


class Source(Protocol[Item]):
    """A list that can be followed."""

    async def list(self) -> Batch[Item]:
        """Return the current list. Raises SourceUnavailableError."""

    async def changes(self, revision: Revision, wait: float) -> Batch[Item]:
        """Return the changes after a revision, waiting up to `wait` seconds for the first.

        Raises SourceUnavailableError, and HistoryLostError, also for a revision of another era.
        """


class StoreList(Source[Item], Protocol[Item]):
    """A list that is read from the store itself."""

    async def list_cached(self) -> Batch[Item]:
        """Return the list as it was some seconds ago.

        It has UNKNOWN_AGE, and its revision states only the era of the answer. It costs the store
        less than `list`. Raises SourceUnavailableError.
        """
