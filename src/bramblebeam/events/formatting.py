"""Log formats: text lines for people, or one JSON object per line for programs."""

import json
import logging
import sys
from datetime import UTC, datetime
from typing import Any, Literal, TextIO

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object: time, level, logger, event number, text and fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line: dict[str, Any] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "logger": record.name,
        }
        number = getattr(record, "event_number", None)
        if number is None:
            line["message"] = record.getMessage()
        else:
            line["event"] = number
            line["message"] = getattr(record, "event_text", "")
            line["fields"] = getattr(record, "event_fields", {})
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logging(
    level: str, style: Literal["text", "json"], stream: TextIO | None = None
) -> None:
    """Log records of at least `level` to a stream (default: standard error) in a style."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter() if style == "json" else logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
