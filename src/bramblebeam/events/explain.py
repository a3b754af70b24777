"""Finds the log lines of a request in the logs of many processes, and the deciding one."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bramblebeam.events.catalogue import REQUEST_ATTEMPT_FAILED, REQUEST_REFUSED

BACKGROUND_SECONDS = 3.0
"""Changes of known state this long before the end of a request may be related to it."""
_DECIDING = (REQUEST_REFUSED.number, REQUEST_ATTEMPT_FAILED.number)


@dataclass(frozen=True, slots=True)
class LogLine:
    """A structured log line. `source`: its file, and the text before the JSON object."""

    time: str
    source: str
    event: int
    message: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """The lines of a request in order of time, and the one that decided its outcome."""

    lines: tuple[LogLine, ...]
    deciding: LogLine | None


def parse_line(text: str, source: str) -> LogLine | None:
    """Return a structured line, or None. Text before the JSON object names the process."""
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        content = json.loads(brace + rest)
        fields = content["fields"]
        event = int(content["event"])
    except (ValueError, KeyError, TypeError):
        return None
    origin = f"{source} {prefix.strip()}".strip()
    return LogLine(str(content["time"]), origin, event, str(content.get("message", "")), fields)


def explain(identifier: str, lines: Iterable[LogLine]) -> Explanation:
    """Return the lines of the request with this id, and the deciding one."""
    own = [line for line in lines if line.fields.get("request") == identifier]
    own.sort(key=lambda line: line.time)
    refused = [line for line in own if line.event == REQUEST_REFUSED.number]
    attempts = [line for line in own if line.event in _DECIDING]
    deciding = refused[-1] if refused else (attempts[-1] if attempts else None)
    return Explanation(tuple(own), deciding)
