"""Loads that other nodes report, weighted by their age.

A forwarded answer carries the loads of the databases that the answering node considered. Between
two reports a node adds what it has sent there itself. Reports lose weight with age: a queue that
was long a second ago is probably gone, and one that was short may have grown.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.load import DatabaseLoad

REPORT_HALF_LIFE = 0.4
"""Half-life of a report's weight (seconds): in this time a queue of a few dozen statements of 20
ms forms or drains at six slots."""
MAX_REPORT_HALF_LIVES = 4
"""A report is discarded after this many half-lives, when its weight is a sixteenth."""
MAX_REPORTED_LOADS = 4096
"""Maximum number of databases tracked: the members of more groups than one node has callers for."""


class ReportedLoad(NamedTuple):
    """A reported load. `weight`: by its age, 1 (now) to 0.

    `sent`: statements that this node has sent there since the report and that have no answer yet.
    """

    load: DatabaseLoad
    weight: float
    sent: int


class LoadReport:
    """The latest report of one database, and the number of statements sent there since.

    `at`: when it was received (monotonic clock, seconds).
    """

    __slots__ = ("at", "load", "sent")

    def __init__(self, load: DatabaseLoad, at: float) -> None:
        self.load = load
        self.at = at
        self.sent = 0


class ReportedLoads:
    """Loads of databases that other nodes serve. Times: monotonic clock, seconds."""

    def __init__(
        self, half_life: float = REPORT_HALF_LIFE, max_loads: int = MAX_REPORTED_LOADS
    ) -> None:
        self._half_life = half_life
        self._max_loads = max_loads
        self._reports: dict[InstanceId, LoadReport] = {}

    def __len__(self) -> int:
        return len(self._reports)

    def update(self, loads: Iterable[DatabaseLoad], now: float) -> None:
        """Store reported loads; those with invalid values are ignored."""
        for load in loads:
            if not _is_valid(load):
                continue
            self._reports.pop(load.instance, None)
            self._reports[load.instance] = LoadReport(load, now)
        while len(self._reports) > self._max_loads:
            self._reports.pop(next(iter(self._reports)))

    def record_sent(self, instance: InstanceId) -> LoadReport | None:
        """Count a statement that this node sends to a database; return the report it counts for."""
        report = self._reports.get(instance)
        if report is not None:
            report.sent += 1
        return report

    @staticmethod
    def record_done(report: LoadReport | None) -> None:
        """Remove an ended statement from the count of the report it was sent under.

        The counts of later reports don't change.
        """
        if report is not None:
            report.sent -= 1

    def find(self, instance: InstanceId, now: float) -> ReportedLoad | None:
        """Return a database's weighted load, or None if it is unknown or too old."""
        report = self._reports.get(instance)
        if report is None:
            return None
        half_lives = max(0.0, now - report.at) / self._half_life
        if half_lives > MAX_REPORT_HALF_LIVES:
            del self._reports[instance]
            return None
        return ReportedLoad(report.load, 0.5**half_lives, report.sent)

    def keep_only(self, known: Iterable[InstanceId]) -> None:
        """Remove databases that are gone."""
        for instance in self._reports.keys() - set(known):
            del self._reports[instance]


def _is_valid(load: DatabaseLoad) -> bool:
    """Return whether the values of a load are valid: no NaN, infinity or negative values."""
    is_timed = 0.0 <= load.wait < float("inf") and 0.0 < load.service < float("inf")
    return is_timed and 0.0 <= load.error_share <= 1.0
