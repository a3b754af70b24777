"""A log handler that never blocks and limits the rate of lines per event.

Lines over the limit, and lines for which the output has no room, are dropped and counted; a later
line reports how many. Logging never waits for the output.
"""

import logging
import os
import select
import time
from collections import Counter
from collections.abc import Callable

from bramblebeam.events.catalogue import LINES_LEFT_OUT

LINES_PER_SECOND = 40
"""Maximum lines of one event per second."""
MAXIMUM_LINE_BYTES = 4_096
"""A pipe accepts a write of up to this size whole or not at all; longer lines are truncated."""
_CUT = b"...\n"


class BoundedHandler(logging.Handler):
    """Writes records to a file descriptor. `clock`: a monotonic clock in seconds."""

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.left_out: Counter[int] = Counter()
        self._descriptor = descriptor
        self._clock = clock
        self._second = int(clock())
        self._written: Counter[int] = Counter()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record, or drop and count it."""
        self._next_second()
        number: int = getattr(record, "event_number", 0)
        if self._written[number] >= LINES_PER_SECOND:
            self.left_out[number] += 1
            return
        self._written[number] += 1
        if not self._write(self.format(record)):
            self.left_out[number] += 1

    def _next_second(self) -> None:
        second = int(self._clock())
        if second == self._second:
            return
        self._second = second
        self._written.clear()
        if self.left_out and self._write(self._left_out_line()):
            self.left_out.clear()

    def _left_out_line(self) -> str:
        event = LINES_LEFT_OUT
        record = logging.LogRecord(__name__, event.level, "", 0, event.text, None, None)
        record.event_number = event.number
        record.event_text = event.text
        record.event_fields = {"events": {str(key): value for key, value in self.left_out.items()}}
        return self.format(record)

    def _write(self, text: str) -> bool:
        line = text.encode(errors="replace") + b"\n"
        if len(line) > MAXIMUM_LINE_BYTES:
            line = line[: MAXIMUM_LINE_BYTES - len(_CUT)] + _CUT
        if not self._poll.poll(0):
            return False
        try:
            os.write(self._descriptor, line)
        except OSError:
            return False
        return True


def configure_bounded_logging(level: str, formatter: logging.Formatter) -> BoundedHandler:
    """Log records of at least `level` to standard output, rate-limited; return the handler."""
    handler = BoundedHandler(1)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler
