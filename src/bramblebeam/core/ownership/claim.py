"""One node's claim to own one instance: a pure machine (see `core/machine.py`).

The back end arbitrates. The owner holds a named lock there on its control connection, and that
connection's id is the ownership epoch. The holder's regular status queries on that connection are
its lease: a holder that the back end has not heard from for a lease may be evicted, which the back
end does by ending the connection. Before it opens slots, a new owner has the back end end every
slot connection of older epochs, except those that a holder retained in a planned handover.

The machine has at most one operation under way at a time, and each operation has one answer.
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
"""A holder that the back end has not heard from for so long may be evicted (seconds)."""
UNANSWERED_LEASE = 10.0
"""A live holder of higher rank that answers no peer is evicted after so long (seconds)."""
RETRY = 0.1
"""Wait before another try for the lock or the control connection (seconds)."""
LONGEST_RETRY = 1.0
HANDOVER_GRACE = 30.0
"""How long retained connections may outlive a release to nobody in particular (seconds)."""


class ClaimState(Enum):
    """What the claim waits for."""

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
    """Takes, holds and hands over one instance."""

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
        self._retry = RETRY
        self._has_control = False
        self._control_lost_while_closing = False

    @property
    def owning(self) -> bool:
        """Whether slots may be used."""
        return self.state is ClaimState.OWNING

    def next_wakeup(self) -> float | None:
        """Return when to try again (seconds), or None."""
        return self._retry_at if self.state is ClaimState.RETRYING else None

    def handle(self, event: object, now: float) -> list[object]:  # noqa: PLR0911, PLR0912
        """Take one event at `now` (seconds); return the operations to carry out, in order."""
        match event:
            case WantedChanged():
                return self._wanted_changed(event.wanted, now)
            case Stopping():
                self.stopping = True
                return self._wanted_changed(False, now)
            case ReleaseRequested():
                return self._release_asked(event)
            case ControlOpened():
                self._has_control = True
                self.control_failed = False
                self.epoch = event.connection_id
                return self._advance(ClaimState.OPENING)
            case ControlLost():
                return self._control_lost(now)
            case LockTaken():
                self.state = ClaimState.SWEEPING
                return [Sweep(self._kept(now))]
            case LockHeld():
                return self._lock_held(event, now)
            case ReleaseAnswered():
                return self._release_answered(event, now)
            case ReleaseUnanswered():
                return self._release_unanswered(now)
            case Evicted():
                return self._advance(ClaimState.EVICTING)
            case Swept():
                return self._swept(event)
            case SlotsClosed():
                return self._slots_closed(event, now)
            case LockReleased():
                return self._lock_released(now)
            case _:
                return self._retry_now(now)

    def _wanted_changed(self, wanted: bool, now: float) -> list[object]:
        self.wanted = wanted and not self.stopping
        if not self.wanted and self.state is ClaimState.RETRYING:
            return self._give_up()
        if self.wanted and self.state is ClaimState.IDLE:
            self._retry = RETRY
            return self._start()
        return []

    def _start(self) -> list[object]:
        if self._has_control:
            self.state = ClaimState.TAKING
            return [TryLock()]
        self.state = ClaimState.OPENING
        return [OpenControl()]

    def _advance(self, expected: ClaimState) -> list[object]:
        """Go on to the lock once the operation of state `expected` has succeeded."""
        if self.state is not expected:
            return []
        if not self.wanted:
            return self._give_up()
        self.state = ClaimState.TAKING
        return [TryLock()]

    def _give_up(self) -> list[object]:
        self.state = ClaimState.IDLE
        self._retry_at = None
        self._unanswered_since = None
        if not self._has_control:
            return []
        self._has_control = False
        return [CloseControl()]

    def _retry_later(self, now: float) -> list[object]:
        if not self.wanted:
            return self._give_up()
        self.state = ClaimState.RETRYING
        self._retry_at = now + self._retry
        return []

    def _retry_now(self, now: float) -> list[object]:
        if self.state is not ClaimState.RETRYING or self._retry_at is None:
            return []
        if now < self._retry_at:
            return []
        return self._start()

    def _control_lost(self, now: float) -> list[object]:
        self._has_control = False
        self.control_failed = True
        if self.state is ClaimState.CLOSING:
            self._control_lost_while_closing = True
            return [CutSlots()]
        if self.state is ClaimState.RELEASING:
            return []
        cut: list[object] = [CutSlots()] if self.state is ClaimState.OWNING else []
        self._retry = min(LONGEST_RETRY, self._retry * 2)
        return cut + self._retry_later(now)

    def _lock_held(self, held: LockHeld, now: float) -> list[object]:
        if not self.wanted:
            return self._give_up()
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

    def _release_answered(self, answer: ReleaseAnswered, now: float) -> list[object]:
        self._unanswered_since = None
        if not answer.granted:
            return self._retry_later(now)
        self._retained = answer.retained
        self._retained_until = now + answer.grace
        return self._advance(ClaimState.ASKING)

    def _release_unanswered(self, now: float) -> list[object]:
        held = self._holder
        if held is None or not self.wanted:
            return self._give_up()
        if self._unanswered_since is None:
            self._unanswered_since = now
        if self._outranks(held.node) or now - self._unanswered_since >= UNANSWERED_LEASE:
            self._unanswered_since = None
            return self._evict(held)
        return self._retry_later(now)

    def _outranks(self, other: NodeId) -> bool:
        return ranked_owners(instance_key(self.instance), (self.node, other))[0] == self.node

    def _kept(self, now: float) -> tuple[int, ...]:
        return self._retained if now < self._retained_until else ()

    def _swept(self, swept: Swept) -> list[object]:
        self.state = ClaimState.OWNING
        self._retry = RETRY
        self._unanswered_since = None
        return [OpenSlots(self.epoch, swept.retained, self._retained_until)]

    def _release_asked(self, asked: ReleaseRequested) -> list[object]:
        if self.state in (ClaimState.CLOSING, ClaimState.RELEASING):
            return []
        if self.state is not ClaimState.OWNING:
            return [AnswerRelease(granted=False)]
        if self.wanted and not self._yields_to(asked):
            return [AnswerRelease(granted=False)]
        self.state = ClaimState.CLOSING
        return [CloseSlots()]

    def _yields_to(self, asked: ReleaseRequested) -> bool:
        return asked.epoch == self.epoch and not self._outranks(asked.requester)

    def _slots_closed(self, closed: SlotsClosed, now: float) -> list[object]:
        self._retained = closed.retained
        self._retained_until = now + HANDOVER_GRACE
        self.state = ClaimState.RELEASING
        return [ReleaseLock()]

    def _lock_released(self, now: float) -> list[object]:
        self._has_control = False
        granted = not self._control_lost_while_closing
        answer = AnswerRelease(granted, self._retained)
        self._control_lost_while_closing = False
        self._retry = LONGEST_RETRY
        return [answer, *self._retry_later(now)]
