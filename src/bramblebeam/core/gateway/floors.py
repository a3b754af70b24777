"""Read floors: the minimum log position that a database must have reached to serve a read.

A read's floor is the later of two positions: that of a proven leader, which covers every commit
acknowledged before the proof was requested, and the latest that the session itself committed or
read. Positions are ordered by the log. Clock readings would not do: two readings of one node may be
equal, and ages that nodes report to each other are rounded.

A session's position is ignored only where a change of primary may have rolled it back, as no log
will ever reach it then. Times are seconds of the monotonic clock.
"""

from collections import deque
from typing import NamedTuple

from bramblebeam.core.identity import ZERO_POSITION, Position

PREFERRED_AGE_SHARE = 0.5
"""Share of a read's staleness bound that its watermark may use up; the read takes the rest."""
MAXIMUM_WATERMARKS = 64
WATERMARK_SPACING = 0.03
"""Minimum time between two retained watermarks (seconds)."""


class Watermark(NamedTuple):
    """The position of a proven leader. It covers all that was acknowledged before `queried_at`.

    `term`: the newest term that the leader is known to lead. `position` is of an older term until
    the leader has committed in its own.
    """

    position: Position = ZERO_POSITION
    queried_at: float = float("-inf")
    term: int = 0


def age_ms(since: float, now: float) -> int | None:
    """Return the milliseconds since a time; None if the time is -inf (never)."""
    return None if since == float("-inf") else round((now - since) * 1000)


class Watermarks:
    """Recent watermarks of one leader, from which the floor of each read is chosen.

    A read gets the oldest watermark that its bound allows: the older it is, the more replicas
    have reached it. `newest`: the last watermark added, of any leader.
    """

    def __init__(self) -> None:
        self.newest = Watermark()
        self._recent: deque[Watermark] = deque(maxlen=MAXIMUM_WATERMARKS)

    def add(self, mark: Watermark) -> None:
        """Add a watermark that is newer than all before it."""
        last = self._recent[-1].queried_at if self._recent else float("-inf")
        if mark.queried_at - last >= WATERMARK_SPACING:
            self._recent.append(mark)
        self.newest = mark

    def forget_former(self) -> None:
        """Drop the watermarks of a former leader; its positions may have been rolled back."""
        self._recent.clear()

    def floor(self, own: Position, staleness: float, now: float) -> Position | None:
        """Return the floor of a read that is sent now; None if every watermark is too old.

        `own`: the latest position that the session observed. `staleness`: for how long a commit
        acknowledged elsewhere may remain invisible (seconds).
        """
        oldest_allowed = now - staleness
        if self.newest.queried_at < oldest_allowed:
            return None
        preferred = max(oldest_allowed, now - staleness * PREFERRED_AGE_SHARE)
        allowed = (mark for mark in self._recent if mark.queried_at >= preferred)
        mark = next(allowed, self.newest)
        return max(self._surviving(own), mark.position)

    def _surviving(self, own: Position) -> Position:
        """Return a session's position, or the zero position if it may have been rolled back.

        A leader appends entries of its own term only. It has had whatever remains of older terms
        since it started to lead, so that each of its watermarks covers that. Nothing of its own
        term is rolled back: a proof with a smaller position is merely an earlier one.
        """
        return own if own.term >= self.newest.term else ZERO_POSITION
