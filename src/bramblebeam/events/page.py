"""Generates the page docs/events.md from the catalogue."""

import logging

from bramblebeam.events.catalogue import CATALOGUE, Event

HEADER = """# Log events

Written by `bramblebeam events`; a test checks that the page and the catalogue agree. Every line
that a node logs about its work carries one of these numbers: as `[NUMBER]` in text, as `event` in
JSON lines. A number keeps its meaning for ever.

| number | level | event | fields |
|---|---|---|---|
"""


def events_page() -> str:
    """Return the catalogue as a Markdown page."""
    events = sorted(CATALOGUE.values(), key=lambda event: event.number)
    return HEADER + "".join(_line(event) for event in events)


def _line(event: Event) -> str:
    level = logging.getLevelName(event.level).lower()
    fields = ", ".join(f"`{field}`" for field in event.fields) or "none"
    return f"| {event.number} | {level} | {event.text} | {fields} |\n"
