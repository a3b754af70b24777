"""Remembers when databases were seen to have ended, and what the others must have received since.

That a database has ended shows only that it receives nothing any more. What it had received comes
back with it or its successor, so its log is needed until another one reaches what the leader had
after that end. Times are seconds of the monotonic clock.
"""

from collections.abc import Collection

from bramblebeam.core.gateway.floors import Watermark
from bramblebeam.core.identity import InstanceId, Position


class MemberEnds:
    """The ends of one group's databases, as seen by this node."""

    def __init__(self) -> None:
        self._ended_at: dict[InstanceId, float] = {}

    def record_ended(self, instance: InstanceId, now: float) -> None:
        """Record that a database has ended; the first such observation counts."""
        self._ended_at.setdefault(instance, now)

    def record_running(self, instance: InstanceId) -> None:
        """Record that a database runs, so that an earlier end counts for nothing."""
        self._ended_at.pop(instance, None)

    def keep_only(self, instances: Collection[InstanceId]) -> None:
        """Forget databases that are neither registered nor awaited."""
        for instance in self._ended_at.keys() - set(instances):
            del self._ended_at[instance]

    def ended_at(self, instance: InstanceId) -> float | None:
        """Return when a database was first seen to have ended; None if it may run."""
        return self._ended_at.get(instance)

    def is_covered(self, instance: InstanceId, received: Position, mark: Watermark) -> bool:
        """Whether a log that ends at `received` has all that an ended database acknowledged.

        `mark`: the newest proven end of the leader's log.
        """
        ended_at = self._ended_at.get(instance)
        return ended_at is not None and mark.queried_at > ended_at and received >= mark.position
