"""What nodes tell each other of the store's lists."""

from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.routes import GroupSettings, Route
from bramblebeam.core.tenants import Tenant

UNKNOWN_REVISION = -1
UNKNOWN_ERA = -1
"""By a node of a version that knows no eras: it means whatever era the other one is in."""


class ListName(IntEnum):
    """A list of the store."""

    ROUTES = 1
    DATABASES = 2


class FollowRequest(NamedTuple):
    """Ask a node for what changed in a list since `revision`, or for all (NOTHING_KNOWN).

    `wait`: how long to wait for a change (seconds). `era`: that of `revision`.
    """

    name: ListName
    revision: int
    wait: float
    era: int = UNKNOWN_ERA


class RouteTableItem(NamedTuple):
    """A route table under its name in the store. `version` 0: it was deleted.

    `tenants` None: the table knows none, and anybody may use the databases.
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
    """When the database of an entry started (milliseconds of the epoch), by its name."""

    name: str
    born: int


class FollowReply(NamedTuple):
    """The changes, or the whole list, up to `revision`.

    `available` False: the node knows nothing, or has lost all its own sources. `age`: seconds since
    the last time that the store, or who told the node, confirmed the list. `starts`: of those
    databases that tell theirs; their entries have the plain name, as nodes of an earlier version
    know nothing else. `era`: that of every revision in the reply.
    """

    available: bool
    whole: bool = False
    revision: int = UNKNOWN_REVISION
    age: float = 0.0
    routes: tuple[RouteTableItem, ...] = ()
    databases: tuple[DatabaseItem, ...] = ()
    starts: tuple[DatabaseStart, ...] = ()
    era: int = UNKNOWN_ERA
