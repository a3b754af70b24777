"""The in-memory replicated log of one member. Offsets start at 1."""

from collections.abc import Iterable

from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.lab.database.messages import Entry


class Log:
    """An ordered list of entries. Controllers promote the member with the highest last position."""

    def __init__(self, entries: Iterable[Entry] = ()) -> None:
        self._entries = list(entries)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last(self) -> Position:
        """The position of the last entry."""
        return self.position(len(self._entries))

    def position(self, offset: int) -> Position:
        """Return the position of the entry at `offset`; offset 0 is before the first entry."""
        if offset == 0:
            return ZERO_POSITION
        return Position(self._entries[offset - 1].term, offset)

    def entry(self, offset: int) -> Entry:
        """Return the entry at `offset`. Raises IndexError."""
        return self._entries[offset - 1]

    def holds(self, position: Position) -> bool:
        """Return whether the log has an entry at this position; true for the zero position."""
        return position.offset <= len(self) and self.position(position.offset) == position

    def slice(self, after: int, count: int) -> tuple[Entry, ...]:
        """Return up to `count` entries after offset `after`."""
        return tuple(self._entries[after : after + count])

    def append(self, entry: Entry) -> Position:
        """Append an entry and return its position."""
        self._entries.append(entry)
        return self.last

    def truncate(self, last: int) -> None:
        """Remove every entry after offset `last`."""
        del self._entries[last:]

    def first_offset_of_term(self, offset: int) -> int:
        """Return the offset of the first entry in the term of the entry at `offset`."""
        term = self.entry(offset).term
        while offset > 1 and self._entries[offset - 2].term == term:
            offset -= 1
        return offset
