"""Names and addresses that every package shares."""

from typing import NamedTuple, NewType

NodeId = NewType("NodeId", str)
"""Name of one bramblebeam node, unique in the system, stable over restarts."""

InstanceId = NewType("InstanceId", str)
"""One back-end database server, unique in the system.

Where servers tell when they started, a server that starts again under its name is another instance:
it holds and knows nothing of before. Its name and its start are one value, so that nothing which is
kept by instance can outlive it. See `instance_id`.
"""

ServerName = NewType("ServerName", str)
"""Name of a back-end database server, as it is addressed. It may start again under it."""

GroupId = NewType("GroupId", str)
"""Name of one database group (a primary and its replicas)."""

ZoneId = NewType("ZoneId", str)
"""Name of one zone. Zones fail as a whole; links between zones can be cut."""

ServiceId = NewType("ServiceId", str)
"""Name of one calling service, the unit that slots and limits are given to."""


UNKNOWN_INCARNATION = 0
"""The start of a server that does not tell it."""
_BEFORE_START = " "
"""Parts a server's name from its start: names travel in lines of words and hold no blank."""


def instance_id(name: str, born: int = UNKNOWN_INCARNATION) -> InstanceId:
    """Return the instance of a server that started at `born` (milliseconds of the epoch)."""
    return InstanceId(name if born == UNKNOWN_INCARNATION else f"{name}{_BEFORE_START}{born}")


def server_name(instance: InstanceId) -> ServerName:
    """Return the name by which an instance is addressed."""
    return ServerName(instance.partition(_BEFORE_START)[0])


def incarnation_of(instance: InstanceId) -> int:
    """Return when an instance started (milliseconds of the epoch), or NOT_TOLD."""
    born = instance.partition(_BEFORE_START)[2]
    return int(born) if born else UNKNOWN_INCARNATION


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
