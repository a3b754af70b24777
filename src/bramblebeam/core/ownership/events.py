"""Events and effects of the claim machine. Epochs are the back end's connection ids."""

from typing import NamedTuple

from bramblebeam.core.identity import NodeId


class WantedChanged(NamedTuple):
    """The member table now says that this node is (or is not) the instance's owner."""

    wanted: bool


class Stopping(NamedTuple):
    """The node stops as planned: hand the instance to whoever asks and claim it no more."""


class ControlOpened(NamedTuple):
    """The control connection stands. `connection_id` is the epoch if the lock is taken on it."""

    connection_id: int


class ControlLost(NamedTuple):
    """The control connection failed, or could not be opened. A lock held on it is lost."""


class LockTaken(NamedTuple):
    """The ownership lock is held by the control connection."""


class LockHeld(NamedTuple):
    """Another connection holds the lock.

    `node`: the node that opened it (empty: unknown). `idle_seconds`: time since the connection's
    last statement, as the back end reports it.
    """

    connection_id: int
    node: NodeId
    idle_seconds: float


class ReleaseAnswered(NamedTuple):
    """The holder's answer to a release request; `grace` in seconds."""

    granted: bool
    retained: tuple[int, ...] = ()
    grace: float = 0.0


class ReleaseUnanswered(NamedTuple):
    """The holder gave no answer within the lease."""


class Evicted(NamedTuple):
    """The back end has ended the holder's control connection."""


class Swept(NamedTuple):
    """No connection of an older epoch is left at the back end, except `retained` ones."""

    retained: tuple[int, ...]


class ReleaseRequested(NamedTuple):
    """A peer asks for the instance."""

    requester: NodeId
    epoch: int


class SlotsClosed(NamedTuple):
    """No slot connection is open or opening any more, except those still in use: `retained`."""

    retained: tuple[int, ...]


class LockReleased(NamedTuple):
    """The lock is free and the control connection is closed."""


class OpenControl(NamedTuple):
    """Open the control connection; answered by ControlOpened or ControlLost."""


class CloseControl(NamedTuple):
    """Close the control connection; no answer."""


class TryLock(NamedTuple):
    """Try to take the lock; answered by LockTaken, LockHeld or ControlLost."""


class RequestRelease(NamedTuple):
    """Ask the holder; answered by ReleaseAnswered or ReleaseUnanswered."""

    node: NodeId
    epoch: int


class Evict(NamedTuple):
    """Have the back end end the holder's control connection; Evicted or ControlLost."""

    connection_id: int


class Sweep(NamedTuple):
    """Have the back end end every slot connection but `keep`; Swept or ControlLost."""

    keep: tuple[int, ...]


class OpenSlots(NamedTuple):
    """This node is the owner: slots may be used, but for those that `retained` still take."""

    epoch: int
    retained: tuple[int, ...]
    retained_until: float


class CloseSlots(NamedTuple):
    """Start no work, close idle connections; answered by SlotsClosed."""


class CutSlots(NamedTuple):
    """Ownership is lost without a handover: close every slot connection at once; no answer."""


class ReleaseLock(NamedTuple):
    """Release the lock and close the control connection; answered by LockReleased."""


class AnswerRelease(NamedTuple):
    """Answer the peers that asked for the instance."""

    granted: bool
    retained: tuple[int, ...] = ()
