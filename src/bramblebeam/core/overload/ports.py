"""The interfaces between the decisions under load."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Estimate(NamedTuple):
    """How long a kind of statement takes at a database: the mean and its spread (seconds)."""

    mean: float
    spread: float


class SlotLimit(Protocol):
    """Bounds how many statements this node has under way at one database."""

    def allowed(self, now: float) -> int:
        """Return how many may be under way, at least one (`now`: steady clock, seconds)."""

    def answered(self, seconds: float, under_way: int, now: float) -> None:
        """Take the answer time of a statement, and how many were under way with it."""

    def refused(self, now: float) -> None:
        """The database had no room for a statement."""


class Refused(NamedTuple):
    """A statement that can't begin in time. `room_in`: when there will be room (seconds)."""

    room_in: float
