"""Events and effects of the claim machine. An epoch is a connection id of the back end."""

from typing import NamedTuple

from bramblebeam.core.identity import NodeId


class WantedChanged(NamedTuple):
    """The member table assigns the instance to this node, or no longer does."""

    wanted: bool


class Stopping(NamedTuple):
    """The node is shutting down: hand the instance to any requester and claim it no more."""


class ControlOpened(NamedTuple):
    """The control connection is open. Its id becomes the epoch if it takes the lock."""

    connection_id: int


class ControlLost(NamedTuple):
    """The control connection failed or could not be opened. A lock held on it is lost."""


class LockTaken(NamedTuple):
    """The control connection holds the ownership lock."""


class LockHeld(NamedTuple):
    """Another connection holds the lock.

    `node`: the node that opened it (empty: unknown). `idle_seconds`: time since the connection's
    last statement, as the back end reports it.
    """

    connection_id: int
    node: NodeId
    idle_seconds: float


class ReleaseAnswered(NamedTuple):
    """The holder's reply to a release request.

    `retained`: connections that stay in use, to be left alone for `grace` seconds.
    """

    granted: bool
    retained: tuple[int, ...] = ()
    grace: float = 0.0


class ReleaseUnanswered(NamedTuple):
    """The holder did not reply within the lease."""


class Evicted(NamedTuple):
    """The back end has ended the holder's control connection."""


class Swept(NamedTuple):
    """All slot connections of older epochs have ended at the back end, except `retained`."""

    retained: tuple[int, ...]


class ReleaseRequested(NamedTuple):
    """A peer requests the instance. `epoch`: the ownership epoch that it saw."""

    requester: NodeId
    epoch: int


class SlotsClosed(NamedTuple):
    """No slot connection is open or being opened, except `retained`, which are still in use."""

    retained: tuple[int, ...]


class LockReleased(NamedTuple):
    """The lock is released and the control connection is closed."""


class OpenControl(NamedTuple):
    """Effect: open the control connection; answered by ControlOpened or ControlLost."""


class CloseControl(NamedTuple):
    """Effect: close the control connection; not answered."""


class TryLock(NamedTuple):
    """Effect: try to take the lock; answered by LockTaken, LockHeld or ControlLost."""


class RequestRelease(NamedTuple):
    """Effect: ask the holder to hand over; answered by ReleaseAnswered or ReleaseUnanswered."""

    node: NodeId
    epoch: int


class Evict(NamedTuple):
    """Effect: end the holder's control connection; answered by Evicted or ControlLost."""

    connection_id: int


class Sweep(NamedTuple):
    """Effect: end every slot connection except `keep`; answered by Swept or ControlLost."""

    keep: tuple[int, ...]


class OpenSlots(NamedTuple):
    """Effect: this node owns the instance and may use its slots.

    Connections in `retained` belong to the previous owner and occupy slots until they end, or until
    `retained_until` (seconds).
    """

    epoch: int
    retained: tuple[int, ...]
    retained_until: float


class CloseSlots(NamedTuple):
    """Effect: start no new work and close idle connections; answered by SlotsClosed."""


class CutSlots(NamedTuple):
    """Effect: close all slot connections at once, as ownership is lost; not answered."""


class ReleaseLock(NamedTuple):
    """Effect: release the lock and close the control connection; answered by LockReleased."""


class AnswerRelease(NamedTuple):
    """Effect: reply to the peers that requested the instance."""

    granted: bool
    retained: tuple[int, ...] = ()
