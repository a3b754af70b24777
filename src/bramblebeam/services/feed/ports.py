"""The interface between the feed and the adapter of a platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

Item = TypeVar("Item")


class SourceUnavailableError(Exception):
    """The store gave no answer, or none that can be read. Another try may succeed."""


class HistoryLostError(Exception):
    """The store has forgotten the changes asked for: take the whole list again."""


@dataclass(frozen=True, slots=True)
class Versioned(Generic[Item]):
    """One item by its name; `item` None: it can't be read, or it was deleted."""

    name: str
    revision: int
    item: Item | None
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Batch(Generic[Item]):
    """Items up to a revision of the store: a whole list, or changes in their order."""

    items: tuple[Versioned[Item], ...]
    revision: int


class Source(Protocol[Item]):
    """A list in the store that can be followed."""

    async def list(self) -> Batch[Item]:
        """Return the whole list as it is now. Raises SourceUnavailableError."""

    async def changes(self, revision: int, wait: float) -> Batch[Item]:
        """Return the changes after a revision, waiting for one for up to `wait` seconds.

        Raises HistoryLostError, SourceUnavailableError.
        """
