"""Requests of one node's admin service to another's, and their replies."""

from dataclasses import dataclass
from typing import NamedTuple

from bramblebeam.core.identity import GroupId, InstanceId, NodeId, ServiceId, ZoneId
from bramblebeam.core.statement import InstanceStatus


class ServiceSlots(NamedTuple):
    """One service's share of a back end's slots. `borrowed`: part of `used`, from others."""

    service: ServiceId
    slots: int
    used: int
    borrowed: int
    queued: int


class PoolReport(NamedTuple):
    """The slots of one back end that the replying node owns."""

    instance: InstanceId
    group: GroupId
    limit: int
    used: int
    queued: int
    services: tuple[ServiceSlots, ...] = ()


@dataclass(frozen=True, slots=True)
class PoolStatusRequest:
    """Query the node's pool service for its slots; answered by `PoolStatus`."""


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """The slots of each back end that the node owns."""

    pools: tuple[PoolReport, ...]


@dataclass(frozen=True, slots=True)
class NodeStatusRequest:
    """Query a node for its state; `instances`: back ends to report (empty: all that it owns)."""

    instances: tuple[InstanceId, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeStatusReply:
    """The state of one node. `complete`: it has at least this store version in force."""

    node: NodeId
    zone: ZoneId
    ready: bool
    complete: int
    connections: int = 0
    in_flight: int = 0
    statements: int = 0
    instances: tuple[InstanceStatus, ...] = ()
    pools: tuple[PoolReport, ...] = ()


@dataclass(frozen=True, slots=True)
class DrainNodeRequest:
    """Request a planned stop: the node hands over what it owns and interrupts no work."""

    operator: str


@dataclass(frozen=True, slots=True)
class DrainNodeReply:
    """The node has begun its planned stop."""

    node: NodeId
