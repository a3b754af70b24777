"""Floors of reads: the log position from which on a database's state is recent enough.

Two things are observed: proofs of leadership, which cover every commit acknowledged before the
proof was asked for, and what a session itself committed or read. Of two observations the later one
rules. It covers the earlier one, or shows that a change of primary rolled the earlier one back:
a position of an older term may name commits that exist no more, and no log will ever reach it.
Times are seconds of the steady clock.
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
    """The position of a proven leader. It covers what was acknowledged before `asked_at`."""

    position: Position = ZERO_POSITION
    asked_at: float = float("-inf")


class Observation(NamedTuple):
    """The position of what a session last committed or read. `observed_at`: of the answer."""

    position: Position = ZERO_POSITION
    observed_at: float = float("-inf")


NOTHING_OBSERVED = Observation()


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

    def take(self, mark: Watermark) -> None:
        """Take a watermark that is newer than those before."""
        last = self._kept[-1].asked_at if self._kept else float("-inf")
        if mark.asked_at - last >= KEPT_SPACING:
            self._kept.append(mark)
        self.newest = mark

    def forget_former(self) -> None:
        """Forget the watermarks of a former leader; its positions may have been rolled back."""
        self._kept.clear()

    def floor(self, own: Observation, staleness: float, now: float) -> Position | None:
        """Return the floor of a read that is sent now, or None where no watermark is young enough.

        `staleness`: seconds that a commit acknowledged elsewhere may be missing for.
        """
        oldest_allowed = now - staleness
        if self.newest.asked_at < oldest_allowed:
            return None
        preferred = max(oldest_allowed, now - staleness * PREFERRED_AGE)
        allowed = (mark for mark in self._kept if mark.asked_at >= preferred)
        mark = next(allowed, self.newest)
        return max(self._existing(own), mark.position)

    def _existing(self, own: Observation) -> Position:
        """Return the position that a session observed, less what was rolled back since."""
        if own.observed_at > self.newest.asked_at:
            return own.position
        return min(own.position, self.newest.position)
