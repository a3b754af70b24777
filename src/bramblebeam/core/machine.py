"""The shape of every state machine in `core`.

A machine is driven by its asyncio service, by the simulator and by tests in the same way:
`handle(event, now)` returns effects, which the driver carries out in order; `next_wakeup()`
tells when the driver must call `handle(Wakeup(), now)`. Times are seconds of a monotonic clock.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from bramblebeam.core.identity import NodeId


@dataclass(frozen=True, slots=True)
class Wakeup:
    """The time named by `next_wakeup` has come (or passed)."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message came from a peer. Delivery may be late, repeated, crossed or never."""

    sender: NodeId
    message: Any


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer, without a promise that it arrives."""

    to: NodeId
    message: Any


class Machine(Protocol):
    """A pure state machine."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event at time `now` (seconds); return the effects to carry out, in order."""

    def next_wakeup(self) -> float | None:
        """Return when `Wakeup` is due (seconds, same clock as `now`), or None."""
