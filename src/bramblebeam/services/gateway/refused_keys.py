"""Callers whose key nobody holds: counted, and told in a line now and then."""

import logging

from bramblebeam.core.tenants import KeyDigest, short_digest
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import KEYS_REFUSED

logger = logging.getLogger(__name__)

REPORT_SECONDS = 1.0
"""A flood of wrong keys makes one line in so long, not one a caller (seconds)."""


class RefusedKeys:
    """What was refused since the last line. `last`: one of the keys, by its digest."""

    def __init__(self) -> None:
        self._count = 0
        self._last: KeyDigest | None = None
        self._reported_at = float("-inf")

    def record(self, key: KeyDigest) -> None:
        """Count one session that was not opened."""
        self._count += 1
        self._last = key

    def report(self, now: float) -> None:
        """Log what was refused, if anything was (`now`: steady clock, seconds)."""
        if self._last is None or now - self._reported_at < REPORT_SECONDS:
            return
        log_event(logger, KEYS_REFUSED, sessions=self._count, last_key=short_digest(self._last))
        self._count = 0
        self._last = None
        self._reported_at = now
