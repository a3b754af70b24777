"""Counts error lines, and lines that nodes left out because there were too many."""

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
    """Key by which error lines are counted. `text` of a line without an event is its logger."""

    event: int
    level: str
    text: str


class ErrorCount:
    """Error lines of one kind."""

    def __init__(self) -> None:
        self.lines = 0
        self.streams: set[int] = set()
        self.first_at = float("inf")
        self.example = ""

    def add(self, stream: int, record: Record) -> None:
        """Count a line of the stream with this number."""
        self.lines += 1
        self.streams.add(stream)
        if record.time < self.first_at:
            self.first_at = record.time
            self.example = _example(record)


class ProblemCounts:
    """Totals over all nodes."""

    def __init__(self) -> None:
        self.errors: BoundedTable[ErrorKind, ErrorCount] = BoundedTable(
            ErrorCount, ErrorKind(0, "error", OTHERS), MAXIMUM_KINDS
        )
        self.left_out: Counter[int] = Counter()

    def handle_error(self, stream: int, record: Record) -> None:
        """Handle a line of level error or above."""
        text = record.text if record.event else record.logger
        self.errors.get_or_create(ErrorKind(record.event, record.level, text)).add(stream, record)

    def handle_lines_left_out(self, record: Record) -> None:
        """Handle event 1012, which gives the number of suppressed lines by event number."""
        events = record.fields.get("events")
        if not isinstance(events, dict):
            return
        for number, count in events.items():
            is_event_number = number.isascii() and number.isdigit() and len(number) <= 4
            if is_event_number and type(count) is int:
                self.left_out[int(number)] += count


def _example(record: Record) -> str:
    if not record.event:
        return record.text[:EXAMPLE_LENGTH]
    fields = (f"{name}={json.dumps(value)}" for name, value in record.fields.items())
    return " ".join(fields)[:EXAMPLE_LENGTH]
