"""Scenarios: a topology, a load and faults, read from TOML and validated.

The same scenario runs on real processes and in the simulator. Latencies are one-way, in
milliseconds; fault times are in seconds from the start of the load.
"""

import tomllib
from collections.abc import Iterable
from itertools import chain
from pathlib import Path
from typing import Literal, Self, get_args

from pydantic import BaseModel, ConfigDict, Field, model_validator

SCENARIO_DIRECTORY = Path(__file__).parent / "scenarios"

FaultKind = Literal[
    "primary_kill",
    "primary_cut",
    "primary_pause",
    "replica_kill",
    "replica_lag",
    "instance_leaving",
    "node_kill",
    "node_pause",
    "node_stop",
    "zone_cut",
    "one_way_cut",
    "message_loss",
    "store_down",
    "store_slow",
    "store_answers_lost",
    "store_stale_list",
    "operator_race",
    "burst",
]

FAULT_KINDS: tuple[FaultKind, ...] = get_args(FaultKind)

_GROUP_FAULTS = {"primary_kill", "primary_cut", "primary_pause"}
_INSTANCE_FAULTS = {"replica_kill", "replica_lag", "instance_leaving"}
_NODE_FAULTS = {"node_kill", "node_pause", "node_stop"}
_ZONE_FAULTS = {"zone_cut", "one_way_cut"}


class ScenarioError(Exception):
    """A scenario file is missing or invalid; the text names the file, the key and the problem."""


class _Table(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class Latency(_Table):
    """One-way latencies by distance, and the time to connect (milliseconds)."""

    local_ms: float = Field(default=0.1, ge=0)
    zone_ms: float = Field(default=1.0, ge=0)
    region_ms: float = Field(default=10.0, ge=0)
    client_ms: float = Field(default=3.0, ge=0)
    connect_ms: float = Field(default=10.0, ge=0)


class Region(_Table):
    """A region and its zones."""

    name: str
    zones: tuple[str, ...] = Field(min_length=1)


class Member(_Table):
    """A database server and its zone."""

    instance: str
    zone: str


class Group(_Table):
    """A database group. Its first member is the initial primary."""

    name: str
    members: tuple[Member, ...] = Field(min_length=1)


class Topology(_Table):
    """Placement of nodes and groups. `nodes_of_zone` overrides `nodes_per_zone` by zone."""

    latency: Latency = Latency()
    regions: tuple[Region, ...] = Field(min_length=1)
    nodes_per_zone: int = Field(default=1, ge=1)
    nodes_of_zone: dict[str, int] = Field(default_factory=dict)
    groups: tuple[Group, ...] = Field(min_length=1)

    @property
    def zones(self) -> tuple[str, ...]:
        """Return the names of all zones."""
        return tuple(chain.from_iterable(region.zones for region in self.regions))

    @property
    def nodes(self) -> dict[str, str]:
        """Return the zone of each node by node name."""
        return {
            f"{zone}-{index}": zone
            for zone in self.zones
            for index in range(1, self.nodes_of_zone.get(zone, self.nodes_per_zone) + 1)
        }

    @property
    def instances(self) -> dict[str, str]:
        """Return the zone of each database server by instance name."""
        return {member.instance: member.zone for group in self.groups for member in group.members}

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return next(region.name for region in self.regions if zone in region.zones)


class Service(_Table):
    """A calling service, the group it uses, and its limits."""

    name: str
    group: str
    slots: int = Field(default=5, ge=1)
    burst: int = Field(default=0, ge=0)
    connections: int = Field(default=40, ge=1)
    staleness_ms: int = Field(default=5_000, ge=0)


class Load(_Table):
    """The load that callers generate.

    `statements_per_second` is the total. `read_share` is a share of all statements,
    `transaction_share` of the write work and `request_id_share` of the single writes.
    `roaming` is the probability that a session moves to another node before a statement.
    """

    duration_seconds: float = Field(default=30.0, gt=0)
    statements_per_second: float = Field(default=200.0, gt=0)
    read_share: float = Field(default=0.8, ge=0, le=1)
    transaction_share: float = Field(default=0.1, ge=0, le=1)
    request_id_share: float = Field(default=0.2, ge=0, le=1)
    roaming: float = Field(default=0.05, ge=0, le=1)
    keys: int = Field(default=50, ge=1)
    edits_per_second: float = Field(default=0.2, ge=0)
    services: tuple[Service, ...] = Field(min_length=1)


class Fault(_Table):
    """A scheduled fault. `at` is its start time and `duration` its length.

    `target`: a group for `primary_*`, an instance for `replica_*` and `instance_leaving`, a node
    for `node_*`, a zone for `zone_cut` and `one_way_cut`, the service of a limit row for
    `operator_race`; otherwise empty. `value`: milliseconds for `replica_lag` and `store_slow`, a
    share for `message_loss`, a load factor for `burst`.
    """

    at: float = Field(ge=0)
    kind: FaultKind
    target: str = ""
    duration: float = Field(default=5.0, ge=0)
    value: float = Field(default=0.0, ge=0)


class Scenario(_Table):
    """A scenario; the targets of its faults and the groups of its services must exist."""

    name: str
    topology: Topology
    load: Load
    faults: tuple[Fault, ...] = ()

    @model_validator(mode="after")
    def _names_exist(self) -> Self:
        groups = {group.name for group in self.topology.groups}
        for instance, zone in self.topology.instances.items():
            _require_known(zone, self.topology.zones, f"zone of {instance}")
        for service in self.load.services:
            _require_known(service.group, groups, f"group of service {service.name}")
        for fault in self.faults:
            known = self._targets(fault.kind)
            if known is not None:
                _require_known(fault.target, known, f"target of {fault.kind}")
        return self

    def _targets(self, kind: FaultKind) -> tuple[str, ...] | None:
        if kind in _GROUP_FAULTS:
            return tuple(group.name for group in self.topology.groups)
        if kind in _INSTANCE_FAULTS:
            return tuple(self.topology.instances)
        if kind in _NODE_FAULTS:
            return tuple(self.topology.nodes)
        if kind in _ZONE_FAULTS:
            return self.topology.zones
        return None

    def targets(self, kind: FaultKind) -> tuple[str, ...]:
        """Return the valid targets of a fault kind; one empty string if it has no target."""
        return self._targets(kind) or ("",)


def _require_known(name: str, known: Iterable[str], what: str) -> None:
    names = tuple(known)
    if name not in names:
        raise ValueError(f"{what}: {name!r} is not one of {', '.join(sorted(names))}")


def load_scenario(name: str | Path) -> Scenario:
    """Read a scenario by path, or by the name of a bundled one.

    Raises ScenarioError.
    """
    path = Path(name)
    if not path.exists():
        path = SCENARIO_DIRECTORY / f"{path.stem}.toml"
    try:
        return Scenario.model_validate(tomllib.loads(path.read_text()))
    except (OSError, ValueError) as error:
        raise ScenarioError(f"{path}: {error}") from error
