"""The replicated log of one member, in memory. Offsets count entries from 1."""

from collections.abc import Iterable

from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.lab.database.messages import Entry


class Log:
    """Entries in order; the last one's position decides who may become primary."""

    def __init__(self, entries: Iterable[Entry] = ()) -> None:
        self._entries = list(entries)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last(self) -> Position:
        """The position of the last entry."""
        return self.position(len(self._entries))

    def position(self, offset: int) -> Position:
        """Return the position of the entry at `offset`; 0 is before the first."""
        if offset == 0:
            return ZERO_POSITION
        return Position(self._entries[offset - 1].term, offset)

    def entry(self, offset: int) -> Entry:
        """Return the entry at `offset`. Raises IndexError."""
        return self._entries[offset - 1]

    def holds(self, position: Position) -> bool:
        """Whether an entry of exactly this position (or the start) is in the log."""
        return position.offset <= len(self) and self.position(position.offset) == position

    def slice(self, after: int, count: int) -> tuple[Entry, ...]:
        """Return up to `count` entries after an offset."""
        return tuple(self._entries[after : after + count])

    def append(self, entry: Entry) -> Position:
        """Add an entry; return its position."""
        self._entries.append(entry)
        return self.last

    def truncate(self, last: int) -> None:
        """Drop every entry after offset `last`."""
        del self._entries[last:]

    def first_offset_of_term(self, offset: int) -> int:
        """Return the first offset of the term that the entry at `offset` belongs to."""
        term = self.entry(offset).term
        while offset > 1 and self._entries[offset - 2].term == term:
            offset -= 1
        return offset
