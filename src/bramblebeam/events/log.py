"""Logs events of the catalogue through `logging`."""

import logging
from typing import Any

from bramblebeam.events.catalogue import Event


def log_event(logger: logging.Logger, event: Event, **fields: Any) -> None:
    """Log `event` with its fields; `extra` carries the number and fields for JSON output."""
    if not logger.isEnabledFor(event.level):
        return
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    logger.log(
        event.level,
        "[%d] %s %s",
        event.number,
        event.text,
        text,
        extra={"event_number": event.number, "event_text": event.text, "event_fields": fields},
    )
