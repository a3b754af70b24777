"""One node's claim to own one instance: a pure state machine (see `core/machine.py`).

The back end arbitrates. The owner holds a named lock on its control connection to the back end,
and that connection's id is the ownership epoch. The owner's regular status queries on it renew its
lease: if the connection has been idle for the length of the lease, another node may evict the owner
by having the back end end the connection. Before a new owner opens slots, it has the back end end
every slot connection of older epochs, except those that the previous owner retained in a planned
handover.

At most one operation is in flight at a time, and each operation is answered once.
"""

from enum import Enum

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.ownership.events import (
    AnswerRelease,
    CloseControl,
    CloseSlots,
    ControlLost,
    ControlOpened,
    CutSlots,
    Evict,
    Evicted,
    LockHeld,
    LockReleased,
    LockTaken,
    OpenControl,
    OpenSlots,
    ReleaseAnswered,
    ReleaseLock,
    ReleaseRequested,
    ReleaseUnanswered,
    RequestRelease,
    SlotsClosed,
    Stopping,
    Sweep,
    Swept,
    TryLock,
    WantedChanged,
)
from bramblebeam.core.ownership.rendezvous import instance_key, ranked_owners

LEASE_SECONDS = 2.0
"""A holder whose control connection has been idle for this long may be evicted."""
UNRESPONSIVE_HOLDER_SECONDS = 10.0
"""After this time a live holder of higher rank that does not answer its peer is evicted."""
INITIAL_RETRY_SECONDS = 0.1
"""Delay before the next attempt at the lock or the control connection."""
MAX_RETRY_SECONDS = 1.0
HANDOVER_GRACE_SECONDS = 30.0
"""How long connections retained at a release are kept if this node takes the lock again."""


class ClaimState(Enum):
    """The state of the claim: the operation or event that it waits for."""

    IDLE = "idle"
    OPENING = "opening"
    TAKING = "taking"
    ASKING = "asking"
    EVICTING = "evicting"
    SWEEPING = "sweeping"
    OWNING = "owning"
    CLOSING = "closing"
    RELEASING = "releasing"
    RETRYING = "retrying"


