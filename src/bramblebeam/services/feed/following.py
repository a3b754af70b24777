"""The loop that follows one list at one source."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any

from bramblebeam.core.identity import NodeId
from bramblebeam.core.revision import Revision
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    PEER_FEED_LOST,
    PEER_FEED_RECOVERED,
    STORE_LOST,
    STORE_RECOVERED,
)
from bramblebeam.services.feed.followed import FollowedList
from bramblebeam.services.feed.ports import (
    Batch,
    HistoryLostError,
    Source,
    SourceUnavailableError,
)

logger = logging.getLogger(__name__)

FIRST_RETRY = 0.1
MAXIMUM_RETRY = 0.6
FIRST_WAIT = 0.5
"""How long the first request after a failure waits for changes (seconds). The store may be in a new
era, of which a request that waits for changes of the former one learns only from its answer; a
longer wait would delay changes written meanwhile. A slow store has another second to answer."""
TRAVEL_SECONDS = 0.5
"""Maximum travel time of an answer that waited for changes."""


class SourceFollower:
    """Follows a list at a source until cancelled. `failed`: the last request failed.

    `node`: the node that is the source (None: the store itself).
    """

    def __init__(
        self, name: str, node: NodeId | None, source: Source[Any], followed: FollowedList[Any]
    ) -> None:
        self.failed = False
        self._name = name
        self._node = node
        self._source = source
        self._list = followed
        self._failures = 0

    async def load_cached(
        self, load: Callable[[], Awaitable[Batch[Any]]], until: asyncio.Event
    ) -> None:
        """Load a list that may be old, to have one until a current list arrives."""
        while not until.is_set() and self._list.revision is None:
            answered_at = asyncio.get_running_loop().time()
            try:
                self._list.merge(await load(), True, answered_at)
            except SourceUnavailableError as error:
                await self._failed(None, str(error))

    async def run(self, wait: float) -> None:
        """Send requests in a loop; each waits up to `wait` seconds for changes."""
        revision: Revision | None = None
        while True:
            try:
                revision = await self._request(revision, FIRST_WAIT if self._failures else wait)
            except HistoryLostError:
                revision = None
            except SourceUnavailableError as error:
                await self._failed(revision, str(error))

    async def _request(self, revision: Revision | None, wait: float) -> Revision:
        loop = asyncio.get_running_loop()
        answered_at = loop.time()
        if revision is None:
            batch = await self._source.list()
        else:
            batch = await self._source.changes(revision, wait)
            answered_at = max(answered_at, loop.time() - TRAVEL_SECONDS)
        if self._failures:
            self._log_regained()
        self._failures = 0
        self.failed = False
        self._list.merge(batch, revision is None, answered_at)
        return batch.revision

    async def _failed(self, revision: Revision | None, error: str) -> None:
        self.failed = True
        if not self._failures:
            self._log_lost(revision, error)
        self._failures += 1
        pause = min(MAXIMUM_RETRY, FIRST_RETRY * 2**self._failures)
        await asyncio.sleep(pause * random.uniform(0.7, 1.3))

    def _log_lost(self, revision: Revision | None, error: str) -> None:
        name = self._name
        known = None if revision is None else str(revision)
        if self._node is None:
            log_event(logger, STORE_LOST, list=name, revision=known, error=error)
            return
        node = self._node
        log_event(logger, PEER_FEED_LOST, list=name, node=node, revision=known, error=error)

    def _log_regained(self) -> None:
        name, failures = self._name, self._failures
        if self._node is None:
            log_event(logger, STORE_RECOVERED, list=name, failures=failures)
            return
        log_event(logger, PEER_FEED_RECOVERED, list=name, node=self._node, failures=failures)
