"""Messages by which one node follows the store's lists at another."""

from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.routes import GroupSettings, Route
from bramblebeam.core.tenants import Tenant

UNKNOWN_REVISION = -1
"""Nothing is known of the list."""
UNKNOWN_ERA = -1
"""Sent by nodes of versions without eras; a request then means the era of the replying node."""


class ListName(IntEnum):
    """A list in the store."""

    ROUTES = 1
    DATABASES = 2


class FollowRequest(NamedTuple):
    """Request the changes of a list since `revision`, or the whole list (UNKNOWN_REVISION).

    `wait`: how long to hold the reply until there is a change (seconds). `era`: that of `revision`.
    """

    name: ListName
    revision: int
    wait: float
    era: int = UNKNOWN_ERA


class RouteTableItem(NamedTuple):
    """A route table under its name in the store. `version` 0: it was deleted.

    `tenants` None: the table defines no tenants, and any caller may use the databases.
    """

    name: str
    revision: int
    version: int = 0
    routes: tuple[Route, ...] = ()
    groups: tuple[GroupSettings, ...] = ()
    transaction_idle: float = 0.0
    tenants: tuple[Tenant, ...] | None = None
    public: tuple[str, ...] = ()


class DatabaseItem(NamedTuple):
    """A registered database under its name in the store. `entry` None: it was deleted."""

    name: str
    revision: int
    entry: DatabaseEntry | None = None


class DatabaseStart(NamedTuple):
    """The start time (milliseconds since the epoch) of the database with this name."""

    name: str
    born: int


class FollowReply(NamedTuple):
    """The changes of a list up to `revision`, or the whole list.

    `available` False: the node has no list, or has lost all its own sources. `age`: seconds since
    the list was last confirmed by the store, directly or through other nodes. `starts`: the start
    times of the databases that report one. Their entries carry the plain name without it, because
    nodes of earlier versions know only that name. `era`: the era of every revision in the reply.
    """

    available: bool
    whole: bool = False
    revision: int = UNKNOWN_REVISION
    age: float = 0.0
    routes: tuple[RouteTableItem, ...] = ()
    databases: tuple[DatabaseItem, ...] = ()
    starts: tuple[DatabaseStart, ...] = ()
    era: int = UNKNOWN_ERA
