"""Floors of reads: the log position from which on a database's state is recent enough.

A read's floor is the later of two positions: that of a proven leader, which covers every commit
acknowledged before the proof was asked for, and that of what the session itself committed or read.
Their order is that of the log, which tells it for sure. Clock readings do not: those of one node
may tie, and ages told between nodes are rounded.

A session's position counts less only where a change of primary rolled it back: no log will ever
reach it then. Times are seconds of the steady clock.
"""

from collections import deque
from typing import NamedTuple

from bramblebeam.core.identity import ZERO_POSITION, Position

PREFERRED_AGE = 0.5
"""The part of a read's bound that its watermark may use up; the rest is for the read itself."""
MAXIMUM_KEPT = 64
KEPT_SPACING = 0.03
"""Watermarks that follow each other within so long are kept as one (seconds)."""


class Watermark(NamedTuple):
    """The position of a proven leader. It covers what was acknowledged before `asked_at`.

    `term`: the newest that the leader is known to lead. That of `position` is older as long as it
    has committed nothing in its own term.
    """

    position: Position = ZERO_POSITION
    queried_at: float = float("-inf")
    term: int = 0


def age_ms(since: float, now: float) -> int | None:
    """Return the milliseconds since a moment, None where it never came."""
    return None if since == float("-inf") else round((now - since) * 1000)


class Watermarks:
    """The watermarks taken lately of one leader, from which the floor of each read is chosen.

    A read gets the oldest watermark that its bound allows: the older it is, the more replicas
    have reached it. `newest`: the last one taken, of whichever leader.
    """

    def __init__(self) -> None:
        self.newest = Watermark()
        self._kept: deque[Watermark] = deque(maxlen=MAXIMUM_KEPT)

    def add(self, mark: Watermark) -> None:
        """Take a watermark that is newer than those before."""
        last = self._kept[-1].queried_at if self._kept else float("-inf")
        if mark.queried_at - last >= KEPT_SPACING:
            self._kept.append(mark)
        self.newest = mark

    def forget_former(self) -> None:
        """Forget the watermarks of a former leader; its positions may have been rolled back."""
        self._kept.clear()

    def floor(self, own: Position, staleness: float, now: float) -> Position | None:
        """Return the floor of a read that is sent now, or None where no watermark is young enough.

        `own`: the latest position that the session observed. `staleness`: seconds that a commit
        acknowledged elsewhere may be missing for.
        """
        oldest_allowed = now - staleness
        if self.newest.queried_at < oldest_allowed:
            return None
        preferred = max(oldest_allowed, now - staleness * PREFERRED_AGE)
        allowed = (mark for mark in self._kept if mark.queried_at >= preferred)
        mark = next(allowed, self.newest)
        return max(self._existing(own), mark.position)

    def _existing(self, own: Position) -> Position:
        """Return the position that a session observed, or none where it may have been rolled back.

        A leader's log gets entries of its own term only: what is left of older ones it holds from
        its start on, so that each watermark of it covers that. Nothing of its own term is rolled
        back, and a proof with a smaller position is just an earlier one.
        """
        return own if own.term >= self.newest.term else ZERO_POSITION
