"""Request and response bodies of the API. Fields that end in `_ms` are in milliseconds."""

from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class RowBody(_Body):
    """One version of one row. `version` is assigned by the store and only increases."""

    kind: str
    name: str
    version: int
    spec: dict[str, Any] | None
    change_id: str = ""


class RowList(_Body):
    """Rows in force at the node that answers. `next`: the `after` value for the next page."""

    rows: list[RowBody]
    complete: int
    next: str | None = None


class EditBody(_Body):
    """An edit: written only if the row is at `expected_version` (0: it must not exist).

    `change_id` makes the edit idempotent; the node generates one if it is missing.
    """

    expected_version: int = Field(ge=0)
    spec: dict[str, Any]
    change_id: str = Field(default="", max_length=64, pattern=r"^[A-Za-z0-9._-]*$")


class EditResult(_Body):
    """An accepted edit. `overwritten`: a later edit has already replaced it."""

    change_id: str
    version: int
    row: RowBody | None
    overwritten: bool = False


class ZoneInForce(_Body):
    """Versions in force in one zone: `lowest` is the lowest one, at node `slowest`."""

    zone: str
    lowest: int
    slowest: str
    nodes: int
    behind: int


class InForceBody(_Body):
    """Where a version is in force. `everywhere`: every zone answered and no node is behind."""

    version: int
    everywhere: bool
    zones: list[ZoneInForce]
    unreachable: list[str]


class NodeVersion(_Body):
    """The minimum version in force at one node (0: unknown)."""

    node: str
    zone: str
    version: int


class VersionsBody(_Body):
    """The version in force at each node, the lowest first. `total`: number of known nodes."""

    nodes: list[NodeVersion]
    total: int
    unreachable: list[str]


class MemberBody(_Body):
    """One node, as known to the node that answers."""

    node: str
    zone: str
    region: str
    state: str
    incarnation: int
    admin: str


class MemberList(_Body):
    """A page of the known nodes, ordered by zone and name."""

    members: list[MemberBody]
    next: str | None = None


class GroupMemberBody(_Body):
    """One database server of a group. Live fields are null if no owner answered."""

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
    """Its weight row excludes it from new work."""


class GroupBody(_Body):
    """One database group. `unreachable`: instances whose state could not be determined."""

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
    """Slot usage of one service on one back end."""

    service: str
    slots: int
    used: int
    borrowed: int
    queued: int


class PoolBody(_Body):
    """Slot usage of one back end, as reported by its owner."""

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
    """A summary of the system, as seen by the node that answers."""

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
    """The instance that is to become primary."""

    instance: str


class ChangePrimaryResult(_Body):
    """The outcome of a planned change of primary."""

    group: str
    outcome: str
    term: int
    primary: str
    detail: str
    duration_ms: int


class DrainBody(_Body):
    """Whether to drain the back end. A null `expected_version` stands for the version in force.

    Draining a primary starts a planned change of primary. `force`: drain even if the group changes
    its primary by itself; its writes are then refused until it has done so.
    """

    drain: bool = True
    expected_version: int | None = None
    force: bool = False


class NodeDrainResult(_Body):
    """Confirms that the node has begun its planned stop."""

    node: str
    state: Literal["stopping"] = "stopping"
