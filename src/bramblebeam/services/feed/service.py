"""The feed service: keeps routes and registered databases as new as the store tells."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, ClassVar

from bramblebeam.core.gateway.directory import DatabaseEntry, DirectoryChanged
from bramblebeam.core.gateway.registry import Registry
from bramblebeam.core.gateway.routes import RoutesChanged, RouteTable
from bramblebeam.core.identity import InstanceId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    DIRECTORY_CHANGED,
    ROUTES_IN_FORCE,
    STORE_LOST,
    STORE_REGAINED,
)
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.services.feed.ports import Batch, HistoryLostError, Source, SourceUnavailableError

logger = logging.getLogger(__name__)

WATCH_SECONDS = 3.0
"""How long one question for changes waits: a dead connection is found after that."""
FIRST_RETRY = 0.1
MAXIMUM_RETRY = 0.6
LEAVING_SHARE = 0.75
"""The part of the time in which a leaving database may get work that this node uses."""


class FeedService(Service):
    """Publishes `RoutesChanged` and `DirectoryChanged`."""

    name: ClassVar[str] = "feed"

    def __init__(
        self,
        kernel: Kernel,
        routes: Source[RouteTable],
        databases: Source[DatabaseEntry],
        drain: float,
    ) -> None:
        super().__init__(kernel)
        self._routes = routes
        self._databases = databases
        self._registry = Registry(drain * LEAVING_SHARE)
        self._table = RouteTable()

    async def start(self) -> None:
        """Begin to follow both lists."""
        self.spawn(self._follow("routes", self._routes, self._take_routes))
        self.spawn(self._follow("databases", self._databases, self._take_databases))
        self.spawn(self._expire())

    async def handle(self, envelope: Envelope) -> None:
        """Take no messages."""

    async def _follow(
        self, name: str, source: Source[Any], take: Callable[[Batch[Any], bool], None]
    ) -> None:
        revision: int | None = None
        failures = 0
        while True:
            try:
                whole = revision is None
                if revision is None:
                    batch = await source.list()
                else:
                    batch = await source.changes(revision, WATCH_SECONDS)
            except HistoryLostError:
                revision = None
                continue
            except SourceUnavailableError as error:
                if not failures:
                    log_event(logger, STORE_LOST, list=name, revision=revision, error=str(error))
                failures += 1
                pause = min(MAXIMUM_RETRY, FIRST_RETRY * 2**failures)
                await asyncio.sleep(pause * random.uniform(0.7, 1.3))
                continue
            if failures:
                log_event(logger, STORE_REGAINED, list=name, failures=failures)
                failures = 0
            revision = batch.revision
            take(batch, whole)

    def _take_routes(self, batch: Batch[RouteTable], whole: bool) -> None:
        for versioned in batch.items:
            table = versioned.item
            if table is not None and table.version > self._table.version:
                self._table = table
                log_event(
                    logger,
                    ROUTES_IN_FORCE,
                    version=table.version,
                    routes=len(table.routes),
                    revision=versioned.revision,
                )
                self.kernel.publish(RoutesChanged(table))

    def _take_databases(self, batch: Batch[DatabaseEntry], whole: bool) -> None:
        now = asyncio.get_running_loop().time()
        if whole:
            entries = {
                InstanceId(found.name): (found.item, found.revision)
                for found in batch.items
                if found.item is not None
            }
            changed = self._registry.replace_all(entries, now)
        else:
            changed = False
            for found in batch.items:
                if found.deleted:
                    changed |= self._registry.remove(InstanceId(found.name), now)
                elif found.item is not None:
                    changed |= self._registry.put(found.item, found.revision, now)
        if changed:
            self._publish_directory()

    async def _expire(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = self._registry.next_expiry()
            pause = 0.5 if due is None else max(0.05, min(0.5, due - loop.time()))
            await asyncio.sleep(pause)
            if self._registry.expire(loop.time()):
                self._publish_directory()

    def _publish_directory(self) -> None:
        directory = self._registry.directory(asyncio.get_running_loop().time())
        leaving = [entry.instance for entry in directory.entries.values() if entry.leaving]
        log_event(
            logger,
            DIRECTORY_CHANGED,
            version=directory.version,
            databases=len(directory.entries),
            leaving=leaving,
        )
        self.kernel.publish(DirectoryChanged(directory))
