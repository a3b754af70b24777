"""The store's lists as the product's routes and databases."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.routes import Consistency, GroupSettings, Route, RouteTable
from bramblebeam.core.identity import Address, GroupId, InstanceId, ZoneId
from bramblebeam.core.statement import Role
from bramblebeam.platform.objects import StoredObject, StoreFormatError
from bramblebeam.platform.store import HistoryGoneError, StoreClient, StoreUnavailableError
from bramblebeam.services.feed.ports import (
    Batch,
    HistoryLostError,
    SourceUnavailableError,
    Versioned,
)

CONFIGURATION_KIND = "config"
DATABASE_KIND = "servers"
_MILLISECONDS = 1_000
_MALFORMED = (KeyError, TypeError, ValueError)

_CONSISTENCY = {
    "primary": Consistency.LATEST,
    "bounded": Consistency.BOUNDED,
    "self_managed": Consistency.SESSION,
}
_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}

Item = TypeVar("Item")


class StoreSource(Generic[Item]):
    """Follows one kind of objects; an object that can't be read is passed over."""

    def __init__(
        self, client: StoreClient, kind: str, parse: Callable[[StoredObject], Item]
    ) -> None:
        self._client = client
        self._kind = kind
        self._parse = parse

    async def list(self) -> Batch[Item]:
        """Return the whole list. Raises SourceUnavailableError."""
        try:
            found, revision = await self._client.list(self._kind)
        except (StoreUnavailableError, StoreFormatError) as error:
            raise SourceUnavailableError(str(error)) from error
        return Batch(tuple(self._versioned(item, False) for item in found), revision)

    async def changes(self, revision: int, wait: float) -> Batch[Item]:
        """Return what changed. Raises HistoryLostError, SourceUnavailableError."""
        try:
            told = await self._client.watch(self._kind, revision, wait)
        except HistoryGoneError as error:
            raise HistoryLostError from error
        except (StoreUnavailableError, StoreFormatError) as error:
            raise SourceUnavailableError(str(error)) from error
        items = tuple(self._versioned(change.found, change.deleted) for change in told.changes)
        return Batch(items, told.revision)

    def _versioned(self, found: StoredObject, deleted: bool) -> Versioned[Item]:
        item: Item | None = None
        if not deleted:
            try:
                item = self._parse(found)
            except _MALFORMED:
                item = None
        return Versioned(found.name, found.revision, item, deleted)


def route_source(client: StoreClient) -> StoreSource[RouteTable]:
    """Return the source of the configuration."""
    return StoreSource(client, CONFIGURATION_KIND, lambda found: parse_table(found.spec))


def database_source(client: StoreClient) -> StoreSource[DatabaseEntry]:
    """Return the source of registered databases."""
    return StoreSource(client, DATABASE_KIND, parse_database)


def parse_table(content: Any) -> RouteTable:
    """Return a route table. Raises KeyError, TypeError, ValueError where it is none."""
    routes = [_parse_route(item) for item in content["routes"] if item.get("host")]
    groups = [_parse_group(item) for item in content["services"]]
    limits = content.get("limits") or {}
    return RouteTable(
        version=int(content["version"]),
        routes={route.database: route for route in routes},
        groups={group.group: group for group in groups},
        transaction_idle=float(limits.get("tx_idle_ms", 3_000)) / _MILLISECONDS,
    )


def _parse_route(content: Any) -> Route:
    return Route(
        name=str(content["name"]),
        database=str(content["host"]),
        group=GroupId(content["service"]),
        consistency=_CONSISTENCY[content["route_type"]],
        timeout=float(content["timeout_ms"]) / _MILLISECONDS,
        target=float(content["target_ms"]) / _MILLISECONDS,
        staleness=float(content.get("max_staleness_ms") or 0) / _MILLISECONDS,
        priority=int(content.get("priority", 0)),
    )


def _parse_group(content: Any) -> GroupSettings:
    return GroupSettings(
        group=GroupId(content["name"]),
        maximum_connections=int(content.get("max_conns") or 0),
        synchronous_replicas=int(content.get("sync_replicas") or 0),
    )


def parse_database(found: StoredObject) -> DatabaseEntry:
    """Return a registered database. Raises KeyError, TypeError, ValueError where it is none."""
    content = found.spec if found.spec is not None else found.status
    host, _, port = str(content["address"]).rpartition(":")
    return DatabaseEntry(
        instance=InstanceId(found.name),
        group=GroupId(content["service"]),
        address=Address(host, int(port)),
        zone=ZoneId(content["zone"]),
        role=_ROLES.get(content.get("db_role"), Role.REPLICA),
        leaving=content["state"] != "ready",
        slots=int(content.get("capacity") or 1),
    )
