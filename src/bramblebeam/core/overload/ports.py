"""The interfaces between the decisions under load."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from bramblebeam.core.overload.load import DatabaseLoad
from bramblebeam.core.overload.work import Work, WorkKind


class Estimate(NamedTuple):
    """How long a kind of statement takes at a database: the mean and its spread (seconds)."""

    mean: float
    spread: float


class ServiceTimes(Protocol):
    """Learns how long statements take at one database."""

    def note(self, kind: WorkKind, seconds: float) -> None:
        """Take the time of a statement that was served (seconds)."""

    def expect(self, kind: WorkKind) -> Estimate:
        """Return what is to be expected of the next one; an assumption where none was seen."""


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


class StatementScheduler(Protocol):
    """Decides which statements begin at one database, and when. Numbers are the user's tickets."""

    def offer(self, number: int, work: Work, now: float) -> Refused | None:
        """Let a statement wait, or refuse it at once."""

    def next(self, now: float) -> int | None:
        """Return the statement that begins now, or None: nobody waits, or there is no room."""

    def expired(self, now: float) -> list[tuple[int, Refused]]:
        """Return and forget those that can't begin in time any more."""

    def withdraw(self, number: int) -> None:
        """Forget one that waits, as its caller has left or given up."""

    def finished(self, number: int, seconds: float | None, now: float) -> None:
        """One that began has ended; `seconds` at the database, None: it was not served."""

    def load(self, now: float) -> DatabaseLoad:
        """Return what others are told of the database."""
