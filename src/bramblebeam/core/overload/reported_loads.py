"""What a node keeps of the loads that others told it, and how much of it still counts.

An answer that was passed on brings the loads of the databases that its node looked at. Between two
of them a node reckons with what it has sent there itself. What was told grows old: a queue that was
long a second ago is probably gone, and one that was short may have formed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.load import DatabaseLoad

REPORT_HALF_LIFE = 0.4
"""A queue of a few dozen statements of 20 ms at six slots forms or drains in so long (seconds)."""
MAX_REPORT_HALF_LIVES = 4
"""After so many half-lives a sixteenth of what was told would count: nothing is known then."""
MAX_REPORTED_LOADS = 4096
"""Databases whose loads are kept: the members of more groups than one node has callers for."""


class ReportedLoad(NamedTuple):
    """A load that was told. `weight`: how much of it counts by its age, 1 (now) to 0.

    `sent`: statements that this node has sent there since and that were not answered yet.
    """

    load: DatabaseLoad
    weight: float
    sent: int


class LoadReport:
    """The latest that was told of one database, and what was sent there since.

    `at`: steady clock, seconds.
    """

    __slots__ = ("at", "load", "sent")

    def __init__(self, load: DatabaseLoad, at: float) -> None:
        self.load = load
        self.at = at
        self.sent = 0


class ReportedLoads:
    """The loads of databases that other nodes serve. Times: steady clock, seconds."""

    def __init__(self, half_life: float = REPORT_HALF_LIFE, most: int = MAX_REPORTED_LOADS) -> None:
        self._half_life = half_life
        self._most = most
        self._told: dict[InstanceId, LoadReport] = {}

    def __len__(self) -> int:
        return len(self._told)

    def update(self, loads: Iterable[DatabaseLoad], now: float) -> None:
        """Keep what was told; numbers that no load can have are left out."""
        for load in loads:
            if not _is_sound(load):
                continue
            self._told.pop(load.instance, None)
            self._told[load.instance] = LoadReport(load, now)
        while len(self._told) > self._most:
            self._told.pop(next(iter(self._told)))

    def record_sent(self, instance: InstanceId) -> LoadReport | None:
        """Note that this node has sent a statement to a database; return what counts it."""
        told = self._told.get(instance)
        if told is not None:
            told.sent += 1
        return told

    @staticmethod
    def record_done(counted: LoadReport | None) -> None:
        """Note that a statement has ended, where it still counts: nothing was told since."""
        if counted is not None:
            counted.sent -= 1

    def find(self, instance: InstanceId, now: float) -> ReportedLoad | None:
        """Return what counts of a database's load; None: nothing was told, or it is too old."""
        told = self._told.get(instance)
        if told is None:
            return None
        half_lives = max(0.0, now - told.at) / self._half_life
        if half_lives > MAX_REPORT_HALF_LIVES:
            del self._told[instance]
            return None
        return ReportedLoad(told.load, 0.5**half_lives, told.sent)

    def keep_only(self, known: Iterable[InstanceId]) -> None:
        """Forget databases that are gone."""
        for instance in self._told.keys() - set(known):
            del self._told[instance]


def _is_sound(load: DatabaseLoad) -> bool:
    """Whether the numbers of a load can be reckoned with: no NaN, nothing below zero."""
    is_timed = 0.0 <= load.wait < float("inf") and 0.0 < load.service < float("inf")
    return is_timed and 0.0 <= load.error_share <= 1.0
