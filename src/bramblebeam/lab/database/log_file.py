"""Persists a member's promised term and log as a sequence of CBOR items."""

import io
from pathlib import Path

import cbor2

from bramblebeam.lab.database.messages import Entry, PersistEntries, PersistPromise

PROMISE = 1
ENTRIES = 2


class LogFile:
    """An append-only file, unbuffered but without fsync.

    An incomplete item at the end, as a crash leaves it, is truncated on opening.
    """

    def __init__(self, path: Path | None) -> None:
        self.promised = 0
        self.entries: list[Entry] = []
        self._file: io.FileIO | None = None
        if path is not None:
            size = self._load(path)
            self._file = io.FileIO(path, "ab")
            self._file.truncate(size)

    def write(self, effect: PersistPromise | PersistEntries) -> None:
        """Append one change."""
        if self._file is None:
            return
        if isinstance(effect, PersistPromise):
            self._file.write(cbor2.dumps((PROMISE, effect.term)))
        else:
            self._file.write(cbor2.dumps((ENTRIES, effect.first, effect.entries)))

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def _load(self, path: Path) -> int:
        """Replay the file and return the size in bytes of its complete items."""
        if not path.exists():
            return 0
        valid_size = 0
        with path.open("rb") as file:
            while True:
                try:
                    item = cbor2.load(file)
                except (cbor2.CBORDecodeError, EOFError):
                    return valid_size
                self._replay(item)
                valid_size = file.tell()

    def _replay(self, item: list[int | list[list[object]]]) -> None:
        match item:
            case [kind, int(term)] if kind == PROMISE:
                self.promised = term
            case [kind, int(first), list(entries)] if kind == ENTRIES:
                self.entries[first - 1 :] = [Entry(int(str(e[0])), e[1]) for e in entries]
