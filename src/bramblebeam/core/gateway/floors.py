"""Floors of reads: the log position from which on a database's state is recent enough.

Two things are observed: proofs of leadership, which cover every commit acknowledged before the
proof was asked for, and a session's own acknowledged commits. Of two observations the later one
rules. It covers the earlier one, or shows that a change of primary rolled the earlier one back:
a position of an older term may name commits that exist no more, and no log will ever reach it.
Times are seconds of the steady clock.
"""

from typing import NamedTuple

from bramblebeam.core.identity import ZERO_POSITION, Position


class Watermark(NamedTuple):
    """The position of a proven leader. It covers what was acknowledged before `asked_at`."""

    position: Position = ZERO_POSITION
    asked_at: float = float("-inf")


class OwnCommit(NamedTuple):
    """A session's last acknowledged commit. `answered_at`: when its answer came."""

    position: Position = ZERO_POSITION
    answered_at: float = float("-inf")


NO_COMMIT = OwnCommit()


def age_ms(since: float, now: float) -> int | None:
    """Return the milliseconds since a moment, None where it never came."""
    return None if since == float("-inf") else round((now - since) * 1000)


def read_floor(
    watermark: Watermark, own: OwnCommit, staleness: float, now: float
) -> Position | None:
    """Return the floor of a read that is sent now, or None where the watermark is too old.

    `staleness`: seconds that a commit acknowledged elsewhere may be missing for.
    """
    if now - watermark.asked_at > staleness:
        return None
    if own.answered_at > watermark.asked_at:
        return max(own.position, watermark.position)
    return watermark.position
