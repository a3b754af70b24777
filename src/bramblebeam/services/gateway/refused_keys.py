"""Counts sessions refused for an unknown key, and logs them at a limited rate."""

import logging

from bramblebeam.core.tenants import KeyDigest, short_digest
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import KEYS_REFUSED

logger = logging.getLogger(__name__)

REPORT_SECONDS = 1.0
"""Minimum interval between log lines, so that a flood of wrong keys doesn't flood the log."""


class RefusedKeys:
    """Sessions refused since the last log line, and the digest of the last unknown key."""

    def __init__(self) -> None:
        self._count = 0
        self._last: KeyDigest | None = None
        self._reported_at = float("-inf")

    def record(self, key: KeyDigest) -> None:
        """Record a refused session."""
        self._count += 1
        self._last = key

    def report(self, now: float) -> None:
        """Log the refused sessions, if there are any (`now`: monotonic clock, seconds)."""
        if self._last is None or now - self._reported_at < REPORT_SECONDS:
            return
        log_event(logger, KEYS_REFUSED, sessions=self._count, last_key=short_digest(self._last))
        self._count = 0
        self._last = None
        self._reported_at = now