class ClaimMachine:
    """Acquires, holds and hands over the ownership of one instance."""

    def __init__(self, node: NodeId, instance: InstanceId) -> None:
        self.node = node
        self.instance = instance
        self.state = ClaimState.IDLE
        self.wanted = False
        self.stopping = False
        self.epoch = 0
        self.control_failed = False
        """Whether the last control connection failed or could not be opened."""
        self._holder: LockHeld | None = None
        self._unanswered_since: float | None = None
        self._retained: tuple[int, ...] = ()
        self._retained_until = 0.0
        self._retry_at: float | None = None
        self._retry_delay = INITIAL_RETRY_SECONDS
        self._has_control = False
        self._control_lost_while_closing = False

    @property
    def owning(self) -> bool:
        """Whether this node owns the instance and may use its slots."""
        return self.state is ClaimState.OWNING

    def next_wakeup(self) -> float | None:
        """Return when the next attempt is due (seconds), or None."""
        return self._retry_at if self.state is ClaimState.RETRYING else None

    def handle(self, event: object, now: float) -> list[object]:  # noqa: PLR0911, PLR0912
        """Handle one event at `now` (seconds); return the effects to carry out, in order."""
        match event:
            case WantedChanged():
                return self._set_wanted(event.wanted, now)
            case Stopping():
                self.stopping = True
                return self._set_wanted(False, now)
            case ReleaseRequested():
                return self._handle_release_requested(event)
            case ControlOpened():
                self._has_control = True
                self.control_failed = False
                self.epoch = event.connection_id
                return self._continue_to_lock(ClaimState.OPENING)
            case ControlLost():
                return self._handle_control_lost(now)
            case LockTaken():
                self.state = ClaimState.SWEEPING
                return [Sweep(self._connections_to_keep(now))]
            case LockHeld():
                return self._handle_lock_held(event, now)
            case ReleaseAnswered():
                return self._handle_release_answered(event, now)
            case ReleaseUnanswered():
                return self._handle_release_unanswered(now)
            case Evicted():
                return self._continue_to_lock(ClaimState.EVICTING)
            case Swept():
                return self._handle_swept(event)
            case SlotsClosed():
                return self._handle_slots_closed(event, now)
            case LockReleased():
                return self._handle_lock_released(now)
            case _:
                return self._handle_wakeup(now)

    def _set_wanted(self, wanted: bool, now: float) -> list[object]:
        self.wanted = wanted and not self.stopping
        if not self.wanted and self.state is ClaimState.RETRYING:
            return self._abandon()
        if self.wanted and self.state is ClaimState.IDLE:
            self._retry_delay = INITIAL_RETRY_SECONDS
            return self._start()
        return []

    def _start(self) -> list[object]:
        if self._has_control:
            self.state = ClaimState.TAKING
            return [TryLock()]
        self.state = ClaimState.OPENING
        return [OpenControl()]

    def _continue_to_lock(self, expected: ClaimState) -> list[object]:
        """Try the lock after the operation of the state `expected` has succeeded."""
        if self.state is not expected:
            return []
        if not self.wanted:
            return self._abandon()
        self.state = ClaimState.TAKING
        return [TryLock()]

    def _abandon(self) -> list[object]:
        self.state = ClaimState.IDLE
        self._retry_at = None
        self._unanswered_since = None
        if not self._has_control:
            return []
        self._has_control = False
        return [CloseControl()]

    def _retry_later(self, now: float) -> list[object]:
        if not self.wanted:
            return self._abandon()
        self.state = ClaimState.RETRYING
        self._retry_at = now + self._retry_delay
        return []

    def _handle_wakeup(self, now: float) -> list[object]:
        if self.state is not ClaimState.RETRYING or self._retry_at is None:
            return []
        if now < self._retry_at:
            return []
        return self._start()

    def _handle_control_lost(self, now: float) -> list[object]:
        self._has_control = False
        self.control_failed = True
        if self.state is ClaimState.CLOSING:
            self._control_lost_while_closing = True
            return [CutSlots()]
        if self.state is ClaimState.RELEASING:
            return []
        cut: list[object] = [CutSlots()] if self.state is ClaimState.OWNING else []
        self._retry_delay = min(MAX_RETRY_SECONDS, self._retry_delay * 2)
        return cut + self._retry_later(now)

    def _handle_lock_held(self, held: LockHeld, now: float) -> list[object]:
        if not self.wanted:
            return self._abandon()
        self._holder = held
        if held.node == self.node or held.idle_seconds >= LEASE_SECONDS:
            return self._evict(held)
        if not held.node:
            return self._retry_later(now)
        self.state = ClaimState.ASKING
        return [RequestRelease(held.node, held.connection_id)]

    def _evict(self, held: LockHeld) -> list[object]:
        self.state = ClaimState.EVICTING
        return [Evict(held.connection_id)]

    def _handle_release_answered(self, reply: ReleaseAnswered, now: float) -> list[object]:
        self._unanswered_since = None
        if not reply.granted:
            return self._retry_later(now)
        self._retained = reply.retained
        self._retained_until = now + reply.grace
        return self._continue_to_lock(ClaimState.ASKING)

    def _handle_release_unanswered(self, now: float) -> list[object]:
        held = self._holder
        if held is None or not self.wanted:
            return self._abandon()
        if self._unanswered_since is None:
            self._unanswered_since = now
        if self._outranks(held.node) or now - self._unanswered_since >= UNRESPONSIVE_HOLDER_SECONDS:
            self._unanswered_since = None
            return self._evict(held)
        return self._retry_later(now)

    def _outranks(self, other: NodeId) -> bool:
        return ranked_owners(instance_key(self.instance), (self.node, other))[0] == self.node

    def _connections_to_keep(self, now: float) -> tuple[int, ...]:
        return self._retained if now < self._retained_until else ()

    def _handle_swept(self, swept: Swept) -> list[object]:
        self.state = ClaimState.OWNING
        self._retry_delay = INITIAL_RETRY_SECONDS
        self._unanswered_since = None
        return [OpenSlots(self.epoch, swept.retained, self._retained_until)]

    def _handle_release_requested(self, request: ReleaseRequested) -> list[object]:
        if self.state in (ClaimState.CLOSING, ClaimState.RELEASING):
            return []
        if self.state is not ClaimState.OWNING:
            return [AnswerRelease(granted=False)]
        if self.wanted and not self._yields_to(request):
            return [AnswerRelease(granted=False)]
        self.state = ClaimState.CLOSING
        return [CloseSlots()]

    def _yields_to(self, request: ReleaseRequested) -> bool:
        return request.epoch == self.epoch and not self._outranks(request.requester)

    def _handle_slots_closed(self, closed: SlotsClosed, now: float) -> list[object]:
        self._retained = closed.retained
        self._retained_until = now + HANDOVER_GRACE_SECONDS
        self.state = ClaimState.RELEASING
        return [ReleaseLock()]

    def _handle_lock_released(self, now: float) -> list[object]:
        self._has_control = False
        granted = not self._control_lost_while_closing
        reply = AnswerRelease(granted, self._retained)
        self._control_lost_while_closing = False
        self._retry_delay = MAX_RETRY_SECONDS
        return [reply, *self._retry_later(now)]
