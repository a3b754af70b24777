"""Messages between the holder of an instance's ownership lock and a node that should own it."""

from dataclasses import dataclass

from bramblebeam.core.identity import InstanceId, NodeId


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Request that the holder hand the instance over. `epoch`: the holder's ownership epoch."""

    instance: InstanceId
    epoch: int
    requester: NodeId


@dataclass(frozen=True, slots=True)
class ReleaseReply:
    """The holder's reply.

    `granted`: the lock is released, and the holder opens no more connections. `retained`: back-end
    ids of connections that still serve transactions and statements of the holder. They occupy
    slots, and the new owner does not end them for `grace_ms`.
    """

    instance: InstanceId
    granted: bool
    retained: tuple[int, ...] = ()
    grace_ms: int = 0
