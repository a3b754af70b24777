"""The interface between the feed and what tells it of a list: the store, or another node."""

from __future__ import annotations

import math
from typing import Generic, NamedTuple, Protocol, TypeVar

from bramblebeam.core.revision import Revision

Item = TypeVar("Item")


UNKNOWN_AGE = math.inf
"""The age of a list of which nobody told how old it is (seconds)."""


class SourceUnavailableError(Exception):
    """The source gave no answer, or none that can be read. Another try may succeed."""


class HistoryLostError(Exception):
    """The source has forgotten the changes asked for: take the whole list again."""


class Versioned(NamedTuple, Generic[Item]):
    """One item by its name; `item` None: it can't be read, or it was deleted."""

    name: str
    revision: Revision
    item: Item | None
    deleted: bool = False


class Batch(NamedTuple, Generic[Item]):
    """Items up to a revision of the store: a whole list, or changes in their order.

    `age`: seconds since the store confirmed it; 0 where the store itself has answered.
    """

    items: tuple[Versioned[Item], ...]
    revision: Revision
    age: float = 0.0


class Source(Protocol[Item]):
    """A list that can be followed."""

    async def list(self) -> Batch[Item]:
        """Return the whole list as it is now. Raises SourceUnavailableError."""

    async def changes(self, revision: Revision, wait: float) -> Batch[Item]:
        """Return the changes after a revision, waiting for one for up to `wait` seconds.

        Raises HistoryLostError, also where the revision is of another era; SourceUnavailableError.
        """


class StoreList(Source[Item], Protocol[Item]):
    """A list of the store itself."""

    async def list_cached(self) -> Batch[Item]:
        """Return the list as it was some seconds ago, of UNKNOWN_AGE and with no revision but
        the era of the answer.

        It costs the store a part of what the list costs. Raises SourceUnavailableError.
        """
