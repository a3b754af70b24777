"""Messages between the holder of an instance's ownership lock and the node that wants it."""

from dataclasses import dataclass

from bramblebeam.core.identity import InstanceId, NodeId


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Ask the holder to hand the instance over. `epoch` is the holder's ownership epoch."""

    instance: InstanceId
    epoch: int
    requester: NodeId


@dataclass(frozen=True, slots=True)
class ReleaseReply:
    """The holder's answer.

    `granted`: the lock is free, and the holder opens no connection any more. `retained` are the
    back end's ids of connections that still serve transactions and statements of the holder; they
    count against the slots, and the new owner leaves them alone for `grace_ms`.
    """

    instance: InstanceId
    granted: bool
    retained: tuple[int, ...] = ()
    grace_ms: int = 0
