"""Reads routes and databases from the lists of the platform's store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.routes import Consistency, GroupSettings, Route, RouteTable
from bramblebeam.core.identity import GroupId
from bramblebeam.core.revision import NO_REVISION, Revision
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import STORE_OBJECT_UNREADABLE, TABLE_DEFAULT_USED
from bramblebeam.platform.database_entries import parse_database_entry
from bramblebeam.platform.fields import (
    MAX_COUNT,
    MAX_DURATION_MS,
    FieldError,
    integer,
    list_of,
    number,
    object_of,
    text,
    word,
)
from bramblebeam.platform.objects import (
    MALFORMED_SPEC,
    MAX_ERROR_CHARS,
    StoredObject,
    StoreFormatError,
    require_valid_unicode,
)
from bramblebeam.platform.store import HistoryGoneError, StoreClient, StoreUnavailableError
from bramblebeam.platform.tenants import parse_tenants
from bramblebeam.services.feed.ports import (
    UNKNOWN_AGE,
    Batch,
    HistoryLostError,
    SourceUnavailableError,
    Versioned,
)

logger = logging.getLogger(__name__)

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
"""Name of the object that holds the configuration; others of its kind are not used."""
DATABASE_KIND = "servers"
DEFAULT_TRANSACTION_IDLE_MS = 3_000
"""Longest idle time of a transaction (milliseconds) if the table sets none. Every table so far has
set this value."""
MAX_LOGGED_ONCE = 1_000
"""Maximum number of unreadable objects that are remembered, so that each is logged once."""
_MS_PER_SECOND = 1_000

_CONSISTENCY = {
    "primary": Consistency.LATEST,
    "bounded": Consistency.BOUNDED,
    "self_managed": Consistency.SESSION,
}

Item = TypeVar("Item")


class StoreSource(Generic[Item]):
    """Lists and watches objects of one kind; an object that cannot be read has no item.

    `only`: the one name of an object of this kind that is used; None: all names are.
    """

    def __init__(
        self,
        client: StoreClient,
        kind: str,
        parse: Callable[[StoredObject], Item],
        only: str | None = None,
    ) -> None:
        self._client = client
        self._kind = kind
        self._parse = parse
        self._only = only
        self._logged: set[str] = set()

    async def list(self) -> Batch[Item]:
        """Return the whole list. Raises SourceUnavailableError."""
        return await self._list(cached=False)

    async def list_cached(self) -> Batch[Item]:
        """Return the list as of some seconds ago. Raises SourceUnavailableError."""
        found = await self._list(cached=True)
        # The list may predate the era in the answer, so its revisions cannot be relied on.
        items = tuple(item._replace(revision=NO_REVISION) for item in found.items)
        return Batch(items, Revision(found.revision.era, 0), UNKNOWN_AGE)

    async def _list(self, cached: bool) -> Batch[Item]:
        try:
            found, revision = await self._client.list(self._kind, cached)
        except (StoreUnavailableError, StoreFormatError) as error:
            raise SourceUnavailableError(str(error)) from error
        items = tuple(self._versioned(item, False) for item in found if self._is_used(item))
        return Batch(items, revision)

    async def changes(self, revision: Revision, wait: float) -> Batch[Item]:
        """Return the changes after `revision`, waiting for one for up to `wait` seconds.

        Raises HistoryLostError, SourceUnavailableError.
        """
        try:
            watched = await self._client.watch(self._kind, revision, wait)
        except HistoryGoneError as error:
            raise HistoryLostError from error
        except (StoreUnavailableError, StoreFormatError) as error:
            raise SourceUnavailableError(str(error)) from error
        changes = [change for change in watched.changes if self._is_used(change.stored)]
        items = tuple(self._versioned(change.stored, change.deleted) for change in changes)
        return Batch(items, watched.revision)

    def _is_used(self, found: StoredObject) -> bool:
        if self._only is None or found.name == self._only:
            return True
        self._log_unreadable(found, FieldError(f"only the object {self._only} is used"))
        return False

    def _versioned(self, found: StoredObject, deleted: bool) -> Versioned[Item]:
        item: Item | None = None
        if not deleted:
            try:
                item = self._parsed(found)
            except MALFORMED_SPEC as error:
                self._log_unreadable(found, error)
        if item is not None or deleted:
            self._logged.discard(found.name)
        return Versioned(found.name, found.revision, item, deleted)

    def _parsed(self, found: StoredObject) -> Item:
        if found.error:
            raise StoreFormatError(found.error)
        return self._parse(found)

    def _log_unreadable(self, found: StoredObject, error: Exception) -> None:
        """Log an unreadable object, but only once: its writer may update it again and again."""
        if found.name in self._logged:
            return
        if len(self._logged) < MAX_LOGGED_ONCE:
            self._logged.add(found.name)
        log_event(
            logger,
            STORE_OBJECT_UNREADABLE,
            kind=self._kind,
            object=found.name[:MAX_ERROR_CHARS].encode("ascii", "backslashreplace").decode(),
            revision=str(found.revision),
            error=repr(error)[:MAX_ERROR_CHARS],
        )


def route_source(client: StoreClient) -> StoreSource[RouteTable]:
    """Return the source of the route table."""
    return StoreSource(
        client, CONFIGURATION_KIND, lambda found: parse_route_table(found.spec), CONFIGURATION_NAME
    )


def database_source(client: StoreClient) -> StoreSource[DatabaseEntry]:
    """Return the source of registered databases."""
    return StoreSource(client, DATABASE_KIND, parse_database_entry)


def parse_route_table(content: Any) -> RouteTable:
    """Return a route table. Raises KeyError, ValueError if it is invalid."""
    require_valid_unicode(content)
    table = object_of(content, "table")
    found = [object_of(item, "route") for item in list_of(table["routes"], "routes")]
    listed = [item for item in found if item.get("host")]
    routes = [_parse_route(item) for item in listed]
    groups = [_parse_group(item) for item in list_of(table["services"], "services")]
    idle = object_of(table.get("limits") or {}, "limits").get("tx_idle_ms")
    if idle is None:
        log_event(logger, TABLE_DEFAULT_USED, key="tx_idle_ms", default=DEFAULT_TRANSACTION_IDLE_MS)
        idle = DEFAULT_TRANSACTION_IDLE_MS
    return RouteTable(
        # Version 0 stands for no table, here and between nodes.
        version=integer(table["version"], "version", minimum=1),
        routes={route.database: route for route in routes},
        groups={group.group: group for group in groups},
        transaction_idle=_seconds(idle, "tx_idle_ms"),
        tenants=parse_tenants(table.get("tenants")),
        public=frozenset(str(item["host"]) for item in listed if item.get("public")),
    )


def _parse_route(content: dict[str, Any]) -> Route:
    name = text(content["name"], "route.name")
    return Route(
        name=name,
        database=text(content["host"], "route.host"),
        group=GroupId(word(content["service"], "route.service")),
        consistency=_CONSISTENCY[word(content["route_type"], "route_type")],
        timeout=_seconds(content["timeout_ms"], "timeout_ms"),
        target=_seconds(content["target_ms"], "target_ms"),
        staleness=_seconds(content.get("max_staleness_ms") or 0, "max_staleness_ms"),
        priority=integer(content.get("priority", 0), "priority", 0, MAX_COUNT),
        most_attempts=_most_attempts(content, name),
    )


def _seconds(value: Any, name: str) -> float:
    return number(value, name, MAX_DURATION_MS) / _MS_PER_SECOND


def _most_attempts(content: dict[str, Any], name: str) -> int:
    """Return a route's maximum number of attempts, or 0 if it sets none or an invalid one."""
    limit = content.get("max_attempts")
    if limit is None:
        return 0
    try:
        return integer(limit, "max_attempts", 1, MAX_COUNT)
    except FieldError:
        log_event(logger, TABLE_DEFAULT_USED, key=f"{name}.max_attempts", default=0)
        return 0


def _parse_group(content: Any) -> GroupSettings:
    group = object_of(content, "service")
    return GroupSettings(
        group=GroupId(word(group["name"], "service.name")),
        maximum_connections=_count(group.get("max_conns") or 0, "max_conns"),
        synchronous_replicas=_count(group.get("sync_replicas") or 0, "sync_replicas"),
    )


def _count(value: Any, name: str) -> int:
    return integer(value, name, 0, MAX_COUNT)
