"""How far the log of a leader was that it served from: in its own term it never shrinks."""

from bramblebeam.core.identity import ZERO_POSITION, Position


class ServedPosition:
    """The position that one leader told with its answers, and when it was heard (seconds)."""

    def __init__(self) -> None:
        self._position = ZERO_POSITION
        self._heard_at = float("-inf")

    def observe(self, position: Position, heard_at: float) -> None:
        """Take the position of an answer."""
        if position >= self._position:
            self._position = position
            self._heard_at = heard_at

    def is_beyond(self, position: Position, asked_at: float, term: int) -> bool:
        """Whether more was served than an answer tells that was asked for later.

        Then the database has started again without its log. What the leader committed in its own
        `term` it has from then on; of older terms it may have received more than it has applied.
        """
        is_later = asked_at > self._heard_at
        return is_later and self._position.term == term and position < self._position
