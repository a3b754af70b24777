"""Interfaces and types shared by the parts of overload control."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Estimate(NamedTuple):
    """Expected time of a kind of statement at a database: mean and spread (seconds)."""

    mean: float
    spread: float


class SlotLimit(Protocol):
    """Limits how many statements this node has in flight at one database."""

    def allowed(self, now: float) -> int:
        """Return how many may be in flight, at least one (`now`: monotonic clock, seconds)."""

    def answered(self, seconds: float, in_flight: int, now: float) -> None:
        """Update the limit from a statement's answer time and the number in flight with it."""

    def refused(self, now: float) -> None:
        """Update the limit after the database refused a statement for lack of capacity."""


class Refused(NamedTuple):
    """A statement that can't begin in time.

    `room_in`: expected time until there is capacity for it (seconds).
    """

    room_in: float
