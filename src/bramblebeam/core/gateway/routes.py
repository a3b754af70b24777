"""The configured routes by database name, and the settings of the groups that serve them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.identity import GroupId
from bramblebeam.core.tenants import NO_TENANT, KeyDigest, TenantId, TenantTable
from bramblebeam.core.verdict import Reason, Refusal, Verdict


class Consistency(IntEnum):
    """The consistency guarantee of reads on a route."""

    LATEST = 1
    """Every commit acknowledged before the read began."""
    BOUNDED = 2
    """Every commit acknowledged longer ago than the route's staleness bound."""
    SESSION = 3
    """As BOUNDED, and every commit of the reader's own session."""


class Route(NamedTuple):
    """One database name that callers may open, and how its statements are handled.

    `timeout`: time limit of one statement (seconds). `target`: target latency (seconds).
    `staleness`: bound for BOUNDED and SESSION reads (seconds). `priority`: 0 is the highest.
    `most_attempts`: maximum concurrent attempts of one statement at databases; 0: the built-in
    default.
    """

    name: str
    database: str
    group: GroupId
    consistency: Consistency
    timeout: float
    target: float
    staleness: float = 0.0
    priority: int = 0
    most_attempts: int = 0


class GroupSettings(NamedTuple):
    """Limits of one database group.

    `maximum_connections`: connections that one database accepts from all nodes together.
    `synchronous_replicas`: replicas that must receive a commit before it is acknowledged.
    """

    group: GroupId
    maximum_connections: int
    synchronous_replicas: int = 0


class Access(NamedTuple):
    """The route that a caller may use, and the tenant that it belongs to."""

    route: Route
    tenant: TenantId


@dataclass(frozen=True, slots=True)
class RouteTable:
    """The configuration in force. Version 0: none has been read.

    `transaction_idle`: time after which an idle transaction may be ended (seconds). `tenants`: the
    tenants that may use the databases; None: any caller may. `public`: the databases that any
    caller may use even so.
    """

    version: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    groups: Mapping[GroupId, GroupSettings] = field(default_factory=dict)
    transaction_idle: float = 3.0
    tenants: TenantTable | None = None
    public: frozenset[str] = frozenset()

    def route(self, database: str) -> Route | None:
        """Return the route of a database name, or None if there is none."""
        return self.routes.get(database)

    def tenant_of(self, database: str, key: KeyDigest) -> TenantId | None:
        """Return the tenant of a caller with this key at a database; None if access is denied."""
        if self.tenants is None:
            return NO_TENANT
        holder = self.tenants.holder(key)
        if holder is not None:
            return holder.name
        return NO_TENANT if database in self.public else None

    def access(self, database: str, key: KeyDigest) -> Access | Refusal:
        """Return the access of a caller with this key, or the reason for refusing it.

        The key is checked before the database name, so that a caller without a valid key cannot
        find out which databases exist.
        """
        if not self.version:
            return Refusal(Verdict.NOT_RUN, Reason.NO_CONFIGURATION)
        tenant = self.tenant_of(database, key)
        if tenant is None:
            return Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_KEY)
        route = self.route(database)
        if route is None:
            return Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_DATABASE)
        return Access(route, tenant)


@dataclass(frozen=True, slots=True)
class RoutesChanged:
    """Published when a newer route table comes into force."""

    table: RouteTable
