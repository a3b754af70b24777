"""An in-memory history, and its storage as JSON lines."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TypeVar

from pydantic import TypeAdapter

from bramblebeam.lab.history.records import Record

_ADAPTER: TypeAdapter[Any] = TypeAdapter(Record)
_T = TypeVar("_T")


class History:
    """The records of one run in a stable order by time."""

    def __init__(self, records: Iterable[Any] = ()) -> None:
        self._records: list[Any] = list(records)
        self._sorted = False

    def add(self, record: Any) -> None:
        """Add a record. Records may be added in any order."""
        self._records.append(record)
        self._sorted = False

    def extend(self, records: Iterable[Any]) -> None:
        """Add several records."""
        self._records.extend(records)
        self._sorted = False

    def of(self, record_type: type[_T]) -> list[_T]:
        """Return the records of one type, ordered by time."""
        return [record for record in self if isinstance(record, record_type)]

    def __iter__(self) -> Iterator[Any]:
        if not self._sorted:
            self._records.sort(key=lambda record: record.time)
            self._sorted = True
        return iter(self._records)

    def __len__(self) -> int:
        return len(self._records)


def write_history(path: Path, history: History) -> None:
    """Write the history as JSON lines."""
    with path.open("wb") as file:
        for record in history:
            file.write(_ADAPTER.dump_json(record) + b"\n")


def read_history(path: Path) -> History:
    """Read a history from JSON lines. Raises pydantic.ValidationError for an invalid line."""
    lines = path.read_bytes().splitlines()
    return History(_ADAPTER.validate_json(line) for line in lines if line)
