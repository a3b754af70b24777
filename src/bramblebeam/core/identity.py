"""Names and addresses that every package shares."""

from typing import NamedTuple, NewType

NodeId = NewType("NodeId", str)
"""Name of one bramblebeam node, unique in the system, stable over restarts."""

InstanceId = NewType("InstanceId", str)
"""Name of one back-end database server, unique in the system."""

GroupId = NewType("GroupId", str)
"""Name of one database group (a primary and its replicas)."""

ZoneId = NewType("ZoneId", str)
"""Name of one zone. Zones fail as a whole; links between zones can be cut."""

ServiceId = NewType("ServiceId", str)
"""Name of one calling service, the unit that slots and limits are given to."""


class Address(NamedTuple):
    """A TCP or UDP endpoint by IP number."""

    host: str
    port: int


class Position(NamedTuple):
    """A place in a database group's history; ordered by term, then by offset.

    `offset` counts the entries of the group's log from 1. The zero position is before any entry.
    """

    term: int
    offset: int

    def __str__(self) -> str:
        """Return the position as logs show it."""
        return f"{self.term}.{self.offset}"


ZERO_POSITION = Position(0, 0)


class InstanceSpec(NamedTuple):
    """One database server of a group, as listed in the settings."""

    instance: InstanceId
    group: GroupId
    zone: ZoneId
    address: Address


class NodeSpec(NamedTuple):
    """One bramblebeam node as its peers know it."""

    node: NodeId
    zone: ZoneId
    region: str
    peer_address: Address
    client_address: Address
    admin_address: Address
