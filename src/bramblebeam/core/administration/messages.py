"""What the admin service of one node asks that of another."""

from dataclasses import dataclass
from typing import NamedTuple

from bramblebeam.core.identity import GroupId, InstanceId, NodeId, ServiceId, ZoneId
from bramblebeam.core.statement import InstanceStatus


class ServiceSlots(NamedTuple):
    """One service's part of one back end's slots. `borrowed`: how many of `used` are others'."""

    service: ServiceId
    slots: int
    used: int
    borrowed: int
    queued: int


class PoolReport(NamedTuple):
    """The slots of one back end that the answering node owns."""

    instance: InstanceId
    group: GroupId
    limit: int
    used: int
    queued: int
    services: tuple[ServiceSlots, ...] = ()


@dataclass(frozen=True, slots=True)
class PoolStatusRequest:
    """Ask the node's pool service for its slots; the answer is a `PoolStatus`."""


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """The slots of each back end that the node owns."""

    pools: tuple[PoolReport, ...]


@dataclass(frozen=True, slots=True)
class NodeStatusRequest:
    """Ask a node for its own state; `instances`: those back ends to report (empty: all it owns)."""

    instances: tuple[InstanceId, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeStatusReply:
    """One node's state. `complete`: the store version that it has in force at least."""

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
    """Ask a node to stop as planned: it hands over what it owns and cuts nothing."""

    operator: str


@dataclass(frozen=True, slots=True)
class DrainNodeReply:
    """The node begins its planned stop."""

    node: NodeId
