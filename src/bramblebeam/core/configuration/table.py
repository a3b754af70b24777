"""The rows of a node, ordered by version, with the digests that peers compare."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash
from sortedcontainers import SortedList

from bramblebeam.core.configuration.rows import Row, RowKey

BUCKETS = 256


@dataclass(frozen=True, slots=True)
class Coverage:
    """The range of versions that a set of rows covers: every change in (after, through].

    `floor`: deletions up to this version may be missing, which matters to a table that has rows.
    `listed`: the rows are a listing of the whole store, with a deletion for each row absent there.
    """

    after: int
    through: int
    floor: int = 0
    listed: bool = False


class RowTable:
    """Rows by key. A row is replaced only by one of a higher version; deletions stay as rows.

    `complete`: every change up to this store version is in the table. `floor`: deletions up to this
    version may be known only by the row's absence, because the store was listed at it. `live`:
    number of rows that are not deleted.
    """

    def __init__(self) -> None:
        self.complete = 0
        self.floor = 0
        self.digest = 0
        self.live = 0
        self._rows: dict[RowKey, Row] = {}
        self._order: SortedList = SortedList()
        self._digests = [0] * BUCKETS

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Row]:
        return iter(self._rows.values())

    @property
    def highest(self) -> int:
        """The highest version of any row."""
        return self._order[-1][0] if self._order else 0

    @property
    def bucket_digests(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._digests)

    def get(self, key: RowKey) -> Row | None:
        """Return the row, which may be a deletion, or None."""
        return self._rows.get(key)

    def version_of(self, key: RowKey) -> int:
        """Return the version of the row, or 0 if there is none."""
        row = self._rows.get(key)
        return row.version if row else 0

    def apply(self, rows: Iterable[Row]) -> list[Row]:
        """Apply every row that is newer than the one in the table; return those applied."""
        return [row for row in rows if self._apply_one(row)]

    def record_coverage(self, coverage: Coverage) -> None:
        """Record what the rows just applied cover, unless changes before them are missing."""
        if coverage.listed:
            self.floor = max(self.floor, coverage.through)
        elif coverage.after > self.complete:
            return
        elif self.complete == 0:
            self.floor = max(self.floor, coverage.floor)
        elif coverage.floor > max(self.complete, self.floor):
            return
        self.complete = max(self.complete, coverage.through)

    def rows_after(self, version: int, limit: int) -> tuple[list[Row], bool]:
        """Return up to `limit` rows of later versions in order, and whether there are more."""
        start = self._order.bisect_left((version + 1,))
        entries = list(self._order.islice(start, start + limit))
        more = start + limit < len(self._order)
        return [self._rows[key] for _, key in entries], more

    def differing_buckets(self, digests: tuple[int, ...], limit: int) -> list[int]:
        """Return up to `limit` buckets whose digest differs from the one in `digests`."""
        pairs = zip(self._digests, digests, strict=False)
        found = [number for number, (own, other) in enumerate(pairs) if own != other]
        return found[:limit]

    def versions_in(self, buckets: Iterable[int]) -> list[tuple[RowKey, int]]:
        """Return the key and version of each row in the buckets."""
        wanted = set(buckets)
        return [(key, row.version) for key, row in self._rows.items() if _bucket(key) in wanted]

    def _apply_one(self, row: Row) -> bool:
        current = self._rows.get(row.key)
        if current is not None:
            if current.version >= row.version:
                return False
            self._order.remove((current.version, row.key))
            self._toggle_digest(current)
            self.live -= bool(current.spec)
        self._rows[row.key] = row
        self.live += bool(row.spec)
        self._order.add((row.version, row.key))
        self._toggle_digest(row)
        return True

    def _toggle_digest(self, row: Row) -> None:
        value = xxhash.xxh3_64_intdigest(
            f"{row.key.kind}\x00{row.key.name}\x00{row.version}".encode()
        )
        self.digest ^= value
        self._digests[_bucket(row.key)] ^= value


def _bucket(key: RowKey) -> int:
    return xxhash.xxh3_64_intdigest(f"{key.kind}\x00{key.name}".encode()) % BUCKETS
