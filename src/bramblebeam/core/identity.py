"""Identifiers, addresses and log positions shared by all packages."""

from typing import NamedTuple, NewType

NodeId = NewType("NodeId", str)
"""Name of a bramblebeam node: unique in the deployment and stable across restarts."""

InstanceId = NewType("InstanceId", str)
"""One incarnation of a back-end database server, unique in the deployment.

Where servers report their start time, a restarted server is a different instance, because a restart
loses its state. The id combines name and start time, so that state keyed by instance never carries
over to a later incarnation. See `instance_id`.
"""

ServerName = NewType("ServerName", str)
"""Name by which a back-end database server is addressed; unchanged by restarts."""

GroupId = NewType("GroupId", str)
"""Name of a database group (a primary and its replicas)."""

ZoneId = NewType("ZoneId", str)
"""Name of a zone. A zone can fail as a whole, and the network between zones can partition."""

ServiceId = NewType("ServiceId", str)
"""Name of a calling service, the unit to which slots and limits are assigned."""


UNKNOWN_INCARNATION = 0
"""Incarnation of a server that does not report its start time."""
_INCARNATION_SEPARATOR = " "
"""Separates name and start time; names contain no blanks, which delimit the words of a line."""


def instance_id(name: str, started_at: int = UNKNOWN_INCARNATION) -> InstanceId:
    """Return the id of the incarnation that started at `started_at` (milliseconds since epoch)."""
    return InstanceId(
        name if started_at == UNKNOWN_INCARNATION else f"{name}{_INCARNATION_SEPARATOR}{started_at}"
    )


def server_name(instance: InstanceId) -> ServerName:
    """Return the name of the server that an instance is an incarnation of."""
    return ServerName(instance.partition(_INCARNATION_SEPARATOR)[0])


def incarnation_of(instance: InstanceId) -> int:
    """Return the start time (milliseconds since the epoch), or UNKNOWN_INCARNATION."""
    started_at = instance.partition(_INCARNATION_SEPARATOR)[2]
    return int(started_at) if started_at else UNKNOWN_INCARNATION


class Address(NamedTuple):
    """A TCP or UDP endpoint; `host` is an IP address."""

    host: str
    port: int


class Position(NamedTuple):
    """A position in a database group's log, ordered by term, then by offset.

    `offset` counts the log's entries from 1. ZERO_POSITION precedes every entry.
    """

    term: int
    offset: int

    def __str__(self) -> str:
        """Return the form used in logs: `term.offset`."""
        return f"{self.term}.{self.offset}"


ZERO_POSITION = Position(0, 0)


class InstanceSpec(NamedTuple):
    """A database server of a group, as configured."""

    instance: InstanceId
    group: GroupId
    zone: ZoneId
    address: Address


class NodeSpec(NamedTuple):
    """Identity, location and addresses of a bramblebeam node."""

    node: NodeId
    zone: ZoneId
    region: str
    peer_address: Address
    client_address: Address
    admin_address: Address
