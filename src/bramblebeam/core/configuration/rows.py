"""The rows of the replicated table, as operators write them, and their validation rules.

A row is an object of the platform's store, named by its kind (`group`, `limit` or `weight`) and
name. It has a spec and a version, which the store assigns and which only increases.
"""

from typing import Annotated, Any, Literal, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

from bramblebeam.core.identity import GroupId, InstanceId, ServiceId, ZoneId

Kind = Literal["group", "limit", "weight"]

Milliseconds = Annotated[int, Field(ge=0, le=3_600_000)]


_STRICT = ConfigDict(extra="forbid")


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class MemberSpec:
    """One database server of a group."""

    instance: InstanceId
    zone: ZoneId
    host: str
    port: int = Field(ge=1, le=65_535)


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class GroupSpec:
    """A database group. Its name is the database (schema) name that callers connect to.

    `failover`: `managed` (bramblebeam changes the primary) or `observed` (the group itself does).
    """

    members: tuple[MemberSpec, ...] = Field(min_length=1, max_length=15)
    failover: Literal["managed", "observed"] = "managed"


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class LimitSpec:
    """The limits of one service at each member of one group. Named `SERVICE.GROUP`.

    `slots`: back-end connections reserved for the service per member. `burst`: further slots it may
    borrow while other services leave theirs idle. `queue`: statements that may wait for a slot.
    `queue_wait_ms`: how long a statement may wait. `staleness_ms`: maximum staleness of a replica's
    result. `deadline_ms`: maximum duration of a statement. `connections`: caller connections per
    node.
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


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class WeightSpec:
    """The share of reads that one instance gets within its group. Named after the instance.

    `read_weight` 0: no reads while another member can serve them. `drain`: the instance gets no
    new work.
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
"""Parses and validates the spec of each kind of row."""


class RowKey(NamedTuple):
    """The key of one row."""

    kind: str
    name: str


class Row(NamedTuple):
    """One version of one row. `spec` is JSON text; an empty one means that the row is deleted.

    `change_id` identifies the edit that made this version, to resolve an edit whose reply was lost.
    """

    key: RowKey
    version: int
    spec: str
    change_id: str = ""
