"""Lines that tell of errors, and lines that nodes left out."""

import json
from collections import Counter
from typing import NamedTuple

from bramblebeam.report.counting.bounded import BoundedTable
from bramblebeam.report.reading.lines import Record

ERROR_LEVELS = ("error", "critical")
MAXIMUM_KINDS = 300
EXAMPLE_LENGTH = 200
OTHERS = "others"


class ErrorKind(NamedTuple):
    """Error lines that are counted together. A line without an event goes by its logger."""

    event: int
    level: str
    text: str


class ErrorCount:
    """Error lines of one kind."""

    def __init__(self) -> None:
        self.lines = 0
        self.streams: set[int] = set()
        self.first = float("inf")
        self.example = ""

    def take(self, stream: int, record: Record) -> None:
        """Count a line of the log with this number."""
        self.lines += 1
        self.streams.add(stream)
        if record.time < self.first:
            self.first = record.time
            self.example = _example(record)


class ProblemCounts:
    """The sums over all nodes."""

    def __init__(self) -> None:
        self.errors: BoundedTable[ErrorKind, ErrorCount] = BoundedTable(
            ErrorCount, ErrorKind(0, "error", OTHERS), MAXIMUM_KINDS
        )
        self.left_out: Counter[int] = Counter()

    def error(self, stream: int, record: Record) -> None:
        """Take a line of level error or above."""
        text = record.text if record.event else record.logger
        self.errors.at(ErrorKind(record.event, record.level, text)).take(stream, record)

    def handle_lines_left_out(self, record: Record) -> None:
        """Take 1012."""
        events = record.fields.get("events")
        if not isinstance(events, dict):
            return
        for number, count in events.items():
            is_known = number.isascii() and number.isdigit() and len(number) <= 4
            if is_known and type(count) is int:
                self.left_out[int(number)] += count


def _example(record: Record) -> str:
    if not record.event:
        return record.text[:EXAMPLE_LENGTH]
    fields = (f"{name}={json.dumps(value)}" for name, value in record.fields.items())
    return " ".join(fields)[:EXAMPLE_LENGTH]
