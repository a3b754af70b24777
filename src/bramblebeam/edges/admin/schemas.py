"""The bodies of the API. Times are milliseconds where a name ends in `_ms`."""

from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class RowBody(_Body):
    """One version of one row. `version` is the store's; it only grows."""

    kind: str
    name: str
    version: int
    spec: dict[str, Any] | None
    change_id: str = ""


class RowList(_Body):
    """Rows in force at the asked node. `next`: ask again with `after=next` for more."""

    rows: list[RowBody]
    complete: int
    next: str | None = None


class EditBody(_Body):
    """An edit: written only if the row is at `expected_version` (0: it must not exist).

    `change_id` makes the edit safe to send again; the node makes one up where it is missing.
    """

    expected_version: int = Field(ge=0)
    spec: dict[str, Any]
    change_id: str = Field(default="", max_length=64, pattern=r"^[A-Za-z0-9._-]*$")


class EditResult(_Body):
    """An accepted edit. `overwritten`: a later edit has taken its place already."""

    change_id: str
    version: int
    row: RowBody | None
    overwritten: bool = False


class ZoneInForce(_Body):
    """How far one zone is: `slowest` is the node that is furthest back, at `lowest`."""

    zone: str
    lowest: int
    slowest: str
    nodes: int
    behind: int


class InForceBody(_Body):
    """Where a version is in force. `everywhere`: every zone answered, and no node is behind."""

    version: int
    everywhere: bool
    zones: list[ZoneInForce]
    unreachable: list[str]


class NodeVersion(_Body):
    """What one node has in force at least (0: not known)."""

    node: str
    zone: str
    version: int


class VersionsBody(_Body):
    """What is in force where, node by node, the slowest first; `total`: nodes known in all."""

    nodes: list[NodeVersion]
    total: int
    unreachable: list[str]


class MemberBody(_Body):
    """One node as the asked node knows it."""

    node: str
    zone: str
    region: str
    state: str
    incarnation: int
    admin: str


class MemberList(_Body):
    """A page of the nodes known, by zone and name."""

    members: list[MemberBody]
    next: str | None = None


class GroupMemberBody(_Body):
    """One database server of a group; live fields are missing where no owner answered."""

    instance: str
    zone: str
    owner: str | None = None
    reachable: bool | None = None
    role: str | None = None
    term: int | None = None
    last: str | None = None
    applied: str | None = None
    lag_ms: int | None = None
    leaving: bool | None = None
    drained: bool = False
    """By its weight row: it is to get no new work."""


class GroupBody(_Body):
    """One database group. `unreachable`: instances of which nothing could be learned."""

    group: str
    failover: str
    primary: str | None
    term: int
    phase: str | None = None
    members: list[GroupMemberBody]
    unreachable: list[str]


class GroupList(_Body):
    """A page of groups."""

    groups: list[GroupBody]
    next: str | None = None


class PoolServiceBody(_Body):
    """One service's slots on one back end."""

    service: str
    slots: int
    used: int
    borrowed: int
    queued: int


class PoolBody(_Body):
    """The slots of one back end, as its owner has them."""

    instance: str
    group: str
    owner: str
    limit: int
    used: int
    queued: int
    services: list[PoolServiceBody]


class PoolList(_Body):
    """The pools of a group, or of a page of groups."""

    pools: list[PoolBody]
    unreachable: list[str]
    next: str | None = None


class StatusBody(_Body):
    """The system at a glance, as the asked node sees it."""

    node: str
    zone: str
    ready: bool
    complete: int
    watching_store: bool
    rows: int
    groups: int
    members: dict[str, int]
    zones: list[ZoneInForce]
    unreachable: list[str]


class ChangePrimaryBody(_Body):
    """The instance that is to be primary."""

    instance: str


class ChangePrimaryResult(_Body):
    """How a planned change of primary ended."""

    group: str
    outcome: str
    term: int
    primary: str
    detail: str
    duration_ms: int


class DrainBody(_Body):
    """Whether the back end is to be drained; null `expected_version`: whatever is in force.

    A primary that is drained moves by a planned change. `force`: also where the group changes its
    primary itself, and its writes are refused until it has.
    """

    drain: bool = True
    expected_version: int | None = None
    force: bool = False


class NodeDrainResult(_Body):
    """The node begins its planned stop."""

    node: str
    state: Literal["stopping"] = "stopping"
