"""Numbered log events. The page docs/events.md is generated from this package."""

from bramblebeam.events.catalogue import CATALOGUE, Event
from bramblebeam.events.log import log_event

__all__ = ["CATALOGUE", "Event", "log_event"]
