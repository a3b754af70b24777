"""Detects that a leader has restarted without its log, by the positions it served from."""

from bramblebeam.core.identity import ZERO_POSITION, Position


class ServedPosition:
    """The latest position in one leader's replies, and when it was received (seconds)."""

    def __init__(self) -> None:
        self._position = ZERO_POSITION
        self._received_at = float("-inf")

    def observe(self, position: Position, received_at: float) -> None:
        """Record the position of a reply."""
        if position >= self._position:
            self._position = position
            self._received_at = received_at

    def is_beyond(self, position: Position, queried_at: float, term: int) -> bool:
        """Whether a position served before exceeds that of a reply to a later query.

        If so, the database has restarted without its log: a leader's log never shrinks in its own
        `term`. Entries of older terms don't count, as it may have received more of them than it has
        applied.
        """
        is_later = queried_at > self._received_at
        return is_later and self._position.term == term and position < self._position
