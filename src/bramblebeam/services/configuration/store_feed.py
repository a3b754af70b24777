"""Lists and watches the platform's store for the relay."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, Protocol

from expression import Result

from bramblebeam.core.configuration.relay_events import (
    ListStore,
    RowsListed,
    RowsWatched,
    StoreFailed,
    StoreFailure,
    WatchStore,
)
from bramblebeam.edges.object_store.client import PlatformClient
from bramblebeam.edges.object_store.results import Expired, PlatformError, error_text
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import CONFIGURATION_STORE_LOST, CONFIGURATION_STORE_READ

logger = logging.getLogger(__name__)


class FeedOwner(Protocol):
    """The service that receives the feed's events."""

    def feed(self, event: Any) -> None:
        """Handle one event."""

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a child task."""


class StoreFeed:
    """Runs at most one listing or watch at a time."""

    def __init__(self, owner: FeedOwner, client: PlatformClient) -> None:
        self._owner = owner
        self._client = client
        self._task: asyncio.Task[Any] | None = None
        self._lost = False

    def carry_out(self, effect: Any) -> None:
        """End the listing or watch under way; start the requested one, if any."""
        if self._task is not None:
            self._task.cancel()
        self._task = None
        match effect:
            case ListStore():
                self._task = self._owner.spawn(self._list())
            case WatchStore(after):
                self._task = self._owner.spawn(self._watch(after))

    async def _list(self) -> None:
        match await self._client.list_rows():
            case Result(tag="ok", ok=listing):
                self._received(RowsListed(listing.version, listing.rows))
            case Result(error=error):
                self._failed(error)

    async def _watch(self, after: int) -> None:
        async for result in self._client.watch_rows(after):
            match result:
                case Result(tag="ok", ok=changes):
                    self._received(RowsWatched(changes.version, changes.rows))
                case Result(error=error):
                    self._failed(error)

    def _received(self, event: RowsListed | RowsWatched) -> None:
        if self._lost:
            self._lost = False
            log_event(logger, CONFIGURATION_STORE_READ, version=event.version)
        self._owner.feed(event)

    def _failed(self, error: PlatformError) -> None:
        if not self._lost:
            self._lost = True
            log_event(logger, CONFIGURATION_STORE_LOST, error=error_text(error))
        expired = isinstance(error, Expired)
        self._owner.feed(StoreFailed(StoreFailure.EXPIRED if expired else StoreFailure.UNAVAILABLE))
