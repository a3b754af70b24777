"""The interface of the state machines in `core`, and the events and effects they share.

The asyncio services, the simulator and the tests drive a machine in the same way:
`handle(event, now)` returns effects, which the driver carries out in order; `next_wakeup()`
returns when the driver must call `handle(Wakeup(), now)`. Times are seconds of a monotonic clock.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from bramblebeam.core.identity import NodeId


@dataclass(frozen=True, slots=True)
class Wakeup:
    """The time returned by `next_wakeup` was reached."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message from a peer. Messages may be delayed, duplicated, reordered or lost."""

    sender: NodeId
    message: Any


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; delivery is not guaranteed."""

    to: NodeId
    message: Any


class Machine(Protocol):
    """A state machine without I/O, clock or tasks."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Process an event at time `now` (seconds); return the effects to carry out, in order."""

    def next_wakeup(self) -> float | None:
        """Return when to deliver `Wakeup` (seconds, same clock as `now`), or None."""
