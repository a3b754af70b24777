"""The rows of the shared table, as operators write them, and the checks on them.

A row is an object of the platform's store: (kind, name), a version that the store gives and that
only grows, and a spec. Kinds: `group`, `limit`, `weight`.
"""

from typing import Annotated, Any, Literal, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

from bramblebeam.core.identity import GroupId, InstanceId, ServiceId, ZoneId

Kind = Literal["group", "limit", "weight"]

Milliseconds = Annotated[int, Field(ge=0, le=3_600_000)]


_CHECKED = ConfigDict(extra="forbid")


@dataclass(frozen=True, slots=True, kw_only=True, config=_CHECKED)
class MemberSpec:
    """One database server of a group."""

    instance: InstanceId
    zone: ZoneId
    host: str
    port: int = Field(ge=1, le=65_535)


@dataclass(frozen=True, slots=True, kw_only=True, config=_CHECKED)
class GroupSpec:
    """A database group. Its name is the database (schema) name that callers connect to.

    `failover`: `managed` (the system changes the primary) or `observed` (the group does it).
    """

    members: tuple[MemberSpec, ...] = Field(min_length=1, max_length=15)
    failover: Literal["managed", "observed"] = "managed"


@dataclass(frozen=True, slots=True, kw_only=True, config=_CHECKED)
class LimitSpec:
    """What one service may use of each member of one group. Named `SERVICE.GROUP`.

    `slots`: back-end connections a member holds for the service. `burst`: slots it may borrow
    beyond them while others leave theirs idle. `queue`: statements that may wait for a slot.
    `queue_wait_ms`: how long one may wait. `staleness_ms`: how old a replica's answer may be.
    `deadline_ms`: the longest a statement may take. `connections`: caller connections a node.
    """

    service: ServiceId
    group: GroupId
    slots: int = Field(default=5, ge=1, le=1_000)
    burst: int = Field(default=0, ge=0, le=1_000)
    queue: int = Field(default=100, ge=0, le=100_000)
    queue_wait_ms: Milliseconds = 4_000
    staleness_ms: Milliseconds = 5_000
    deadline_ms: Milliseconds = 30_000
    connections: int = Field(default=1_000, ge=1, le=100_000)


@dataclass(frozen=True, slots=True, kw_only=True, config=_CHECKED)
class WeightSpec:
    """How much reading one instance takes, relative to its group. Named after the instance.

    `read_weight` 0: no reads while another member can serve them. `drain`: the instance is to
    get no new work.
    """

    instance: InstanceId
    read_weight: int = Field(default=100, ge=0, le=10_000)
    drain: bool = False


Spec = GroupSpec | LimitSpec | WeightSpec

SPECS: dict[str, TypeAdapter[Any]] = {
    "group": TypeAdapter(GroupSpec),
    "limit": TypeAdapter(LimitSpec),
    "weight": TypeAdapter(WeightSpec),
}
"""What checks and reads the spec of each kind of row."""


class RowKey(NamedTuple):
    """Names one row."""

    kind: str
    name: str


class Row(NamedTuple):
    """One version of one row. `spec` is JSON text; empty: the row is deleted.

    `change_id` names the edit that made this version, to settle an edit whose answer was lost.
    """

    key: RowKey
    version: int
    spec: str
    change_id: str = ""
